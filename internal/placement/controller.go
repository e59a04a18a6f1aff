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

// controller leads one control shard in one epoch. All of its state is accessed
// on the shard's queue.
type controller struct {
	*Manager
	shard      structs.ShardNumber
	state      *State
	leadership replication.Leadership
	queue      *serial.Queue
	startedAt  time.Time
	stopped    bool
	timer      clock.Timer

	fenceCount uint64
	reports    map[structs.EngineID]report
	demand     map[structs.DaemonID]receivedDemand
	summaries  map[structs.ShardNumber]receivedSummary
	// highSince is since when a model or an adapter has needed more engines.
	highSince map[structs.ModelAdapter]time.Time
	// adapterLastUsed is when an adapter was last seen in use, or first seen.
	adapterLastUsed map[engineAdapter]time.Time
	// proposed holds orders that are being recorded.
	proposed map[structs.EngineID]structs.Order
}

// engineAdapter is an adapter on one engine.
type engineAdapter struct {
	engine  structs.EngineID
	adapter structs.ModelAdapter
}

// report is an engine's load report and when it was received.
type report struct {
	load structs.LoadReport
	at   time.Time
}

type receivedDemand struct {
	waiting []ModelWaiting
	at      time.Time
}

type receivedSummary struct {
	models  []ModelLoad
	loading int
	at      time.Time
}

func newController(m *Manager, shard structs.ShardNumber, state *State, leadership replication.Leadership) *controller {
	return &controller{
		Manager:         m,
		shard:           shard,
		state:           state,
		leadership:      leadership,
		queue:           leadership.Queue(),
		startedAt:       m.Clock.Now(),
		reports:         map[structs.EngineID]report{},
		demand:          map[structs.DaemonID]receivedDemand{},
		summaries:       map[structs.ShardNumber]receivedSummary{},
		highSince:       map[structs.ModelAdapter]time.Time{},
		adapterLastUsed: map[engineAdapter]time.Time{},
		proposed:        map[structs.EngineID]structs.Order{},
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

// tick requests load reports, continues the orders in force, and issues new
// ones when it is this shard's turn.
func (c *controller) tick() {
	engines := c.enginesOf(c.shard)
	c.readLoads(engines)
	c.forgetRemoved(engines)
	c.resendOrders()
	fleet := c.fleetLoad(c.ownLoad(engines))
	c.updateHighSince(fleet)
	if c.isTurn() && c.hasAllSummaries() {
		c.startOrders(engines, fleet)
	}
	c.sendSummary(relevantLoads(c.ownLoad(engines), fleet))
	c.timer = c.Clock.AfterFunc(c.Settings.Period, func() { c.post(c.tick) })
}

// isTurn reports whether this control shard may start loads in this period.
func (c *controller) isTurn() bool {
	period := c.Clock.Now().UnixNano() / int64(c.Settings.Period)
	return period%int64(c.Settings.Shards) == int64(c.shard-c.Settings.FirstShard)
}

// hasAllSummaries reports whether summaries of all other control shards have
// arrived. A leader that has waited for ReportTTL proceeds without them.
func (c *controller) hasAllSummaries() bool {
	now := c.Clock.Now()
	if now.Sub(c.startedAt) > c.Settings.ReportTTL {
		return true
	}
	return len(c.summaries) >= c.Settings.Shards-1
}

func (c *controller) readLoads(engines []structs.EngineID) {
	for _, engine := range engines {
		c.Engines.Load(engine, func(load structs.LoadReport, err error) {
			c.post(func() {
				if err == nil {
					c.handleReport(engine, load)
				}
			})
		})
	}
}

func (c *controller) handleReport(engine structs.EngineID, load structs.LoadReport) {
	now := c.Clock.Now()
	c.reports[engine] = report{load: load, at: now}
	for _, adapter := range load.Adapters {
		key := engineAdapter{engine, adapter.ModelAdapter}
		if _, known := c.adapterLastUsed[key]; !known || adapter.Running > 0 {
			c.adapterLastUsed[key] = now
		}
	}
}

// latestReport returns an engine's load report unless it has expired.
func (c *controller) latestReport(engine structs.EngineID) (structs.LoadReport, bool) {
	entry, known := c.reports[engine]
	if !known || c.Clock.Now().Sub(entry.at) > c.Settings.ReportTTL {
		return structs.LoadReport{}, false
	}
	return entry.load, true
}

// forgetRemoved drops the state of engines that the platform no longer lists.
func (c *controller) forgetRemoved(engines []structs.EngineID) {
	if len(engines) == 0 {
		return
	}
	maps.DeleteFunc(c.adapterLastUsed, func(key engineAdapter, _ time.Time) bool { return !c.hasAdapter(engines, key) })
	for _, engine := range slices.Sorted(maps.Keys(c.state.engines)) {
		if slices.Contains(engines, engine) {
			continue
		}
		delete(c.reports, engine)
		record := structs.Record{At: c.Clock.Now(), EngineRemoved: &structs.EngineRemoved{Engine: engine}}
		c.leadership.Propose([]structs.Record{record}, func(error) {})
	}
}

// hasAdapter reports whether a listed engine still has an adapter.
func (c *controller) hasAdapter(engines []structs.EngineID, key engineAdapter) bool {
	if !slices.Contains(engines, key.engine) {
		return false
	}
	return slices.ContainsFunc(c.reports[key.engine].load.Adapters, func(a structs.EngineAdapter) bool {
		return a.ModelAdapter == key.adapter
	})
}

func (c *controller) handleDemand(from structs.DaemonID, demand *Demand) {
	if len(demand.Waiting) == 0 {
		delete(c.demand, from)
		return
	}
	c.demand[from] = receivedDemand{waiting: demand.Waiting, at: c.Clock.Now()}
}

func (c *controller) handleSummary(summary *Summary) {
	c.summaries[summary.From] = receivedSummary{models: summary.Models, loading: summary.Loading, at: c.Clock.Now()}
}

// relevantLoads omits adapters that no call waits for and no engine loads:
// there may be as many as tenants, and no decision depends on them.
func relevantLoads(own []ModelLoad, fleet loads) []ModelLoad {
	return slices.DeleteFunc(own, func(load ModelLoad) bool {
		return load.Adapter != "" && load.Loading == 0 && fleet.of(load.ModelAdapter).Waiting == 0
	})
}

func (c *controller) sendSummary(models []ModelLoad) {
	reading := c.ownLoading()
	for i := range c.Settings.Shards {
		shard := c.Settings.FirstShard + structs.ShardNumber(i)
		if shard == c.shard {
			continue
		}
		if route := c.Router.Route(shard); route.Leader != "" {
			c.Transport.Send(route.Leader, &Summary{To: shard, From: c.shard, Models: models, Loading: reading})
		}
	}
}
