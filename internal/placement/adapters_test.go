package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// adapterSlots is the number of adapters that each engine can load.
const adapterSlots = 2

func adapterOf(number int) structs.ModelAdapter {
	return structs.ModelAdapter{Model: small, Adapter: structs.AdapterName(fmt.Sprintf("a%d", number))}
}

// newAdapterWorld returns four engines with two adapter slots each, and a
// template for each of the given number of adapters.
func newAdapterWorld(adapters int) *world {
	w := newWorld()
	w.engines.loadTime = 2 * time.Second
	for _, load := range w.engines.loads {
		load.MaximumAdapters = adapterSlots
	}
	w.current.Templates = map[structs.TemplateName]structs.Template{}
	for number := range adapters {
		wanted := adapterOf(number)
		w.current.Templates[structs.TemplateName(wanted.Adapter)] = structs.Template{
			Adapters: map[structs.ModelName]structs.AdapterName{wanted.Model: wanted.Adapter},
		}
	}
	return w
}

// setDemand sets the adapters that calls wait for until an engine serves them.
func (w *world) setDemand(calls int, numbers ...int) {
	w.waiting = nil
	for _, number := range numbers {
		w.waiting = append(w.waiting, ModelWaiting{ModelAdapter: adapterOf(number), Calls: calls})
	}
}

// servingAdapter counts the engines that serve an adapter.
func (w *world) servingAdapter(number int) int {
	count := 0
	for _, load := range w.engines.loads {
		if load.Serves(adapterOf(number)) {
			count++
		}
	}
	return count
}

func (w *world) countOrders(kind structs.OrderKind) int {
	count := 0
	for _, order := range w.engines.orders {
		if order.Kind == kind {
			count++
		}
	}
	return count
}

func TestAdapterIsLoadedWhenACallWaitsForIt(t *testing.T) {
	w := newAdapterWorld(1)
	w.setDemand(1, 0)
	w.run(20 * time.Second)
	if got := w.servingAdapter(0); got != 1 {
		t.Errorf("%d engines serve the adapter, want one", got)
	}
	if moved := w.countOrders(structs.OrderLoadModel); moved != 0 {
		t.Errorf("%d models were loaded because calls wait for an adapter", moved)
	}
}

func TestAdapterInSustainedDemandGetsMoreEngines(t *testing.T) {
	w := newAdapterWorld(1)
	w.setDemand(30, 0)
	w.run(2 * time.Minute)
	if got := w.servingAdapter(0); got < 2 {
		t.Errorf("%d engines serve an adapter that calls have waited for over two minutes", got)
	}
}

// Calls for ten adapters arrive in turn at engines with slots for eight: a
// loaded adapter must stay for AdapterRetention after its last use.
func TestAdaptersDoNotFlap(t *testing.T) {
	const adapters, hour = 10, time.Hour
	w := newAdapterWorld(adapters)
	start := w.clock.Now()
	for round := 0; w.clock.Now().Sub(start) < hour; round++ {
		number := round % adapters
		if w.servingAdapter(number) == 0 {
			w.setDemand(1, number)
		} else {
			w.waiting = nil
		}
		w.run(10 * time.Second)
	}
	places := 4 * adapterSlots
	bound := places * int(hour/w.manager.Settings.AdapterRetention)
	unloads := w.countOrders(structs.OrderUnloadAdapter)
	if unloads == 0 || unloads > bound {
		t.Errorf("%d unloads in an hour, want some and at most %d", unloads, bound)
	}
	lastLoad := map[engineAdapter]time.Time{}
	for i, order := range w.engines.orders {
		place := engineAdapter{order.Engine, structs.ModelAdapter{Model: order.Model, Adapter: order.Adapter}}
		at := w.engines.orderedAt[i]
		if order.Kind == structs.OrderLoadAdapter {
			lastLoad[place] = at
		}
		if order.Kind == structs.OrderUnloadAdapter && at.Sub(lastLoad[place]) < w.manager.Settings.AdapterRetention {
			t.Errorf("%v was unloaded %v after it was loaded", place, at.Sub(lastLoad[place]))
		}
	}
}

func TestAdapterNamedByNoTemplateIsUnloaded(t *testing.T) {
	w := newAdapterWorld(1)
	w.setDemand(1, 0)
	w.run(20 * time.Second)
	w.waiting = nil
	w.current = &structs.Configuration{Models: w.current.Models}
	w.run(5 * time.Minute)
	if got := w.servingAdapter(0); got != 0 {
		t.Errorf("%d engines still serve an adapter that no template refers to", got)
	}
}

func TestAdapterIsReloadedAfterEngineRestart(t *testing.T) {
	w := newAdapterWorld(1)
	w.setDemand(1, 0)
	w.run(11 * time.Second)
	if len(w.group.state.InForce()) != 1 {
		t.Fatalf("orders in force: %+v", w.group.state.InForce())
	}
	w.engines.restart(w.group.state.InForce()[0].Engine)
	w.run(20 * time.Second)
	if got := w.servingAdapter(0); got != 1 {
		t.Errorf("%d engines serve the adapter after the engine that loaded it restarted", got)
	}
	fences := map[uint64]bool{}
	for _, order := range w.engines.orders {
		fences[order.Fence] = true
	}
	if len(fences) != 1 {
		t.Errorf("the order was not the same after the restart: %+v", w.engines.orders)
	}
}

// An engine restarts, and so forgets its fence, while a replaced leader does
// not know yet that it was replaced.
func TestReplacedLeaderSendsNoOrders(t *testing.T) {
	w := newAdapterWorld(1)
	w.engines.unreachable = true
	w.setDemand(1, 0)
	w.run(20 * time.Second)
	if len(w.group.state.InForce()) != 1 {
		t.Fatalf("orders in force: %+v", w.group.state.InForce())
	}
	w.group.replaced = true
	w.engines.unreachable = false
	w.engines.restart(w.group.state.InForce()[0].Engine)
	w.run(time.Minute)
	if len(w.engines.orders) != 0 {
		t.Errorf("a leader that could not confirm its leadership sent %+v", w.engines.orders)
	}
}

// An order timed out, but the engine is still carrying it out.
func TestLoadingEngineGetsNoOtherOrder(t *testing.T) {
	w := newAdapterWorld(2)
	for _, load := range w.engines.loads {
		load.Loading = []structs.ModelName{large}
	}
	w.setDemand(1, 0, 1)
	w.run(5 * time.Minute)
	if len(w.engines.orders) != 0 {
		t.Errorf("loading engines were sent %+v", w.engines.orders)
	}
}

func TestRefusedOrderIsRetriedAfterBackoff(t *testing.T) {
	w := newAdapterWorld(1)
	w.engines.refusing = true
	w.setDemand(1, 0)
	w.run(20 * time.Second)
	if busy := w.group.state.InForce(); len(busy) > 1 {
		t.Errorf("refused orders are still in force: %+v", busy)
	}
	w.engines.refusing = false
	w.run(20 * time.Second)
	if got := w.servingAdapter(0); got != 1 {
		t.Errorf("%d engines serve the adapter once orders are accepted again", got)
	}
}

// Another control shard reports engines that are loading already.
func TestLoadingIsBoundedFleetWide(t *testing.T) {
	w := newAdapterWorld(4)
	w.manager.Settings.Shards = 2
	w.engines.loadTime = time.Hour
	w.setDemand(1, 0, 1, 2, 3)
	for range 30 {
		w.manager.Receive("other", &Summary{To: 0, From: 1, Loading: w.manager.Settings.MaximumLoading - 1})
		w.run(2 * time.Second)
	}
	if got := len(w.engines.orders); got > 1 {
		t.Errorf("%d engines were ordered to load, but only one more may load fleet-wide", got)
	}
}
