// Package gateway is the callers' HTTP interface: OpenAI-compatible chat
// completions, application requests, and programs. It turns requests into
// calls and hands the answers back; every decision is the node's.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/metrics"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// Node is what the gateway needs of the decision code.
type Node interface {
	Submit(call structs.Call, caller submit.Caller) *submit.Submission
}

// Queries asks the leaders of programs. Callbacks come on any goroutine.
type Queries interface {
	Describe(request dispatch.Describe, timeout time.Duration, done func(dispatch.Described, error))
	EndProgram(key structs.ProgramKey, timeout time.Duration, done func(dispatch.ProgramEnded, error))
	CancelCall(key structs.ProgramKey, request structs.RequestID, timeout time.Duration, done func(dispatch.CallCancelled, error))
}

// Configurations gives the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// Limits bound requests. All are positive.
type Limits struct {
	// BodyBytes bounds one body, BodiesBytes all that are being read.
	MaxBodyBytes      int64
	MaxTotalBodyBytes int64
	// BodyTimeout bounds the reading of one body.
	BodyTimeout time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// PendingBytes bounds the answer text that waits for a slow reader.
	MaxPendingBytes int
	// Requests bounds the requests under way, RequestsPerTenant one tenant's.
	MaxRequests          int64
	MaxRequestsPerTenant int64
	// Timeout is a call's deadline when the caller names none, and the longest.
	MaxTimeout time.Duration
	// QueryTimeout bounds a question about a program.
	QueryTimeout time.Duration
}

// DefaultLimits returns limits for the fleet sizes of docs/CAPACITY.md.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:         16 << 20,
		MaxTotalBodyBytes:    256 << 20,
		BodyTimeout:          20 * time.Second,
		WriteTimeout:         30 * time.Second,
		MaxPendingBytes:      64 << 10,
		MaxRequests:          16384,
		MaxRequestsPerTenant: 8192,
		MaxTimeout:           10 * time.Minute,
		QueryTimeout:         5 * time.Second,
	}
}

// Options gives a Gateway what it works with.
type Options struct {
	Node           Node
	Queries        Queries
	Configurations Configurations
	// Stopping tells whether the daemon takes no new work; nil means never.
	Stopping func() bool
	Limits   Limits
	Metrics  *metrics.Callers
	Logger   zerolog.Logger
}

// Gateway implements http.Handler.
type Gateway struct {
	Options
	mux       *http.ServeMux
	keys      atomic.Pointer[keyIndex]
	admission admission
	bodies    atomic.Int64
}

// New returns a gateway in front of a node.
func New(options Options) *Gateway {
	g := &Gateway{Options: options, mux: http.NewServeMux()}
	g.route("POST /v1/chat/completions", "completions", (*exchange).serveCompletion)
	g.route("POST /v1/applications/{target}/{operation}", "applications", (*exchange).serveApplication)
	g.route("GET /v1/models", "models", (*exchange).serveModels)
	g.route("GET /v1/models/{model}", "models", (*exchange).serveModel)
	g.route("GET /v1/programs/{program}", "programs", (*exchange).serveProgram)
	g.route("GET /v1/programs/{program}/history", "history", (*exchange).serveHistory)
	g.route("POST /v1/programs/{program}/end", "end", (*exchange).serveEnd)
	g.route("GET /v1/requests", "requests", (*exchange).serveRequest)
	g.route("DELETE /v1/requests", "requests", (*exchange).serveCancel)
	g.mux.HandleFunc("/", serveNoRoute)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// route serves a pattern for callers with a key, within the bounds on requests.
func (g *Gateway) route(pattern, name string, serve func(*exchange)) {
	g.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		e := newExchange(g, w, r, name)
		defer e.finish()
		tenant, refused := g.tenantOf(r)
		if refused != nil {
			e.refuse(refused)
			return
		}
		e.tenant = tenant
		if refused := g.admission.enter(tenant, g.Limits); refused != nil {
			e.refuse(refused)
			return
		}
		defer g.admission.leave(tenant)
		serve(e)
	})
}

func serveNoRoute(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, errorDetail{
		Type:    errorNotFound,
		Message: "There is no " + r.Method + " " + r.URL.Path + ".",
		Code:    structs.ReasonInvalidRequest,
	})
}
