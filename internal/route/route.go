// Package route holds the operators' configured routes: which services answer a caller's
// request, and with which run guarantees and limits. A Table is immutable; a newer version
// replaces it as a whole.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/tenant"
)

// Kind states whether a request may run more than once, and the form of its answer.
type Kind string

// Kinds of route.
const (
	// KindRepeatable: a request may run more than once.
	KindRepeatable Kind = "repeatable"
	// KindOnce: a request runs at most once.
	KindOnce Kind = "once"
	// KindStream: a request is answered by a stream of events.
	KindStream Kind = "stream"
)

// WeightedService is a service that gets a weighted share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is held; 0 means no bound.
	Timeout time.Duration
	// LatencyTarget is the target for the time to an answer.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the longest pause between two events of a stream.
	EventGapTarget time.Duration
	// MaxAttempts is the number of back ends that one request may run on; at least 1.
	MaxAttempts int
	// Priority ranks requests, 0 highest.
	Priority int
	// Sticky: requests for the same object prefer the back end that recently served it,
	// which has it cached.
	Sticky bool
	// Resumable: a stream that breaks may be resumed at another back end.
	Resumable bool
	// RetainContext: a turn sends only its new input; the system stores the turns before it
	// and supplies them to the back end.
	RetainContext bool
	// Retention is how long turns and programs are stored after their last use.
	Retention time.Duration
	// Public: requests need no API key.
	Public bool
	// Services are the services that answer the route, with their weights.
	Services []WeightedService
	// AllowedRegions are the regions where requests may be served and their text stored;
	// nil means all.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of interchangeable back ends.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all daemons to one back end; 0 means no
	// bound.
	MaxConnections int
	// ColdStart is how long a back end that starts under load counts as cold.
	ColdStart time.Duration
	// ColdRequestsPerSecond is the request rate that a cold back end is sent; 0 means no
	// bound.
	ColdRequestsPerSecond float64
	// Model describes the model engines of the service; nil for other services.
	Model *Model
}

// Model describes the model engines of a service.
type Model struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// CapacityTokens is the capacity of an engine's KV cache in tokens.
	CapacityTokens int64
	// TokensPerEvent is the number of tokens in each event of a stream.
	TokensPerEvent int64
}

// Limits bound callers' requests and connections; 0 means no bound.
type Limits struct {
	// MaxHeaderBytes bounds a request's header, and MaxBodyBytes its body.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// HeaderTimeout bounds how long a request's header may take from its first byte, and
	// IdleTimeout how long a connection may be idle between requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration: routes, services, tenants and limits.
type Table struct {
	Version  int64
	Services map[string]*Service
	// Tenants are the tenants that callers authenticate as; nil if there are none.
	Tenants *tenant.Directory
	Limits  Limits
	hosts   map[string][]*Route
}

// NewTable returns a table of the given routes and services.
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

// LongestTimeout returns the longest timeout of a route, 0 if none has one.
func (t *Table) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.hosts {
		for _, r := range routes {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// RestrictsRegions reports whether any route or tenant restricts the regions of its
// requests.
func (t *Table) RestrictsRegions() bool {
	for _, list := range t.hosts {
		if slices.ContainsFunc(list, func(r *Route) bool { return len(r.AllowedRegions) > 0 }) {
			return true
		}
	}
	return t.Tenants.RestrictsRegions()
}

// Lookup returns the route at host whose prefix is the longest that matches path, or nil.
// The host may include a port.
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
