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

// Settings bound how fast placement moves. All durations are positive.
type Settings struct {
	// FirstShard and Shards give the range of control shards.
	FirstShard structs.ShardNumber
	Shards     int
	// Period is the pause between looks. One control shard at a time may have
	// engines read weights, in turn, and a model is started once per period.
	Period time.Duration
	// MaximumLoading bounds the engines of the whole fleet that read from the
	// weight store at a time, where operators set no other bound.
	MaximumLoading int
	// HighUtilization is the share of a model's batches in use above which it gets
	// another engine; LowUse that below which it may give one up.
	HighUtilization float64
	LowUtilization  float64
	// HighUseDuration is how long a model must be above HighUse.
	HighUseDuration time.Duration
	// Cooldown is how long an engine stays as it is after a change.
	Cooldown time.Duration
	// OrderTimeout is when an order that is not carried out is given up.
	OrderTimeout time.Duration
	// FailureBackoff is how long an engine whose order was refused or given up
	// gets no other.
	FailureBackoff time.Duration
	// AdapterRetention is how long an adapter stays at an engine after it was last
	// seen in use, also when others are in want of its place.
	AdapterRetention time.Duration
	// ReportTTL is when another shard's summary, a daemon's demand or an
	// engine's report no longer counts.
	ReportTTL time.Duration
}

// DefaultSettings returns settings for one control shard. FirstShard is the
// node's to set: control shards follow the program shards.
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

// Router tells where shards are led.
type Router interface {
	Route(shard structs.ShardNumber) replication.Route
	// Learn takes a route that another daemon named; one without a leader has
	// this daemon ask around.
	Learn(shard structs.ShardNumber, route replication.Route)
}

// Configurations gives the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// Queues tells how many calls of this daemon wait, by model, in order.
type Queues interface {
	WaitingByModel() []ModelWaiting
}

// Guards switch off what keeps promises, so that the simulation can show that
// its checks notice. All are off in a daemon.
type Guards struct {
	// SkipRecord gives orders without recording them, and does not look
	// whether the engine still carries one out.
	SkipRecord bool
}

// Options gives a Manager what it works with.
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

// Manager runs the control shards that this daemon leads, and tells leaders
// elsewhere of this daemon's demand. It implements replication.Application
// for control shards.
type Manager struct {
	Options
	controllers replication.LeaderTable[controller]

	mutex     sync.Mutex
	engines   []structs.EngineID
	hadDemand bool
	// rotation is where the next report of adapters in want begins.
	rotation int
	stopped  bool
}

// New returns a manager without control shards.
func New(options Options) *Manager {
	return &Manager{Options: options}
}

// Owns tells whether a shard is a control shard.
func (m *Manager) Owns(shard structs.ShardNumber) bool { return shard >= m.Settings.FirstShard }

// NewStateMachine implements replication.Application.
func (m *Manager) NewStateMachine(structs.ShardNumber) replication.StateMachine { return NewState() }

// Pressure implements replication.Application.
func (m *Manager) Pressure() replication.Pressure { return replication.PressureNone }

// Lead implements replication.Application.
func (m *Manager) Lead(shard structs.ShardNumber, machine replication.StateMachine, leadership replication.Leadership) {
	c := newController(m, shard, machine.(*State), leadership)
	if former := m.controllers.Put(shard, c); former != nil {
		former.stop()
	}
	c.start()
}

// Follow implements replication.Application.
func (m *Manager) Follow(shard structs.ShardNumber) {
	if c := m.controllers.Take(shard); c != nil {
		c.stop()
	}
}

// Start begins to tell of this daemon's demand.
func (m *Manager) Start() { m.reportDemand() }

// Stop ends that.
func (m *Manager) Stop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopped = true
}

// MachinesListed takes the platform's list of machines.
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

// enginesOf returns the listed engines that a control shard answers for.
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

// Receive handles a message of this package. It returns false for others.
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

// toController hands a message to the control shard's leader here, or tells the
// sender where else it is: a route that nobody corrects stays wrong for ever.
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

// reportDemand sends what waits here to the control shards of the models. A
// daemon where nothing waits says so once and is then silent.
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

// reportedAdapters bounds the adapters of one report of demand, so that its
// size does not follow the number of tenants.
const maximumReportedAdapters = 32

// rotate leaves out of a long list the adapters that are not due in this
// report; the next report begins behind this one's last.
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
