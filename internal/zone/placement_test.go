package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
)

// The number of daemons that send to a returned back end must rise linearly, at each back
// end alike; without ReturnScorer all 74 daemons would send at once.
func TestReturnedZoneFillsEvenly(t *testing.T) {
	const daemons, instances = 74, 11
	var scorers []ReturnScorer
	random := rand.New(rand.NewPCG(1, 2))
	for range daemons {
		e := &Evacuations{}
		e.ApplySnapshot(OrderSnapshot{End: 1, Orders: []EvacuationOrder{{Zone: "c"}}}, start)
		e.ApplySnapshot(OrderSnapshot{End: 2}, start)
		scorers = append(scorers, ReturnScorer{Evacuations: e, Seed: random.Uint64()})
	}
	for _, after := range []time.Duration{0, returnRampTime / 4, returnRampTime / 2, returnRampTime} {
		want := float64(daemons) * float64(after) / float64(returnRampTime)
		for i := range instances {
			candidate := &instance.Instance{ID: fmt.Sprintf("i-%08x", i*7919), Zone: "c"}
			open := 0
			for _, s := range scorers {
				if s.Cost(nil, candidate, start.Add(after)) == 0 {
					open++
				}
			}
			if diff := float64(open) - want; diff < -16 || diff > 16 { // four standard deviations
				t.Errorf("after %s: %d of %d daemons send to %s, want about %.0f", after, open, daemons, candidate.ID, want)
			}
		}
	}
	if cost := scorers[0].Cost(nil, &instance.Instance{ID: "i", Zone: "a"}, start); cost != 0 {
		t.Errorf("a back end of another zone costs %v", cost)
	}
}

// BenchmarkPlacement evaluates 50 back ends in eight zones, of which one is evacuated and
// one has returned.
func BenchmarkPlacement(b *testing.B) {
	var e Evacuations
	e.ApplySnapshot(OrderSnapshot{End: 1, Orders: []EvacuationOrder{{Zone: "z1"}, {Zone: "z2"}}}, start)
	e.ApplySnapshot(OrderSnapshot{End: 2, Orders: []EvacuationOrder{{Zone: "z1"}}}, start)
	filter, scorer := EvacuationFilter{&e}, ReturnScorer{Evacuations: &e, Seed: 7}
	var candidates []*instance.Instance
	for i := range 50 {
		candidates = append(candidates, &instance.Instance{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%8)})
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, candidate := range candidates {
			if filter.Admits(nil, candidate, start) {
				scorer.Cost(nil, candidate, start)
			}
		}
	}
}
