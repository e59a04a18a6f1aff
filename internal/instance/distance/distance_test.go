package distance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// testTopology has two regions of two zones each, seen from zone north-a.
func testTopology() zone.Topology {
	return zone.NewTopology("north-a", "north", map[string]string{"north-b": "north", "south-a": "south", "south-b": "south"})
}

// newTestPool returns a pool with one instance in each of the zones, for a service with the
// given mean service time.
func newTestPool(serviceTime time.Duration, slots int, zones ...string) *instance.Pool {
	p := instance.NewPool(rand.New(rand.NewPCG(1, 1)), instance.Plugins{Scorers: []instance.Scorer{Scorer{testTopology()}}})
	var list []instance.Instance
	for i, name := range zones {
		id := fmt.Sprint(name, "-", i)
		list = append(list, instance.Instance{ID: id, Service: "s", Address: id, Zone: name, Slots: slots, State: instance.StateReady})
	}
	p.Replace(list)
	p.RecordServiceTime("s", serviceTime)
	return p
}

func TestRequestsSpillOverOnceTheWaitExceedsThePenalty(t *testing.T) {
	for name, c := range map[string]struct {
		serviceTime time.Duration
		slots       int
		bytes       int
		// least and most bound the number of requests that stay in the region before the
		// first one leaves it: the penalty in requests, plus or minus the random cost.
		least, most int
	}{
		"20 KB, penalty 32 ms, service time 300 ms":           {300 * time.Millisecond, 8, 20_000, 1, 2},
		"120 KB, penalty 112 ms, service time 300 ms":         {300 * time.Millisecond, 8, 120_000, 3, 4},
		"0.8 KB, penalty 16.6 ms, minimum service time 20 ms": {13 * time.Millisecond, 6, 800, 5, 6},
		"no bytes, penalty 16 ms, service time 10 s":          {10 * time.Second, 6, 0, 0, 1},
		"no bytes, penalty 16 ms, unknown service time":       {0, 8, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(c.serviceTime, c.slots, "north-a", "south-a")
			local := 0
			for ; local < 100; local++ {
				if taken, _ := p.Take(instance.Query{Service: "s", Bytes: c.bytes}); taken.Zone == "south-a" {
					break
				}
			}
			if local < c.least || local > c.most {
				t.Errorf("%d requests stayed in the region before the first left it, want %d to %d", local, c.least, c.most)
			}
		})
	}
}

func TestNearerOfEquallyLoadedInstancesIsChosen(t *testing.T) {
	for range 50 {
		p := newTestPool(300*time.Millisecond, 8, "south-a", "north-b", "north-a", "south-b")
		for _, want := range []string{"north-a", "north-b"} {
			taken, _ := p.Take(instance.Query{Service: "s", Bytes: 40_000})
			if taken.Zone != want {
				t.Fatalf("instance in zone %s was chosen, want %s", taken.Zone, want)
			}
		}
	}
}

// A session stays with the instance that has its prompt cached when its requests enter
// through another zone of the region, and when its client moves to another region.
func TestPreferredInstanceOutweighsDistance(t *testing.T) {
	for _, session := range []string{"north-b-1", "south-a-2"} {
		p := newTestPool(300*time.Millisecond, 8, "north-a", "north-b", "south-a")
		for range 20 {
			taken, _ := p.Take(instance.Query{Service: "s", Bytes: 20_000, Preferred: session})
			if taken.ID != session {
				t.Errorf("a request went to %s, want %s", taken.ID, session)
			}
			p.Release(taken.ID, instance.OutcomeAnswered)
		}
	}
}

func TestTopologyWithoutZonesHasNoPenalty(t *testing.T) {
	scorer := Scorer{zone.NewTopology("", "", nil)}
	if cost := scorer.Cost(&instance.Query{Bytes: 1 << 20}, &instance.Instance{}, time.Time{}); cost != 0 {
		t.Errorf("cost %v, want 0", cost)
	}
}

func BenchmarkCost(b *testing.B) {
	scorer := Scorer{testTopology()}
	query := &instance.Query{Bytes: 20_000, ServiceTime: 300 * time.Millisecond}
	candidates := make([]instance.Instance, 50)
	for i := range candidates {
		candidates[i].Zone = []string{"north-a", "north-b", "south-a", "south-b"}[i%4]
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range candidates {
			_ = scorer.Cost(query, &candidates[i], time.Time{})
		}
	}
}
