package relaydaemon

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/kernel"
	"github.com/mintpulley/mintpulley/internal/memorybudget"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/tenant"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// Adapters is the registry of adapters, by the name that the settings use.
var Adapters kernel.Registry[func(AdapterOptions) Adapter]

// AdapterOptions configure an adapter.
type AdapterOptions struct {
	StoreAddress string
	// EngineConnections is how many connections to back ends may be open, 0 for no limit.
	EngineConnections int

	Logger   zerolog.Logger
	Registry prometheus.Registerer
}

// IdentifyQuery is the input of Gateway.Identify.
type IdentifyQuery struct {
	// Request is the request's ID, for the log.
	Request string
	Route   *route.Route
	// Key is the API key that the caller sent, "" for none. It is never logged.
	Key string
	// Left is the time until the caller's deadline, 0 if it sent none.
	Left time.Duration
}

// Gateway is the part of the daemon that an adapter's HTTP handler uses.
type Gateway interface {
	// Table returns the routes in force. While none are known, it waits for them for a part of the
	// time that the caller has left (0: no deadline), and returns nil if none arrive.
	Table(ctx context.Context, left time.Duration) *route.Table
	// Identify returns the tenant that a request acts for, nil for none, or why the request is
	// refused. It must be called once the request has arrived.
	Identify(ctx context.Context, query IdentifyQuery) (*tenant.Tenant, *relay.Refusal)
	// Memory returns the memory for the texts of requests.
	Memory() *memorybudget.Budget
	// EnsureEnding calls serve with a responder that records how the request ends, and aborts a
	// request that serve leaves without an ending.
	EnsureEnding(ctx context.Context, request string, responder relay.Responder, serve func(relay.Responder))
	// Serve handles a call until it ends.
	Serve(ctx context.Context, call *relay.Call, responder relay.Responder)
}

// Adapter translates one platform's protocols. It contains no decisions of its own.
type Adapter interface {
	Store() store.Store
	Driver() relay.Driver
	// CloseIdle closes the idle connections to addresses that no instance uses any more.
	CloseIdle(addresses []string)
	// Front handles callers' requests, and Ready the platform's readiness probe.
	Front(daemon Gateway) http.Handler
	Ready(isReady func() bool) http.Handler
	// RoutesPartition and InstancesPartition are the partitions to which operators and back ends
	// write; Routes and Instances parse their records. Routes returns nil if none were written yet.
	// Instances gets only the records that changed.
	RoutesPartition() store.Partition
	InstancesPartition() store.Partition
	Routes(records map[string]store.Record) (*route.Table, error)
	// Evacuations parses the operators' orders to evacuate zones from the same records as Routes.
	// The result is partial if records are not all of the operators' records.
	Evacuations(records map[string]store.Record, end int64) zone.OrderSnapshot
	Instances(update store.Update) instance.Update
}
