// Package gateway is the HTTP API for callers: OpenAI-compatible chat completions,
// application requests, and programs. It converts requests to calls and answers to
// responses, and leaves all decisions to the node.
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

// Node submits calls to the fleet.
type Node interface {
	Submit(call structs.Call, caller submit.Caller) *submit.Submission
}

// Queries sends queries to the leaders of programs. Callbacks run on any goroutine.
type Queries interface {
	Describe(request dispatch.Describe, timeout time.Duration, done func(dispatch.Described, error))
	EndProgram(key structs.ProgramKey, timeout time.Duration, done func(dispatch.ProgramEnded, error))
	CancelCall(key structs.ProgramKey, request structs.RequestID, timeout time.Duration, done func(dispatch.CallCancelled, error))
}

// Configurations returns the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// Limits bounds requests. All are positive.
type Limits struct {
	// MaxBodyBytes bounds one body, MaxTotalBodyBytes all bodies that are being read.
	MaxBodyBytes      int64
	MaxTotalBodyBytes int64
	// BodyTimeout bounds the time to read one body.
	BodyTimeout time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// MaxPendingBytes bounds the answer text buffered for a slow reader.
	MaxPendingBytes int
	// MaxRequests bounds the requests in progress, MaxRequestsPerTenant those of one
	// tenant.
	MaxRequests          int64
	MaxRequestsPerTenant int64
	// MaxTimeout is the longest timeout of a call, and the default.
	MaxTimeout time.Duration
	// QueryTimeout bounds a query about a program.
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

// Options are the dependencies and settings of a Gateway.
type Options struct {
	Node           Node
	Queries        Queries
	Configurations Configurations
	// Stopping reports whether the daemon accepts no new work; nil means never.
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

// New returns a gateway that submits calls to options.Node.
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

// route registers a handler for authenticated callers, within the limits on requests.
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
