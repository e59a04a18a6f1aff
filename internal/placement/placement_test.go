package placement

import (
	"cmp"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	small structs.ModelName = "small"
	large structs.ModelName = "large"
)

// fakeEngines carry out orders after a load time, unless they are unreachable
// or refuse.
type fakeEngines struct {
	framework.EngineDriver
	clock       *clock.Virtual
	loads       map[structs.EngineID]*structs.LoadReport
	fences      map[structs.EngineID]uint64
	orders      []structs.Order
	loadTime    time.Duration
	unreachable bool
	// refusing engines answer ErrRefused; orderedAt is when orders arrived.
	refusing bool
	// singleVersion engines serve nothing while they load another version.
	singleVersion bool
	orderedAt     []time.Time
}

func (f *fakeEngines) Load(engine structs.EngineID, done func(structs.LoadReport, error)) {
	done(*f.loads[engine], nil)
}

func (f *fakeEngines) Order(order structs.Order, done func(error)) {
	if f.unreachable {
		done(framework.ErrUnreachable)
		return
	}
	if f.refusing {
		done(framework.ErrRefused)
		return
	}
	if order.Fence < f.fences[order.Engine] {
		done(framework.ErrFenced)
		return
	}
	if order.Fence == f.fences[order.Engine] {
		done(nil)
		return
	}
	f.fences[order.Engine] = order.Fence
	f.orders = append(f.orders, order)
	f.orderedAt = append(f.orderedAt, f.clock.Now())
	if order.Kind == structs.OrderLoadModel && f.singleVersion {
		load := *f.loads[order.Engine]
		load.Models = without(load.Models, order.Model)
		f.loads[order.Engine] = &load
	}
	run := f.loads[order.Engine].StartedUnixNano
	f.clock.AfterFunc(f.loadTime, func() {
		if f.loads[order.Engine].StartedUnixNano == run {
			f.apply(order)
		}
	})
	done(framework.ErrUnreachable)
}

func (f *fakeEngines) apply(order structs.Order) {
	load := *f.loads[order.Engine]
	adapter := structs.ModelAdapter{Model: order.Model, Adapter: order.Adapter}
	switch order.Kind {
	case structs.OrderLoadModel:
		load.Models = append(without(load.Models, order.Model), order.Model)
		load.Versions = map[structs.ModelName]string{order.Model: order.Version}
	case structs.OrderUnloadModel:
		load.Models = without(load.Models, order.Model)
	case structs.OrderSetRole:
		load.Role = order.Role
	case structs.OrderLoadAdapter:
		load.Adapters = append(slices.Clone(load.Adapters), structs.EngineAdapter{ModelAdapter: adapter})
	case structs.OrderUnloadAdapter:
		load.Adapters = slices.DeleteFunc(slices.Clone(load.Adapters), func(a structs.EngineAdapter) bool { return a.ModelAdapter == adapter })
	}
	f.loads[order.Engine] = &load
}

func without(models []structs.ModelName, model structs.ModelName) []structs.ModelName {
	return slices.DeleteFunc(slices.Clone(models), func(other structs.ModelName) bool { return other == model })
}

// restart makes an engine forget its orders, its fence and what it loaded.
func (f *fakeEngines) restart(engine structs.EngineID) {
	load := *f.loads[engine]
	load.Models, load.Versions, load.Adapters, load.Role = []structs.ModelName{small}, nil, nil, ""
	load.StartedUnixNano++
	f.loads[engine] = &load
	delete(f.fences, engine)
}

// fakeGroup is a control shard of one replica whose leadership can move.
type fakeGroup struct {
	queue         serial.Queue
	epoch         structs.Epoch
	state         *State
	dropProposals bool
	// replaced is set when another daemon leads and this one does not know it.
	replaced bool
	manager  *Manager
}

func (g *fakeGroup) Epoch() structs.Epoch { return g.epoch }
func (g *fakeGroup) Queue() *serial.Queue { return &g.queue }

func (g *fakeGroup) Pressure() replication.Pressure { return replication.PressureNone }

func (g *fakeGroup) Confirm(done func(error)) {
	if !g.replaced {
		done(nil)
	}
}
func (g *fakeGroup) Propose(records []structs.Record, done func(error)) {
	if g.dropProposals {
		return
	}
	for _, record := range records {
		g.state.Apply(record)
	}
	g.queue.Do(func() { done(nil) })
}

func (g *fakeGroup) lead() {
	g.epoch++
	g.queue.Do(func() { g.manager.Lead(0, g.state, g) })
}

type world struct {
	clock   *clock.Virtual
	engines *fakeEngines
	group   *fakeGroup
	manager *Manager
	waiting []ModelWaiting
	current *structs.Configuration
	// routed, if set, is the leader of all shards; learned holds the routes
	// that the manager learned.
	routed  structs.DaemonID
	learned []replication.Route
}

func (w *world) WaitingByModel() []ModelWaiting  { return w.waiting }
func (w *world) Current() *structs.Configuration { return w.current }
func (w *world) Learn(_ structs.ShardNumber, route replication.Route) {
	w.learned = append(w.learned, route)
}

func (w *world) Send(_ structs.DaemonID, m peer.Message) {
	w.manager.Receive("d", m)
}

func (w *world) Route(structs.ShardNumber) replication.Route {
	return replication.Route{Leader: cmp.Or(w.routed, "d"), Epoch: w.group.epoch}
}

// newWorld returns four engines with the small model, none with the large one.
func newWorld() *world {
	w := &world{clock: clock.NewVirtual(time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC))}
	w.engines = &fakeEngines{clock: w.clock, loads: map[structs.EngineID]*structs.LoadReport{}, fences: map[structs.EngineID]uint64{}, loadTime: 20 * time.Second}
	w.current = &structs.Configuration{Models: map[structs.ModelName]structs.Model{
		small: {ContextTokens: 1000, MinimumEngines: 1},
		large: {ContextTokens: 1000},
	}}
	var machines []structs.Machine
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		id := structs.EngineID(name)
		w.engines.loads[id] = &structs.LoadReport{Engine: id, Models: []structs.ModelName{small}, MaximumRunning: 10, Running: 1}
		machines = append(machines, structs.Machine{Kind: structs.MachineEngine, Address: name, State: structs.MachineLive})
	}
	settings := DefaultSettings()
	w.manager = New(Options{
		Self: "d", Clock: w.clock, Transport: w, Engines: w.engines, Configurations: w, Router: w, Queues: w, Settings: settings, Logger: zerolog.Nop(),
	})
	w.manager.MachinesListed(machines)
	w.group = &fakeGroup{state: NewState(), manager: w.manager}
	w.group.lead()
	w.manager.Start()
	return w
}

func (w *world) run(d time.Duration) { w.clock.RunUntil(w.clock.Now().Add(d)) }

// serving counts the engines that serve a model.
func (w *world) serving(model structs.ModelName) int {
	count := 0
	for _, load := range w.engines.loads {
		for _, served := range load.Models {
			if served == model {
				count++
			}
		}
	}
	return count
}

func TestDemandMovesEnginesDownToOthersMinimum(t *testing.T) {
	w := newWorld()
	w.waiting = []ModelWaiting{{ModelAdapter: structs.ModelAdapter{Model: large}, Calls: 30}}
	w.run(time.Minute)
	if got := w.serving(large); got < 1 {
		t.Fatalf("%d engines serve the large model after a minute of demand", got)
	}
	w.run(20 * time.Minute)
	if smallLeft := w.serving(small); smallLeft < 1 {
		t.Errorf("the small model was left with %d engines, below its minimum", smallLeft)
	}
	for _, load := range w.engines.loads {
		if len(load.Models) != 1 {
			t.Errorf("engine %s holds %v; the previous model must be unloaded", load.Engine, load.Models)
		}
	}
}

func TestSteadyLoadMovesNothing(t *testing.T) {
	w := newWorld()
	w.run(time.Hour)
	if len(w.engines.orders) != 0 {
		t.Errorf("unneeded orders: %+v", w.engines.orders)
	}
}

func TestShortBurstMovesNothing(t *testing.T) {
	w := newWorld()
	w.waiting = []ModelWaiting{{ModelAdapter: structs.ModelAdapter{Model: large}, Calls: 30}}
	w.run(8 * time.Second)
	w.waiting = nil
	w.run(10 * time.Minute)
	if len(w.engines.orders) != 0 {
		t.Errorf("a burst of 8 s moved models: %+v", w.engines.orders)
	}
}

func TestOneOrderInForceThroughTakeover(t *testing.T) {
	w := newWorld()
	w.engines.unreachable = true
	w.waiting = []ModelWaiting{{ModelAdapter: structs.ModelAdapter{Model: large}, Calls: 30}}
	w.run(time.Minute)
	before := w.group.state.InForce()
	if len(before) == 0 {
		t.Fatal("no order in force")
	}
	w.group.lead()
	w.engines.unreachable = false
	w.run(time.Minute)
	given := map[structs.EngineID]int{}
	for _, order := range w.engines.orders {
		if order.Kind == structs.OrderLoadModel {
			given[order.Engine]++
		}
	}
	for engine, count := range given {
		if count > 1 {
			t.Errorf("engine %s was sent %d loads", engine, count)
		}
	}
	if diff := gocmp.Diff(before[0].InForce.Fence, w.engines.orders[0].Fence); diff != "" {
		t.Errorf("the successor sent another order than the recorded one:\n%s", diff)
	}
}

func TestFormerLeaderIsFenced(t *testing.T) {
	w := newWorld()
	w.waiting = []ModelWaiting{{ModelAdapter: structs.ModelAdapter{Model: large}, Calls: 30}}
	w.run(time.Minute)
	late := structs.Order{Engine: w.engines.orders[0].Engine, Kind: structs.OrderLoadModel, Model: small, Fence: 1}
	var refusal error
	w.engines.Order(late, func(err error) { refusal = err })
	if refusal != framework.ErrFenced {
		t.Errorf("an order of a former epoch: %v", refusal)
	}
}

func TestOneLoadIsStartedPerPeriod(t *testing.T) {
	w := newWorld()
	w.manager.Settings.Cooldown = 0
	w.waiting = []ModelWaiting{{ModelAdapter: structs.ModelAdapter{Model: large}, Calls: 300}}
	w.run(w.manager.Settings.HighUseDuration + 3*w.manager.Settings.Period)
	loads := 0
	for _, order := range w.engines.orders {
		if order.Kind == structs.OrderLoadModel {
			loads++
		}
	}
	if loads < 1 || loads > 3 {
		t.Errorf("%d loads in three periods, want one to three", loads)
	}
}

func TestVersionRollsOut(t *testing.T) {
	w := newWorld()
	model := w.current.Models[small]
	model.Version = "2"
	w.current = &structs.Configuration{Models: map[structs.ModelName]structs.Model{small: model}}
	w.run(10 * time.Minute)
	for id, load := range w.engines.loads {
		if load.Versions[small] != "2" {
			t.Errorf("engine %s has version %q", id, load.Versions[small])
		}
	}
}

func TestSnapshotRestoresOrders(t *testing.T) {
	state := NewState()
	at := time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC)
	state.Apply(structs.Record{At: at, OrderIssued: &structs.OrderIssued{Order: structs.Order{Engine: "e1", Kind: structs.OrderLoadModel, Fence: 9, Model: large}}})
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := gocmp.Diff(state.InForce(), restored.InForce()); diff != "" {
		t.Errorf("orders in force (-want +got):\n%s", diff)
	}
	second := structs.Order{Engine: "e1", Kind: structs.OrderLoadModel, Fence: 10, Model: small}
	restored.Apply(structs.Record{At: at, OrderIssued: &structs.OrderIssued{Order: second}})
	if got := restored.Engine("e1").InForce.Model; got != large {
		t.Errorf("a second order came into force beside the first: %s", got)
	}
}
