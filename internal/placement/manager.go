package placement

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Settings bounds how fast placement changes. All durations are positive.
type Settings struct {
	// FirstShard and Shards are the range of control shards.
	FirstShard structs.ShardNumber
	Shards     int
	// Period is the interval between decisions. The control shards take turns
	// to start loads, and one model load is started per period.
	Period time.Duration
	// MaximumLoading bounds the engines of the whole fleet that load weights at
	// a time, unless the configuration sets another bound.
	MaximumLoading int
	// HighUtilization is the utilization from which on a model gets another
	// engine; LowUtilization that below which it may lose one.
	HighUtilization float64
	LowUtilization  float64
	// HighUseDuration is how long the utilization must be high.
	HighUseDuration time.Duration
	// Cooldown is how long an engine keeps its model after a change.
	Cooldown time.Duration
	// OrderTimeout is how long an order may take before it is abandoned.
	OrderTimeout time.Duration
	// FailureBackoff is how long an engine gets no other order after one was
	// refused or timed out.
	FailureBackoff time.Duration
	// AdapterRetention is how long an adapter stays loaded after its last use,
	// even if others need its slot.
	AdapterRetention time.Duration
	// ReportTTL is how long another shard's summary, a daemon's demand or an
	// engine's load report is valid.
	ReportTTL time.Duration
}

// DefaultSettings returns settings for one control shard. The node sets
// FirstShard: control shards follow the program shards.
func DefaultSettings() Settings {
	return Settings{
		Shards:           1,
		Period:           5 * time.Second,
		MaximumLoading:   4,
		HighUtilization:  0.85,
		LowUtilization:   0.5,
		HighUseDuration:  15 * time.Second,
		Cooldown:         2 * time.Minute,
		OrderTimeout:     5 * time.Minute,
		FailureBackoff:   30 * time.Second,
		AdapterRetention: 2 * time.Minute,
		ReportTTL:        30 * time.Second,
	}
}

// Router provides the routes to shard leaders.
type Router interface {
	Route(shard structs.ShardNumber) replication.Route
	// Learn records a route that another daemon reported. A route without a
	// leader makes this daemon look for one.
	Learn(shard structs.ShardNumber, route replication.Route)
}

// Configurations provides the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// Queues provides the number of this daemon's waiting calls by model, sorted.
type Queues interface {
	WaitingByModel() []ModelWaiting
}

// Guards lets a simulation disable a safeguard, to show that its checker
// detects the consequences. The zero value has every guard on.
type Guards struct {
	// SkipRecord sends orders without recording them, and ignores orders in
	// progress.
	SkipRecord bool
}

// Options configures a Manager.
type Options struct {
	Self           structs.DaemonID
	Clock          clock.Clock
	Transport      peer.Transport
	Engines        framework.EngineDriver
	Configurations Configurations
	Router         Router
	Queues         Queues
	Settings       Settings
	Guards         Guards
	Logger         zerolog.Logger
}

// Manager runs the control shards that this daemon leads, and reports this
// daemon's demand to the leaders of the others. It implements
// replication.Application for control shards.
type Manager struct {
	Options
	controllers replication.LeaderTable[controller]

	mutex     sync.Mutex
	engines   []structs.EngineID
	hadDemand bool
	// rotation is the index at which the next report of adapter demand begins.
	rotation int
	stopped  bool
}

// New returns a manager without control shards.
func New(options Options) *Manager {
	return &Manager{Options: options}
}

// Owns reports whether a shard is a control shard.
func (m *Manager) Owns(shard structs.ShardNumber) bool { return shard >= m.Settings.FirstShard }

// NewStateMachine implements replication.Application.
func (m *Manager) NewStateMachine(structs.ShardNumber) replication.StateMachine { return NewState() }

// Pressure implements replication.Application.
func (m *Manager) Pressure() replication.Pressure { return replication.PressureNone }

// Lead implements replication.Application.
func (m *Manager) Lead(shard structs.ShardNumber, machine replication.StateMachine, leadership replication.Leadership) {
	c := newController(m, shard, machine.(*State), leadership)
	if previous := m.controllers.Put(shard, c); previous != nil {
		previous.stop()
	}
	c.start()
}

// Follow implements replication.Application.
func (m *Manager) Follow(shard structs.ShardNumber) {
	if c := m.controllers.Take(shard); c != nil {
		c.stop()
	}
}

// Start starts the reports of this daemon's demand.
func (m *Manager) Start() { m.reportDemand() }

// Stop stops the reports of this daemon's demand.
func (m *Manager) Stop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopped = true
}

// MachinesListed applies the platform's list of machines.
func (m *Manager) MachinesListed(machines []structs.Machine) {
	var engines []structs.EngineID
	for _, machine := range machines {
		if machine.Kind == structs.MachineEngine && machine.State == structs.MachineLive {
			engines = append(engines, structs.EngineID(machine.Address))
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.engines = engines
}

// enginesOf returns the listed engines that a control shard is responsible for.
func (m *Manager) enginesOf(shard structs.ShardNumber) []structs.EngineID {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var mine []structs.EngineID
	for _, engine := range m.engines {
		if m.shardOf(string(engine)) == shard {
			mine = append(mine, engine)
		}
	}
	return mine
}

func (m *Manager) shardOf(name string) structs.ShardNumber {
	return m.Settings.FirstShard + structs.ShardNumber(xxhash.Sum64String(name)%uint64(m.Settings.Shards))
}

// Receive handles a message of this package, and reports whether it is one.
func (m *Manager) Receive(from structs.DaemonID, message peer.Message) bool {
	switch typed := message.(type) {
	case *Demand:
		m.toController(from, typed.Shard, func(c *controller) { c.handleDemand(from, typed) })
	case *Summary:
		m.toController(from, typed.To, func(c *controller) { c.handleSummary(typed) })
	case *Redirected:
		m.Router.Learn(typed.Shard, replication.Route{Leader: typed.Leader, Epoch: typed.Epoch})
	default:
		return false
	}
	return true
}

// toController passes a message to this daemon's leader of the control shard,
// or sends the route back: without a correction the sender would keep using the
// wrong one.
func (m *Manager) toController(from structs.DaemonID, shard structs.ShardNumber, task func(*controller)) {
	if c := m.controllers.Get(shard); c != nil {
		c.post(func() { task(c) })
		return
	}
	answer := &Redirected{Shard: shard}
	if route := m.Router.Route(shard); route.Leader != m.Self {
		answer.Leader, answer.Epoch = route.Leader, route.Epoch
	}
	m.Transport.Send(from, answer)
}

// reportDemand sends the waiting calls to the control shards of their models. A
// daemon whose queue has become empty reports that once and is then silent.
func (m *Manager) reportDemand() {
	m.mutex.Lock()
	stopped, hadDemand := m.stopped, m.hadDemand
	m.mutex.Unlock()
	if stopped {
		return
	}
	waiting := m.rotate(m.Queues.WaitingByModel())
	if len(waiting) > 0 || hadDemand {
		m.sendDemand(waiting)
	}
	m.mutex.Lock()
	m.hadDemand = len(waiting) > 0
	m.mutex.Unlock()
	m.Clock.AfterFunc(m.Settings.Period, m.reportDemand)
}

// maximumReportedAdapters bounds the adapters in one report of demand, so that
// its size does not grow with the number of tenants.
const maximumReportedAdapters = 32

// rotate limits a report to maximumReportedAdapters adapters; the next report
// continues after its last.
func (m *Manager) rotate(waiting []ModelWaiting) []ModelWaiting {
	var models, adapters []ModelWaiting
	for _, entry := range waiting {
		if entry.Adapter == "" {
			models = append(models, entry)
		} else {
			adapters = append(adapters, entry)
		}
	}
	if len(adapters) <= maximumReportedAdapters {
		return waiting
	}
	for range maximumReportedAdapters {
		m.rotation %= len(adapters)
		models = append(models, adapters[m.rotation])
		m.rotation++
	}
	return models
}

func (m *Manager) sendDemand(waiting []ModelWaiting) {
	for i := range m.Settings.Shards {
		shard := m.Settings.FirstShard + structs.ShardNumber(i)
		var share []ModelWaiting
		for _, entry := range waiting {
			if m.shardOf(string(entry.Model)) == shard {
				share = append(share, entry)
			}
		}
		if route := m.Router.Route(shard); route.Leader != "" {
			m.Transport.Send(route.Leader, &Demand{Shard: shard, Waiting: share})
		}
	}
}
