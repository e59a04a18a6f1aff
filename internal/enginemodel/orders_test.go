package enginemodel

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestOrdersAreFencedAndShareTheStore(t *testing.T) {
	b := newTestEngine(t, nil)
	store := NewWeightStore(b.clock, 1000)
	engines := []*Engine{}
	for _, id := range []structs.EngineID{"x", "y"} {
		parameters := testParameters()
		parameters.ModelBytes = 2000
		e, err := New(Options{ID: id, Clock: b.clock, Parameters: parameters, Weights: store})
		if err != nil {
			t.Fatal(err)
		}
		engines = append(engines, e)
	}
	order := structs.Order{Kind: structs.OrderLoadModel, Fence: 7, Model: "n", Version: "1"}
	for _, e := range engines {
		if err := e.Order(order); err != nil {
			t.Fatal(err)
		}
	}
	ready := func() []int { return []int{len(engines[0].Models()), len(engines[1].Models())} }
	var seen [][]int
	for _, wait := range []time.Duration{1999 * millisecond, millisecond, 1999 * millisecond, millisecond} {
		b.runFor(wait)
		seen = append(seen, ready())
	}
	// 2000 bytes at 1000 a second, one engine after the other.
	if diff := cmp.Diff([][]int{{0, 0}, {1, 0}, {1, 0}, {1, 1}}, seen); diff != "" {
		t.Error(diff)
	}
	if err := engines[0].Order(order); err != nil {
		t.Errorf("the same order again: %v", err)
	}
	other := structs.Order{Kind: structs.OrderUnloadModel, Fence: 7, Model: "n"}
	lower := structs.Order{Kind: structs.OrderUnloadModel, Fence: 6, Model: "n"}
	if a, c := engines[0].Order(other), engines[0].Order(lower); !eris.Is(a, framework.ErrFenced) || !eris.Is(c, framework.ErrFenced) {
		t.Errorf("another order under the fence: %v; a lower fence: %v", a, c)
	}
}

func TestVersionsAreChangedInPlaceOrSideBySide(t *testing.T) {
	for single, want := range map[bool][]bool{false: {true, true}, true: {false, true}} {
		b := newTestEngine(t, func(p *Parameters) {
			p.ModelBytes = 500
			p.SingleVersion = single
		})
		b.engine.options.Weights = NewWeightStore(b.clock, 1000)
		if err := b.engine.Order(structs.Order{Kind: structs.OrderLoadModel, Fence: 1, Model: testModel, Version: "2"}); err != nil {
			t.Fatal(err)
		}
		var serves []bool
		for _, wait := range []time.Duration{499 * millisecond, millisecond} {
			b.runFor(wait)
			report := b.engine.Load()
			serves = append(serves, report.Serves(structs.ModelAdapter{Model: testModel}))
		}
		if diff := cmp.Diff(want, serves); diff != "" || b.engine.Load().Versions[testModel] != "2" {
			t.Errorf("place for one %v: serves before and after the read (-want +got):\n%s", single, diff)
		}
	}
}

func TestAdaptersAreLimitedLoadedAndUnloaded(t *testing.T) {
	b := newTestEngine(t, func(p *Parameters) {
		p.MaximumAdapters = 1
		p.AdapterBytes = 500
	})
	b.engine.options.Weights = NewWeightStore(b.clock, 1000)
	order := func(fence uint64, kind structs.OrderKind, adapter structs.AdapterName) error {
		return b.engine.Order(structs.Order{Kind: kind, Fence: fence, Model: testModel, Adapter: adapter})
	}
	wanted := structs.ModelAdapter{Model: testModel, Adapter: "x"}
	serves := func() bool {
		report := b.engine.Load()
		return report.Serves(wanted)
	}
	if err := order(1, structs.OrderLoadAdapter, "x"); err != nil {
		t.Fatal(err)
	}
	b.runFor(499 * millisecond)
	early, loading := serves(), b.engine.Loading()
	b.runFor(millisecond)
	if early || !loading || !serves() || b.engine.Loading() {
		t.Errorf("before 500 ms it serves %v and loads %v, then %v and %v", early, loading, serves(), b.engine.Loading())
	}
	if err := order(2, structs.OrderLoadAdapter, "y"); !eris.Is(err, framework.ErrRefused) {
		t.Errorf("an adapter beyond the limit: %v", err)
	}
	with := request("a", 1, 60, 1)
	with.Adapter = "x"
	if r := b.start(with); r.end.Kind == framework.EndRejected {
		t.Errorf("a request for the adapter: %+v", r.end)
	}
	if report := b.engine.Load(); report.Adapters[0].Running != 1 {
		t.Errorf("report %+v", report.Adapters)
	}
	if err := order(3, structs.OrderUnloadAdapter, "x"); err != nil {
		t.Fatal(err)
	}
	again := request("b", 1, 60, 1)
	again.Adapter = "x"
	if r := b.start(again); r.end.Kind != framework.EndRejected || serves() {
		t.Errorf("a request for what was unloaded: %+v", r.end)
	}
}
