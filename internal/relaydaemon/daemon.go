package relaydaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/peer/tcp"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/proxy"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/zone"
	"github.com/mintpulley/mintpulley/internal/zone/reach"
)

const (
	// ledgerSpace is where the ledger's shards lie; a number follows.
	ledgerSpace = "ledger-"
	// ledgerDirectory is where the shards' holders are told.
	ledgerDirectory = "ledger-holders"
	// memoryShare is the part of the memory that the runtime aims to stay in.
	memoryShare = 0.7
	// recordShare is the part of the memory that the text of turns may take
	// which wait for their record: some hundred turns on the smallest machines.
	recordShare = 0.1
	// heapGrowth is by how many percent the heap may grow until it is collected.
	// Memory costs operators more than the processor time of collecting: at 30
	// in place of the runtime's 100 a daemon takes 13 MB at its peak in place of
	// 18, and 23% more processor time (khaosan quiet-1).
	heapGrowth = 30
	megabyte   = 1 << 20
)

// Daemon is a running relay daemon.
type Daemon struct {
	settings Settings
	logger   zerolog.Logger
	adapter  Adapter

	// admission decides how long requests wait.
	admission *admission.Admission
	relay     *relay.Relay
	ledger    *ledger.Service
	// regional are the ledgers of single regions.
	regional   *regionalLedgers
	membership *membership.Membership
	transport  *tcp.Transport
	pool       *instance.Pool
	// topology is which zones there are, and how far.
	topology zone.Topology
	// evacuations are which zones the operators evacuated.
	evacuations zone.Evacuations
	// zones is which zones this daemon is cut off from, and reach finds that out; nil
	// in a fleet of one zone.
	zones    *zone.Reachability
	reach    *reach.Watch
	registry *memberRegistry
	// cold bounds what cold instances get.
	cold *warmup.Limiter
	// store is reached by way of other daemons where this one does not reach it.
	store   *proxy.Service
	figures *prometheus.Registry
	// servers are all that listen but for front, the one that callers reach.
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
	stopping  atomic.Bool
	stopOnce  sync.Once
	cancel    context.CancelFunc
	workers   sync.WaitGroup
}

// Start opens the listeners and sets the daemon going.
func Start(settings Settings, logger zerolog.Logger, lost *LostLines) (*Daemon, error) {
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMegabytes) * megabyte))
	}
	debug.SetGCPercent(heapGrowth)
	newAdapter, err := Adapters.Lookup(settings.Adapter)
	if err != nil {
		return nil, err
	}
	figures := prometheus.NewRegistry()
	figures.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "log", Name: "lines_lost_total", Help: "Log lines that were dropped.",
	}, func() float64 { return float64(lost.Count()) }))
	d := &Daemon{
		settings: settings,
		logger:   logger,
		figures:  figures,
		hasTable: make(chan struct{}),
		keys:     newConfirmation(),

		startedAt: time.Now(),
		admission: &admission.Admission{},
		topology:  settings.topology(),
		adapter: newAdapter(AdapterOptions{
			StoreAddress: settings.StoreAddress,
			Logger:       part(logger, "adapter"),
			Registry:     figures,
		}),
	}
	d.cold = warmup.NewLimiter(warmup.Options{
		Terms:   settings.coldTerms(),
		Own:     settings.PeerAddress,
		Returns: &d.evacuations,
		Logger:  part(logger, "warmup"),
		Metrics: warmup.NewMetrics(figures),
	})
	if len(d.topology.Zones()) > 1 {
		d.zones = zone.NewReachability(d.topology)
	}
	d.pool = instance.NewPool(newRandom(), d.placementPlugins())
	d.registerZones(figures)
	if err := d.join(figures); err != nil {
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

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func part(logger zerolog.Logger, name string) zerolog.Logger {
	return logger.With().Str("part", name).Logger()
}

// join makes the daemon one of the fleet, with its share of the ledger.
func (d *Daemon) join(figures prometheus.Registerer) error {
	d.registry = newMemberRegistry(d.adapter.Store(), d.settings, d.cold, part(d.logger, "members"))
	self := structs.Daemon{
		ID:     structs.NewDaemonID(d.settings.PeerAddress, d.registry.incarnation()),
		Zone:   structs.ZoneName(d.settings.Zone),
		Region: structs.RegionName(d.settings.Region),

		Capacity: d.settings.capacity(),
	}
	receiver := &receiverSlot{}
	sent := newTraffic(d.topology, figures)
	transport, err := tcp.Listen(self.ID, receiver, sent.count, part(d.logger, "peer"))
	if err != nil {
		return err
	}
	d.transport = transport
	d.membership = membership.New(membership.Options{
		Self:      self,
		Clock:     clock.System(),
		Random:    newRandom(),
		Transport: transport,
		Settings:  membershipSettings(),
		Logger:    part(d.logger, "membership"),
	})
	sent.members = d.membership.Lookup
	d.store = proxy.New(proxy.Options{
		Self:      self.ID,
		Region:    self.Region,
		Direct:    store.NewMeter(d.adapter.Store(), figures, part(d.logger, "store")),
		Transport: transport,
		View:      d.membership,
		Random:    newRandom(),
		MayHelp:   mayHelp,
		Logger:    part(d.logger, "store"),
		Metrics:   proxy.NewMetrics(figures),
	})
	d.registry.store, d.registry.contact = d.store, d.store
	options := ledger.Options{
		Self:       self.ID,
		Store:      d.store,
		Contact:    d.store,
		Transport:  transport,
		View:       d.membership,
		Partitions: ledgerPartitions(d.settings),
		Directory:  store.Partition{Space: ledgerDirectory},
		SettleTime: ledger.DefaultSettleTime,
		Admission:  d.admission,
		Expected:   d.registry.count,
		Quota:      d.settings.quotaTerms(),
		Machine:    machineClock(d.settings.PeerAddress),

		StoreReadBytes: d.settings.StoreReadMegabytes * 1e6,

		Confirmations: d,
		Evacuations:   d,
		Logger:        part(d.logger, "ledger"),
		Metrics:       ledger.NewMetrics(figures),
	}
	d.ledger = ledger.NewService(options)
	d.regional = newRegionalLedgers(d.topology, options)
	d.relay = relay.New(relay.Options{
		Pool:    d.pool,
		Driver:  d.adapter.Driver(),
		Ledger:  d.regional.join(d.ledger),
		Quota:   quota.NewGate(d.ledger, d.settings.quotaTerms()),
		Table:   d.table.Load,
		Daemons: func() int { return len(d.membership.Members()) },

		Evacuations: &d.evacuations,
		Zones:       d.zones,
		AwayAfter:   noticeTime,
		Admission:   d.admission,
		RecordBytes: int64(recordShare * float64(d.settings.MemoryMegabytes) * megabyte),
		Logger:      part(d.logger, "relay"),
		Metrics:     relay.NewMetrics(figures),
	})
	d.watchZones()
	receiver.daemon.Store(d)
	return nil
}

// membershipSettings are those of a fleet whose daemons must find each other
// fast after the loss of all of them: within some 0.1 s, where looking for one
// another at the usual pace took 0.6 s.
func membershipSettings() membership.Settings {
	settings := membership.DefaultSettings()
	settings.FirstJoinTime = 600 * time.Millisecond
	settings.FirstJoinInterval = 50 * time.Millisecond
	settings.FirstJoinFanout = 3
	return settings
}

func ledgerPartitions(settings Settings) []store.Partition {
	var partitions []store.Partition
	for space := range settings.LedgerSpaces {
		for number := range settings.LedgerPartitions {
			partitions = append(partitions, store.Partition{Space: ledgerSpace + strconv.Itoa(space), Number: number})
		}
	}
	return partitions
}

// receiverSlot lets the transport start before the parts that it serves.
type receiverSlot struct{ daemon atomic.Pointer[Daemon] }

// Receive implements peer.Handler.
func (s *receiverSlot) Receive(from structs.DaemonID, message peer.Message) {
	d := s.daemon.Load()
	if d == nil {
		return
	}
	if !d.membership.Receive(from, message) && !d.store.Receive(from, message) && !d.receiveReach(from, message) &&
		!d.ledger.Receive(from, message) {
		d.regional.receive(from, message)
	}
}

// run starts what works in the background.
func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.membership.Start()
	d.workers.Go(func() { d.registry.run(ctx, d.membership.MachinesListed) })
	d.workers.Go(func() { d.ledger.Run(ctx) })
	d.regional.start(func(service *ledger.Service) { d.workers.Go(func() { service.Run(ctx) }) })
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
	wait := admission.Wait{Kind: admission.RoutesUnknown, Since: d.startedAt, Worthless: now.Add(left)}
	timer := time.NewTimer(d.admission.Decide(wait, now).Until.Sub(now))
	defer timer.Stop()
	select {
	case <-d.hasTable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.table.Load()
}

// Serve implements Gateway.
func (d *Daemon) Serve(ctx context.Context, call *relay.Call, responder relay.Responder) {
	d.relay.Serve(ctx, call, responder)
}

// isReady tells whether the daemon may get requests. One that is cut off can not serve
// most of them: their callers are better led to another zone.
func (d *Daemon) isReady() bool {
	return !d.SendsAway() && d.table.Load() != nil && d.pool.Listed() && d.ledger.IsSettled()
}

var (
	_ Gateway              = (*Daemon)(nil)
	_ ledger.Confirmations = (*Daemon)(nil)
	_ ledger.Evacuations   = (*Daemon)(nil)
)

// Pauses with which operators' and back ends' records are followed. A reading
// that hangs since its machine was cut off must end within the three seconds
// after which a machine that reaches the store again is held to what stands
// there: Wait and Answer stay below. Back ends write often: their changes are
// read together. Routes are confirmed by each reading: one that hangs must leave time
// for another before keys count as unconfirmed, 2 x Wait + Answer + Retry.
var (
	routesWatch = store.WatchSettings{
		Wait: 1500 * time.Millisecond, Answer: 700 * time.Millisecond, Retry: 150 * time.Millisecond,
	}
	instancesWatch = store.WatchSettings{
		Wait: 2 * time.Second, Answer: 700 * time.Millisecond, Retry: 150 * time.Millisecond,
		Pause: 500 * time.Millisecond,
	}
)
