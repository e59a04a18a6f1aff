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
	// adapterRate has an engine read an adapter in two seconds.
	adapterRate = 50_000_000
	// modelRate has an engine read a model in four seconds.
	modelRate = 4_000_000_000
	// strikeAfter is when a fault follows an order.
	strikeAfter = 400 * time.Millisecond
	// strikePause is the least pause between two such faults.
	strikePause = 4 * time.Second
)

// placementScenarios have models and adapters move between engines.
func placementScenarios() []*Scenario {
	return []*Scenario{{
		Name:      "adapters_move",
		Summary:   "Tenants' adapters change and outnumber the places for them, while leaders and engines fail amid orders.",
		Fleet:     fewAdapterPlaces,
		Configure: func(c *structs.Configuration) { setAdapters(c, "first") },
		Load:      Load{Programs: 40, Over: 50 * time.Second},
		Faults: func(r *Run) {
			newOrderStriker(r)
			r.After(12*time.Second, func() { r.changeAdapters("second") })
			r.After(30*time.Second, func() { r.changeAdapters("third") })
		},
	}, {
		Name:      "caches_move",
		Summary:   "Programs move between small batches with their caches; leaders and engines fail while a cache is on its way.",
		Fleet:     slowPrompts,
		Shape:     longHistories,
		Configure: longAnswers,
		Budget:    10 * programBudget,
		Load:      Load{Programs: 50, Over: 40 * time.Second},
		Faults:    func(r *Run) { newTransferStriker(r) },
	}, {
		Name:    "version_rollout",
		Summary: "A model changes its version twice under load, at engines with place for one; no call is refused.",
		Fleet:   singleVersions,
		Shape:   patientCallers,
		Load:    Load{Programs: 60, Over: 60 * time.Second},
		Faults: func(r *Run) {
			r.After(5*time.Second, func() { r.publishVersion("2") })
			r.After(35*time.Second, func() { r.publishVersion("3") })
		},
	}}
}

// slowPrompts has engines with batches so small that programs change their
// engine, to which computing a prompt again takes longer than moving it.
func slowPrompts(fleet *cluster.Options) {
	fleet.Engine.MaximumRunning = 2
	fleet.Engine.PrefillPerToken = time.Millisecond
	fleet.Engine.LinkBytesPerSecond = 1_000_000_000
	fleet.Engine.CacheTokens = 30_000
}

// longHistories has programs of many model calls with long answers.
func longHistories(shape *workload.Shape) {
	shape.Turns, shape.Tokens = 8, 400
	shape.Application, shape.Looping = 0.1, 0
}

func longAnswers(c *structs.Configuration) {
	template := c.Templates[workload.Template]
	template.Limits.AnswerTokens = 400
	c.Templates[workload.Template] = template
}

// transferStriker has something fail while a cache is on its way: in turn the
// leader of the program's shard, the receiver, the sender, or the way back for
// the answer.
type transferStriker struct {
	run    *Run
	next   int
	struck time.Duration
}

// transferPause is the least pause between two such faults.
const transferPause = 2 * time.Second

func newTransferStriker(r *Run) {
	s := &transferStriker{run: r}
	for _, engine := range r.Cluster.EngineList {
		engine.OnTransfer = s.importing
	}
}

func (s *transferStriker) importing(transfer framework.Transfer, tokens int64) {
	r := s.run
	r.trace.add(r.Cluster.Elapsed(), "transfer", string(transfer.From), string(transfer.To), transfer.Program.String(), strconv.FormatInt(tokens, 10))
	r.transfers++
	if r.healed || r.Cluster.Elapsed()-s.struck < transferPause {
		return
	}
	s.struck = r.Cluster.Elapsed()
	s.next++
	r.After(0, func() { s.strike(transfer) })
}

func (s *transferStriker) strike(transfer framework.Transfer) {
	r := s.run
	switch s.next % 5 {
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

// singleVersions has engines give up a version before they read the next.
func singleVersions(fleet *cluster.Options) {
	fleet.Engine.SingleVersion = true
	fleet.WeightRate = modelRate
	fleet.Node.Placement.Period = time.Second
	fleet.Node.Placement.Cooldown = 10 * time.Second
	fleet.Node.Placement.Shards = 2
}

// patientCallers set no deadline and do nothing that a fleet must refuse.
func patientCallers(shape *workload.Shape) {
	shape.Deadline, shape.Looping, shape.Abandoned, shape.Duplicate, shape.Pipelined = 0, 0, 0, 0, 0
}

// publishVersion has an operator name another version of the model.
func (r *Run) publishVersion(version string) {
	model := r.firstConfiguration().Models[workload.Model]
	model.Version = version
	model.MinimumEngines = 3
	r.Operators.Publish(cluster.Zone(0), structs.Patch{
		Models: structs.Edit[structs.ModelName, structs.Model]{Set: map[structs.ModelName]structs.Model{workload.Model: model}},
	})
}

// fewAdapterPlaces has one engine in each zone with one place for an adapter.
func fewAdapterPlaces(fleet *cluster.Options) {
	fleet.EnginesPerZone = 1
	fleet.Engine.MaximumAdapters = 1
	fleet.WeightRate = adapterRate
	fleet.Node.Placement.Period = time.Second
	fleet.Node.Placement.AdapterRetention = 4 * time.Second
	fleet.Node.Placement.Shards = 2
	fleet.Node.Placement.FailureBackoff = 5 * time.Second
}

// setAdapters gives each tenant an adapter of its own, of some generation.
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

// changeAdapters has an operator give all tenants other adapters.
func (r *Run) changeAdapters(generation structs.AdapterName) {
	configuration := r.firstConfiguration()
	setAdapters(&configuration, generation)
	r.Operators.Publish(cluster.Zone(0), structs.Patch{
		Tenants: structs.Edit[structs.TenantName, structs.Tenant]{Set: configuration.Tenants},
	})
}

// orderStriker has something fail shortly after an engine took an order: in
// turn the leader of the control shard, its clock, the engine, or the way back
// for the answers.
type orderStriker struct {
	run    *Run
	next   int
	struck time.Duration
	fences map[structs.EngineID]uint64
}

func newOrderStriker(r *Run) {
	s := &orderStriker{run: r, fences: map[structs.EngineID]uint64{}}
	r.OnOrder = s.ordered
}

func (s *orderStriker) ordered(order structs.Order, taken bool) {
	now := s.run.Cluster.Elapsed()
	if !taken || s.fences[order.Engine] == order.Fence || now-s.struck < strikePause || s.run.healed {
		return
	}
	s.fences[order.Engine] = order.Fence
	s.struck = now
	s.run.After(strikeAfter, func() { s.strike(order.Engine) })
}

func (s *orderStriker) strike(engine structs.EngineID) {
	r := s.run
	leader := r.controlLeader()
	if leader == nil {
		return
	}
	s.next++
	switch s.next % 4 {
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
