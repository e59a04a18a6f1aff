package relaydaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/memorybudget"
	"github.com/mintpulley/mintpulley/internal/peer/tcp"
	"github.com/mintpulley/mintpulley/internal/poison"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
	"github.com/mintpulley/mintpulley/internal/store/proxy"
	"github.com/mintpulley/mintpulley/internal/versionrecord"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/zone"
	"github.com/mintpulley/mintpulley/internal/zone/reach"
)

// Daemon is a running relay daemon.
type Daemon struct {
	settings Settings
	logger   zerolog.Logger
	adapter  Adapter

	// memory bounds the texts of all requests.
	memory *memorybudget.Budget
	// memoryPressure tells whether the process's memory is tight.
	memoryPressure *memoryPressure
	// admission decides how long requests wait.
	admission *admission.Controller
	relay     *relay.Relay
	ledger    *ledger.Service
	// regional are the ledgers of the regions.
	regional *regionalLedgers
	// guard limits the back ends that one content may end.
	guard *poison.Guard
	// versions keeps the record of back ends' software versions.
	versions   *versionrecord.Keeper
	membership *membership.Membership
	transport  *tcp.Transport
	pool       *instance.Pool
	// topology are the zones of the fleet and their distances.
	topology zone.Topology
	// evacuations are the zones that the operators evacuated.
	evacuations zone.Evacuations
	// reachability records which zones this daemon is cut off from, and reachMonitor detects it;
	// both are nil in a fleet of one zone.
	reachability *zone.Reachability
	reachMonitor *reach.Monitor
	registry     *memberRegistry
	// coldLimiter limits the requests to cold instances.
	coldLimiter *warmup.Limiter
	// store calls the store by way of other daemons where this one does not reach it.
	store *proxy.Service
	// records reads what all daemons follow: from the store, or from a neighbour in a large fleet.
	records *fanout.Service
	metrics *prometheus.Registry
	// watchMetrics count the reads of watched partitions.
	watchMetrics *store.WatchMetrics
	// servers are the HTTP servers except front, which serves callers, and that of the metrics.
	servers []*http.Server
	front   *frontServer

	table atomic.Pointer[route.Table]
	// hasRefusedRoutes is set while newer routes than those in force could not be parsed.
	hasRefusedRoutes atomic.Bool
	// routesConfirmation is the time as of which the routes in force, keys included, are known to
	// be the newest.
	routesConfirmation *confirmation
	// listConfirmation is the same for the list of back ends.
	listConfirmation *confirmation
	// tableReady is closed once routes are known.
	tableReady chan struct{}
	startedAt  time.Time
	stopping   stopMark
	stopOnce   sync.Once
	cancel     context.CancelFunc
	workers    sync.WaitGroup
}

// Start starts the daemon on open listeners, which it closes on an error.
func Start(settings Settings, listeners *Listeners, logger zerolog.Logger, dropped *DroppedLines) (*Daemon, error) {
	settings.applyResources()
	newAdapter, err := Adapters.Lookup(settings.Adapter)
	if err != nil {
		listeners.close()
		return nil, err
	}
	memory := settings.requestMemory()
	metrics := newMetricsRegistry(dropped, memory)
	d := &Daemon{
		settings: settings,
		logger:   logger,
		metrics:  metrics,

		watchMetrics: store.NewWatchMetrics(metrics),

		tableReady:         make(chan struct{}),
		routesConfirmation: newConfirmation(),
		listConfirmation:   newListConfirmation(),

		startedAt: time.Now(),
		memory:    memory,
		admission: &admission.Controller{},
		topology:  settings.topology(),
		adapter: newAdapter(AdapterOptions{
			StoreAddress: settings.StoreAddress,

			EngineConnections: engineConnections(descriptorLimit()),
			Logger:            componentLogger(logger, "adapter"),
			Registry:          metrics,
		}),
	}
	d.memoryPressure = newMemoryPressure(settings.softMemoryLimit(dataLimit()), componentLogger(logger, "memory"))
	d.preparePlacement()
	d.join(listeners.peer)
	d.listen(listeners)
	d.run()
	logger.Info().Str("id", string(d.membership.Self.ID)).Str("zone", settings.Zone).Msg("Daemon started.")
	return d, nil
}

// newMetricsRegistry returns a metrics registry with the metrics of the log and of the requests' memory.
func newMetricsRegistry(dropped *DroppedLines, memory *memorybudget.Budget) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "mintpulley", Subsystem: "requests", Name: "text_bytes", Help: "Memory that the texts of requests take.",
	}, func() float64 { return float64(memory.Held()) }))
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "log", Name: "lines_lost_total", Help: "Log lines that were dropped.",
	}, func() float64 { return float64(dropped.Count()) }))
	return registry
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func componentLogger(logger zerolog.Logger, name string) zerolog.Logger {
	return logger.With().Str("part", name).Logger()
}

// run starts the background goroutines.
func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.membership.Start()
	d.workers.Go(func() { d.registry.run(ctx, d.membership.MachinesListed) })
	d.workers.Go(func() { d.ledger.Run(ctx) })
	d.regional.setRunner(func(service *ledger.Service) { d.workers.Go(func() { service.Run(ctx) }) })
	d.workers.Go(func() { d.guard.Run(ctx) })
	d.workers.Go(func() { d.memoryPressure.run(ctx) })
	d.workers.Go(func() { d.versions.Run(ctx) })
	d.workers.Go(func() { d.watchRoutes(ctx) })
	d.workers.Go(func() { d.watchInstances(ctx) })
	d.workers.Go(func() { d.runReachMonitor(ctx) })
	d.workers.Go(func() { d.serveMetrics(ctx) })
}

// Table implements Gateway. It waits for the first routes while they are likely to arrive before
// the caller's deadline.
func (d *Daemon) Table(ctx context.Context, left time.Duration) *route.Table {
	if table := d.table.Load(); table != nil || left <= 0 {
		return table
	}
	now := time.Now()
	wait := admission.HeldUpRequest{Kind: admission.RoutesUnknown, Since: d.startedAt, LatestStart: now.Add(left)}
	timer := time.NewTimer(d.admission.Decide(wait, now).WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case <-d.tableReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.table.Load()
}

// Memory implements Gateway.
func (d *Daemon) Memory() *memorybudget.Budget { return d.memory }

// EnsureEnding implements Gateway.
func (d *Daemon) EnsureEnding(ctx context.Context, request string, responder relay.Responder, serve func(relay.Responder)) {
	d.relay.EnsureEnding(ctx, request, responder, serve)
}

// Serve implements Gateway.
func (d *Daemon) Serve(ctx context.Context, call *relay.Call, responder relay.Responder) {
	d.relay.Serve(ctx, call, responder)
}

// isReady reports whether the daemon should get requests: it knows routes and instances, had time
// to discover the other daemons, and is not shutting down. It must not be isolated either: it could
// not serve most requests, and another zone could.
func (d *Daemon) isReady() bool {
	return !d.RedirectsCallers() && d.table.Load() != nil && d.pool.HasList() && d.ledger.DiscoveryDone()
}

var (
	_ Gateway                   = (*Daemon)(nil)
	_ ledger.RouteConfirmations = (*Daemon)(nil)
	_ ledger.Evacuations        = (*Daemon)(nil)
)
