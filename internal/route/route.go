// Package route holds the operators' routes in force: which service answers a
// caller's request, under which promises and bounds. A table is immutable; a
// newer version replaces it whole.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/tenant"
)

// Kind tells what may be done again for a request.
type Kind string

// Kinds of route.
const (
	// KindRepeatable requests may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindStream requests are answered by a stream of events.
	KindStream Kind = "stream"
)

// Weighted is one part of a route that is split over services.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route is one route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request is held; 0 sets no bound.
	Timeout time.Duration
	// Target is the time within which an answer is worth most.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events that is in time.
	EventGapTarget time.Duration
	// MaxAttempts is on how many back ends one request may run; at least 1.
	MaxAttempts int
	// Priority ranks requests, 0 highest.
	Priority int
	// Sticky: a back end that lately saw the same object works faster.
	Sticky bool
	// Resumable streams may be taken up at another back end.
	Resumable bool
	// RetainContext: a turn brings its new input alone; the system keeps the
	// chain of turns before it.
	RetainContext bool
	// Retention is how long turns and programs are kept after their last use.
	Retention time.Duration
	// Public: requests need no key.
	Public bool
	// Services answer the route, each with its weight.
	Services []WeightedService
	// AllowedRegions are those in which requests may be served and their text kept,
	// nil for all.
	AllowedRegions []string
}

// Repeatable tells whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of like back ends.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one back end.
	MaxConnections int
	// ColdStart is how long a back end is cold that starts while it has callers.
	ColdStart time.Duration
	// ColdPerSecond is how many requests a second a cold back end bears; 0 sets no
	// bound.
	ColdRequestsPerSecond float64
	// Model describes the model engines of the service, nil for plain ones.
	Model *Model
}

// Model describes the model engines of a service.
type Model struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// CapacityTokens is an engine's memory.
	CapacityTokens int64
	// TokensPerEvent is how many tokens each event of a stream carries.
	TokensPerEvent int64
}

// Limits bound what callers may send; 0 sets no bound.
type Limits struct {
	// HeadBytes is the longest head of a request, and BodyBytes its longest body.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// HeadTime is how long a request's head may take from its first byte on, and
	// IdleTime how long a connection may rest between requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of all routes, services and tenants.
type Table struct {
	Version  int64
	Services map[string]*Service
	// Tenants are those whose keys callers bear, nil where there are none.
	Tenants *tenant.Directory
	Limits  Limits
	hosts   map[string][]*Route
}

// NewTable returns a table of routes and services.
func NewTable(version int64, routes []*Route, services []*Service) *Table {
	t := &Table{Version: version, Services: map[string]*Service{}, hosts: map[string][]*Route{}}
	for _, service := range services {
		t.Services[service.Name] = service
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// IsBound tells whether requests of any route or tenant are bound to regions.
func (t *Table) RestrictsRegions() bool {
	for _, list := range t.hosts {
		if slices.ContainsFunc(list, func(r *Route) bool { return len(r.AllowedRegions) > 0 }) {
			return true
		}
	}
	return t.Tenants.RestrictsRegions()
}

// Lookup returns the route with the longest prefix of the path at a host, or
// nil. The host may carry a port.
func (t *Table) Lookup(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
