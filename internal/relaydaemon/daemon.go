package relaydaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer/tcp"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
	"github.com/mintpulley/mintpulley/internal/store/proxy"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/zone"
	"github.com/mintpulley/mintpulley/internal/zone/reach"
)

const (
	// memoryShare is the part of the memory that the runtime aims to stay in.
	memoryShare = 0.7
	// heapGrowth is by how many percent the heap may grow until it is collected.
	// Memory costs operators more than the processor time of collecting: in a run of 11
	// daemons for each value, 30 in place of the runtime's 100 took 13 MB at the peak in
	// place of 18, and 23% more processor time.
	heapGrowth = 30
	megabyte   = 1 << 20
)

// Daemon is a running relay daemon.
type Daemon struct {
	settings Settings
	logger   zerolog.Logger
	adapter  Adapter

	// admission decides how long requests wait.
	admission *admission.Controller
	relay     *relay.Relay
	ledger    *ledger.Service
	// regional are the ledgers of single regions.
	regional   *regionalLedgers
	membership *membership.Membership
	transport  *tcp.Transport
	pool       *instance.Pool
	// topology is which zones there are, and how far each is.
	topology zone.Topology
	// evacuations are which zones the operators evacuated.
	evacuations zone.Evacuations
	// zones is which zones this daemon is cut off from, and reach finds that out; nil
	// in a fleet of one zone.
	zones    *zone.Reachability
	reach    *reach.Monitor
	registry *memberRegistry
	// cold limits the requests to cold instances.
	cold *warmup.Limiter
	// store is reached by way of other daemons where this one does not reach it.
	store *proxy.Service
	// records is where the operators' records are read: at the store, or of a neighbour while
	// they are large.
	records *fanout.Service
	figures *prometheus.Registry
	// watchMetrics count the readings of what is followed in the store.
	watchMetrics *store.WatchMetrics
	// servers are all servers but front, the one that callers reach.
	servers []*http.Server
	front   *frontServer

	table atomic.Pointer[route.Table]
	// refused: newer routes than those in force could not be understood.
	refused atomic.Bool
	// keys tells when the routes in force, keys included, were last confirmed.
	keys *confirmation
	// hasTable is closed once routes are known.
	hasTable  chan struct{}
	startedAt time.Time
	stopping  stopMark
	stopOnce  sync.Once
	cancel    context.CancelFunc
	workers   sync.WaitGroup
}

// Start opens the listeners and sets the daemon going.
func Start(settings Settings, logger zerolog.Logger, lost *LostLines) (*Daemon, error) {
	boundMemory(settings)
	newAdapter, err := Adapters.Lookup(settings.Adapter)
	if err != nil {
		return nil, err
	}
	figures := newFigures(lost)
	d := &Daemon{
		settings: settings,
		logger:   logger,
		figures:  figures,

		watchMetrics: store.NewWatchMetrics(figures),

		hasTable: make(chan struct{}),
		keys:     newConfirmation(),

		startedAt: time.Now(),
		admission: &admission.Controller{},
		topology:  settings.topology(),
		adapter: newAdapter(AdapterOptions{
			StoreAddress: settings.StoreAddress,
			Logger:       part(logger, "adapter"),
			Registry:     figures,
		}),
	}
	d.preparePlacement()
	if err := d.join(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		d.transport.Close()
		return nil, err
	}
	d.run()
	logger.Info().Str("id", string(d.membership.Self.ID)).Str("zone", settings.Zone).Msg("Daemon started.")
	return d, nil
}

// boundMemory makes the runtime keep within the settings' memory.
func boundMemory(settings Settings) {
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes) * megabyte))
	}
	debug.SetGCPercent(heapGrowth)
}

// newFigures returns a registry with the figures of the log.
func newFigures(lost *LostLines) *prometheus.Registry {
	figures := prometheus.NewRegistry()
	figures.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "log", Name: "lines_lost_total", Help: "Log lines that were dropped.",
	}, func() float64 { return float64(lost.Count()) }))
	return figures
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func part(logger zerolog.Logger, name string) zerolog.Logger {
	return logger.With().Str("part", name).Logger()
}

// run starts what works in the background.
func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.membership.Start()
	d.workers.Go(func() { d.registry.run(ctx, d.membership.MachinesListed) })
	d.workers.Go(func() { d.ledger.Run(ctx) })
	d.regional.setRunner(func(service *ledger.Service) { d.workers.Go(func() { service.Run(ctx) }) })
	d.workers.Go(func() { d.watchRoutes(ctx) })
	d.workers.Go(func() { d.watchInstances(ctx) })
	d.workers.Go(func() { d.watchReach(ctx) })
}

// Table implements Gateway. The first routes are waited for while it is likely that
// they come within the time that the caller has left.
func (d *Daemon) Table(ctx context.Context, left time.Duration) *route.Table {
	if table := d.table.Load(); table != nil || left <= 0 {
		return table
	}
	now := time.Now()
	wait := admission.HeldUpRequest{Kind: admission.RoutesUnknown, Since: d.startedAt, LatestStart: now.Add(left)}
	timer := time.NewTimer(d.admission.Decide(wait, now).WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case <-d.hasTable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.table.Load()
}

// Watch implements Gateway.
func (d *Daemon) EnsureEnding(ctx context.Context, request string, responder relay.Responder, serve func(relay.Responder)) {
	d.relay.EnsureEnding(ctx, request, responder, serve)
}

// Serve implements Gateway.
func (d *Daemon) Serve(ctx context.Context, call *relay.Call, responder relay.Responder) {
	d.relay.Serve(ctx, call, responder)
}

// isReady tells whether the daemon may get requests. One that is cut off can not serve
// most of them: their callers are better led to another zone.
func (d *Daemon) isReady() bool {
	return !d.RedirectsCallers() && d.table.Load() != nil && d.pool.HasList() && d.ledger.DiscoveryDone()
}

var (
	_ Gateway                   = (*Daemon)(nil)
	_ ledger.RouteConfirmations = (*Daemon)(nil)
	_ ledger.Evacuations        = (*Daemon)(nil)
)
