package scenario

import (
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// adapterRate lets an engine load an adapter in two seconds.
	adapterRate = 50_000_000
	// modelRate lets an engine load a model in four seconds.
	modelRate = 4_000_000_000
	// orderFaultDelay is the time from an order to the fault that follows it.
	orderFaultDelay = 400 * time.Millisecond
	// minOrderFaultInterval is the minimum interval between two such faults.
	minOrderFaultInterval = 4 * time.Second
)

// placementScenarios returns the scenarios in which models, adapters and caches
// move between engines.
func placementScenarios() []*Scenario {
	return []*Scenario{{
		Name:      "adapters_move",
		Summary:   "Tenants' adapters change and outnumber the engines' adapter slots, while leaders and engines fail during orders.",
		Fleet:     fewAdapterPlaces,
		Configure: func(c *structs.Configuration) { setAdapters(c, "first") },
		Load:      Load{Programs: 40, Over: 50 * time.Second},
		Faults: func(r *Run) {
			newOrderFaultInjector(r)
			r.After(12*time.Second, func() { r.changeAdapters("second") })
			r.After(30*time.Second, func() { r.changeAdapters("third") })
		},
	}, {
		Name:      "caches_move",
		Summary:   "Programs and their caches move between engines with small batches; leaders and engines fail during cache transfers.",
		Fleet:     slowPrompts,
		Shape:     longHistories,
		Configure: longAnswers,
		Budget:    10 * programBudget,
		Load:      Load{Programs: 50, Over: 40 * time.Second},
		Faults:    func(r *Run) { newTransferFaultInjector(r) },
	}, {
		Name:    "version_rollout",
		Summary: "A model changes its version twice under load, on engines with room for one version; no call is refused.",
		Fleet:   singleVersions,
		Shape:   patientCallers,
		Load:    Load{Programs: 60, Over: 60 * time.Second},
		Faults: func(r *Run) {
			r.After(5*time.Second, func() { r.publishVersion("2") })
			r.After(35*time.Second, func() { r.publishVersion("3") })
		},
	}}
}

// slowPrompts makes batches so small that programs change engines, and prompt
// processing slower than a cache transfer.
func slowPrompts(fleet *cluster.Options) {
	fleet.Engine.MaximumRunning = 2
	fleet.Engine.PrefillPerToken = time.Millisecond
	fleet.Engine.LinkBytesPerSecond = 1_000_000_000
	fleet.Engine.CacheTokens = 30_000
}

// longHistories makes programs with many model calls and long answers.
func longHistories(shape *workload.Shape) {
	shape.Turns, shape.Tokens = 8, 400
	shape.Application, shape.Looping = 0.1, 0
}

func longAnswers(c *structs.Configuration) {
	template := c.Templates[workload.Template]
	template.Limits.AnswerTokens = 400
	c.Templates[workload.Template] = template
}

// transferFaultInjector injects a fault while a cache is being transferred: in
// turn it crashes the leader of the program's shard, the receiver or the
// sender, or blocks the receiver's outgoing messages.
type transferFaultInjector struct {
	run         *Run
	next        int
	lastFaultAt time.Duration
}

// minTransferFaultInterval is the minimum interval between two such faults.
const minTransferFaultInterval = 2 * time.Second

func newTransferFaultInjector(r *Run) {
	f := &transferFaultInjector{run: r}
	for _, engine := range r.Cluster.EngineList {
		engine.OnTransfer = f.onTransfer
	}
}

func (f *transferFaultInjector) onTransfer(transfer framework.Transfer, tokens int64) {
	r := f.run
	r.trace.record(r.Cluster.Elapsed(), "transfer", string(transfer.From), string(transfer.To), transfer.Program.String(), strconv.FormatInt(tokens, 10))
	r.cacheTransfers++
	if r.healed || r.Cluster.Elapsed()-f.lastFaultAt < minTransferFaultInterval {
		return
	}
	f.lastFaultAt = r.Cluster.Elapsed()
	f.next++
	r.After(0, func() { f.inject(transfer) })
}

func (f *transferFaultInjector) inject(transfer framework.Transfer) {
	r := f.run
	switch f.next % 5 {
	case 0:
		r.CutOneWay(string(transfer.To), "", time.Second)
	case 1, 2:
		if leader := r.leader(transfer.Program); leader != nil {
			r.Crash(leader, 2*time.Second)
		}
	case 3:
		r.CrashEngine(r.engine(transfer.To), time.Second)
	default:
		r.CrashEngine(r.engine(transfer.From), time.Second)
	}
}

// singleVersions makes engines unload a version before they load the next.
func singleVersions(fleet *cluster.Options) {
	fleet.Engine.SingleVersion = true
	fleet.WeightRate = modelRate
	fleet.Node.Placement.Period = time.Second
	fleet.Node.Placement.Cooldown = 10 * time.Second
	fleet.Node.Placement.Shards = 2
}

// patientCallers makes callers that set no deadline and do nothing that a fleet
// must refuse.
func patientCallers(shape *workload.Shape) {
	shape.Deadline, shape.Looping, shape.Abandoned, shape.Duplicate, shape.Pipelined = 0, 0, 0, 0, 0
}

// publishVersion has an operator publish another version of the model.
func (r *Run) publishVersion(version string) {
	model := r.initialConfiguration().Models[workload.Model]
	model.Version = version
	model.MinimumEngines = 3
	r.Operators.Publish(cluster.Zone(0), structs.Patch{
		Models: structs.Edit[structs.ModelName, structs.Model]{Set: map[structs.ModelName]structs.Model{workload.Model: model}},
	})
}

// fewAdapterPlaces makes one engine per zone, with room for one adapter.
func fewAdapterPlaces(fleet *cluster.Options) {
	fleet.EnginesPerZone = 1
	fleet.Engine.MaximumAdapters = 1
	fleet.WeightRate = adapterRate
	fleet.Node.Placement.Period = time.Second
	fleet.Node.Placement.AdapterRetention = 4 * time.Second
	fleet.Node.Placement.Shards = 2
	fleet.Node.Placement.FailureBackoff = 5 * time.Second
}

// setAdapters gives each tenant its own adapter, named after a generation.
func setAdapters(c *structs.Configuration, generation structs.AdapterName) {
	for name, tenant := range c.Tenants {
		c.Tenants[name] = withAdapter(tenant, structs.AdapterName(name)+"-"+generation)
	}
}

func withAdapter(tenant structs.Tenant, adapter structs.AdapterName) structs.Tenant {
	use := tenant.Templates[workload.Template]
	use.Adapters = map[structs.ModelName]structs.AdapterName{workload.Model: adapter}
	tenant.Templates = map[structs.TemplateName]structs.TenantTemplate{workload.Template: use}
	return tenant
}

// changeAdapters has an operator publish new adapters for all tenants.
func (r *Run) changeAdapters(generation structs.AdapterName) {
	configuration := r.initialConfiguration()
	setAdapters(&configuration, generation)
	r.Operators.Publish(cluster.Zone(0), structs.Patch{
		Tenants: structs.Edit[structs.TenantName, structs.Tenant]{Set: configuration.Tenants},
	})
}

// orderFaultInjector injects a fault shortly after an engine accepted an order:
// in turn it crashes or pauses the leader of the control shard, crashes the
// engine, or blocks the engine's outgoing messages.
type orderFaultInjector struct {
	run         *Run
	next        int
	lastFaultAt time.Duration
	fences      map[structs.EngineID]uint64
}

func newOrderFaultInjector(r *Run) {
	f := &orderFaultInjector{run: r, fences: map[structs.EngineID]uint64{}}
	r.OnOrder = f.onOrder
}

func (f *orderFaultInjector) onOrder(order structs.Order, taken bool) {
	now := f.run.Cluster.Elapsed()
	if !taken || f.fences[order.Engine] == order.Fence || now-f.lastFaultAt < minOrderFaultInterval || f.run.healed {
		return
	}
	f.fences[order.Engine] = order.Fence
	f.lastFaultAt = now
	f.run.After(orderFaultDelay, func() { f.inject(order.Engine) })
}

func (f *orderFaultInjector) inject(engine structs.EngineID) {
	r := f.run
	leader := r.controlLeader()
	if leader == nil {
		return
	}
	f.next++
	switch f.next % 4 {
	case 0:
		r.Crash(leader, 3*time.Second)
	case 1:
		r.Pause(leader, 4*time.Second)
	case 2:
		r.CrashEngine(r.engine(engine), time.Second)
	default:
		r.CutOneWay(string(engine), "", 3*time.Second)
	}
}

// controlLeader returns the daemon that leads the first control shard.
func (r *Run) controlLeader() *cluster.Daemon {
	shard := structs.ShardNumber(r.Cluster.Options.Node.Shards)
	for _, d := range r.Cluster.Live() {
		if d.Node.Route(shard).Leader == d.ID {
			return d
		}
	}
	return nil
}

func (r *Run) engine(id structs.EngineID) *drivers.Engine {
	for _, engine := range r.Cluster.EngineList {
		if engine.ID() == id {
			return engine
		}
	}
	return nil
}
