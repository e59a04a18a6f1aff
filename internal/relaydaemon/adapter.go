package relaydaemon

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/kernel"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/tenant"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// Adapters holds the adapters that registered themselves.
var Adapters kernel.Registry[func(AdapterOptions) Adapter]

// AdapterOptions give an adapter what it works with.
type AdapterOptions struct {
	StoreAddress string
	Logger       zerolog.Logger
	Registry     prometheus.Registerer
}

// KeyQuestion asks whom a request acts for.
type KeyQuestion struct {
	// Request is the request's ID, for the log.
	Request string
	Route   *route.Route
	// Key is what the caller bears, "" for none. It is never logged.
	Key string
	// Left is the time that the caller has, 0 if it does not tell.
	Left time.Duration
}

// Gateway is what an adapter's front may ask of the daemon.
type Gateway interface {
	// Table returns the routes in force. While none are known it waits for them,
	// for a part of the time that the caller has left (0: not told), and returns
	// nil if none came.
	Table(ctx context.Context, left time.Duration) *route.Table
	// Identify returns the tenant that a request acts for, nil for none, or why it is
	// refused. It must be called once the request has arrived.
	Identify(ctx context.Context, asked KeyQuestion) (*tenant.Tenant, *relay.Refusal)
	// Watch calls serve with a responder that takes note of the request's ending, and
	// breaks off a request that serve leaves without one.
	EnsureEnding(ctx context.Context, request string, responder relay.Responder, serve func(relay.Responder))
	// Serve carries a call to its end.
	Serve(ctx context.Context, call *relay.Call, responder relay.Responder)
}

// Adapter translates one platform's protocols. It decides nothing.
type Adapter interface {
	Store() store.Store
	Driver() relay.Driver
	// Forget drops idle connections to addresses that nobody has any more.
	Forget(addresses []string)
	// Front handles callers' requests, Ready the platform's question whether
	// the daemon takes any.
	Front(daemon Gateway) http.Handler
	Ready(isReady func() bool) http.Handler
	// RoutesPartition and InstancesPartition are where operators and back ends
	// write; Routes and Instances read what they wrote. Routes returns nil if
	// nothing was written yet.
	RoutesPartition() store.Partition
	InstancesPartition() store.Partition
	Routes(records map[string]store.Record) (*route.Table, error)
	// Evacuations reads which zones the operators evacuated from the same records as
	// Routes. The reading is partial if they are not all of the operators' records.
	Evacuations(records map[string]store.Record, end int64) zone.OrderSnapshot
	Instances(records map[string]store.Record) []instance.Instance
}
