package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// controller leads one control shard in one epoch. Everything runs on the
// shard's queue.
type controller struct {
	*Manager
	shard      structs.ShardNumber
	state      *State
	leadership replication.Leadership
	queue      *serial.Queue
	startedAt  time.Time
	stopped    bool
	timer      clock.Timer

	fences  uint64
	reports map[structs.EngineID]report
	demand  map[structs.DaemonID]heardDemand
	others  map[structs.ShardNumber]heardSummary
	// highSince is when a model or an adapter was first seen above HighUse.
	highSince map[structs.ModelAdapter]time.Time
	// adapterUse is when adapters were last seen in use, or first seen.
	adapterUse map[adapterPlace]time.Time
	// proposed holds orders that are being recorded.
	proposed map[structs.EngineID]structs.Order
}

// adapterPlace is an adapter at one engine.
type adapterPlace struct {
	engine  structs.EngineID
	adapter structs.ModelAdapter
}

// report is an engine's load report and when it was read.
type report struct {
	load structs.LoadReport
	at   time.Time
}

type heardDemand struct {
	waiting []ModelWaiting
	at      time.Time
}

type heardSummary struct {
	models  []ModelLoad
	reading int
	at      time.Time
}

func newController(m *Manager, shard structs.ShardNumber, state *State, leadership replication.Leadership) *controller {
	return &controller{
		Manager:    m,
		shard:      shard,
		state:      state,
		leadership: leadership,
		queue:      leadership.Queue(),
		startedAt:  m.Clock.Now(),
		reports:    map[structs.EngineID]report{},
		demand:     map[structs.DaemonID]heardDemand{},
		others:     map[structs.ShardNumber]heardSummary{},
		highSince:  map[structs.ModelAdapter]time.Time{},
		adapterUse: map[adapterPlace]time.Time{},
		proposed:   map[structs.EngineID]structs.Order{},
	}
}

func (c *controller) start() { c.tick() }

func (c *controller) stop() {
	c.stopped = true
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *controller) post(task func()) {
	c.queue.Do(func() {
		if !c.stopped {
			task()
		}
	})
}

// tick looks at the engines, carries on with orders in force, and starts new
// ones when it is this shard's turn.
func (c *controller) tick() {
	engines := c.enginesOf(c.shard)
	c.readLoads(engines)
	c.forgetGone(engines)
	c.driveOrders()
	fleet := c.fleetLoad(c.ownLoad(engines))
	c.noteHighUse(fleet)
	if c.isTurn() && c.knowsOthers() {
		c.startOrders(engines, fleet)
	}
	c.sendSummary(worthTelling(c.ownLoad(engines), fleet))
	c.timer = c.Clock.AfterFunc(c.Settings.Period, func() { c.post(c.tick) })
}

// isTurn tells whether this control shard may start reading in this period.
func (c *controller) isTurn() bool {
	period := c.Clock.Now().UnixNano() / int64(c.Settings.Period)
	return period%int64(c.Settings.Shards) == int64(c.shard-c.Settings.FirstShard)
}

// knowsOthers tells whether all other control shards were heard of lately. A
// leader that hears nothing for long goes on alone.
func (c *controller) knowsOthers() bool {
	now := c.Clock.Now()
	if now.Sub(c.startedAt) > c.Settings.SummaryAge {
		return true
	}
	return len(c.others) >= c.Settings.Shards-1
}

func (c *controller) readLoads(engines []structs.EngineID) {
	for _, engine := range engines {
		c.Engines.Load(engine, func(load structs.LoadReport, err error) {
			c.post(func() {
				if err == nil {
					c.reportRead(engine, load)
				}
			})
		})
	}
}

func (c *controller) reportRead(engine structs.EngineID, load structs.LoadReport) {
	now := c.Clock.Now()
	c.reports[engine] = report{load: load, at: now}
	for _, adapter := range load.Adapters {
		place := adapterPlace{engine, adapter.ModelAdapter}
		if _, known := c.adapterUse[place]; !known || adapter.Running > 0 {
			c.adapterUse[place] = now
		}
	}
}

// latest returns an engine's report unless it is old.
func (c *controller) latest(engine structs.EngineID) (structs.LoadReport, bool) {
	seen, known := c.reports[engine]
	if !known || c.Clock.Now().Sub(seen.at) > c.Settings.SummaryAge {
		return structs.LoadReport{}, false
	}
	return seen.load, true
}

// forgetGone drops engines that the platform no longer lists.
func (c *controller) forgetGone(engines []structs.EngineID) {
	if len(engines) == 0 {
		return
	}
	maps.DeleteFunc(c.adapterUse, func(place adapterPlace, _ time.Time) bool { return !c.keepsUse(engines, place) })
	for _, engine := range slices.Sorted(maps.Keys(c.state.engines)) {
		if slices.Contains(engines, engine) {
			continue
		}
		delete(c.reports, engine)
		record := structs.Record{At: c.Clock.Now(), EngineRemoved: &structs.EngineRemoved{Engine: engine}}
		c.leadership.Propose([]structs.Record{record}, func(error) {})
	}
}

// keepsUse tells whether an adapter is still at a listed engine.
func (c *controller) keepsUse(engines []structs.EngineID, place adapterPlace) bool {
	if !slices.Contains(engines, place.engine) {
		return false
	}
	return slices.ContainsFunc(c.reports[place.engine].load.Adapters, func(a structs.EngineAdapter) bool {
		return a.ModelAdapter == place.adapter
	})
}

func (c *controller) demandHeard(from structs.DaemonID, demand *Demand) {
	if len(demand.Waiting) == 0 {
		delete(c.demand, from)
		return
	}
	c.demand[from] = heardDemand{waiting: demand.Waiting, at: c.Clock.Now()}
}

func (c *controller) summaryHeard(summary *Summary) {
	c.others[summary.From] = heardSummary{models: summary.Models, reading: summary.Reading, at: c.Clock.Now()}
}

// worthTelling leaves out adapters that no call waits for and no engine reads:
// there may be as many as tenants, and nobody decides about them.
func worthTelling(own []ModelLoad, fleet loads) []ModelLoad {
	return slices.DeleteFunc(own, func(load ModelLoad) bool {
		return load.Adapter != "" && load.Changing == 0 && fleet.of(load.ModelAdapter).Waiting == 0
	})
}

func (c *controller) sendSummary(models []ModelLoad) {
	reading := c.ownReading()
	for i := range c.Settings.Shards {
		shard := c.Settings.FirstShard + structs.ShardNumber(i)
		if shard == c.shard {
			continue
		}
		if route := c.Router.Route(shard); route.Leader != "" {
			c.Transport.Send(route.Leader, &Summary{To: shard, From: c.shard, Models: models, Reading: reading})
		}
	}
}
