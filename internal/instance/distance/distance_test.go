package distance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// testTopology has two regions of two zones each; it is seen from north-a.
func testTopology() zone.Topology {
	return zone.NewTopology("north-a", "north", map[string]string{"north-b": "north", "south-a": "south", "south-b": "south"})
}

// pool returns a pool with an instance of some slots in each of some zones, of a
// service whose requests stay for some time.
func pool(stay time.Duration, slots int, zones ...string) *instance.Pool {
	p := instance.NewPool(rand.New(rand.NewPCG(1, 1)), instance.Plugins{Scorers: []instance.Scorer{Scorer{testTopology()}}})
	var list []instance.Instance
	for i, name := range zones {
		id := fmt.Sprint(name, "-", i)
		list = append(list, instance.Instance{ID: id, Service: "s", Address: id, Zone: name, Slots: slots, State: instance.StateReady})
	}
	p.Replace(list)
	p.RecordServiceTime("s", stay)
	return p
}

func TestRequestsSpillOnceTheWaitExceedsTheWayAndTheBytes(t *testing.T) {
	for name, c := range map[string]struct {
		stay  time.Duration
		slots int
		bytes int
		// first bounds after how many requests in its own region the first goes to
		// another: what the way costs, in requests, give or take the random share.
		least, most int
	}{
		"a turn of 20 KB, 32 of 300 ms":    {300 * time.Millisecond, 8, 20_000, 1, 2},
		"a turn of 120 KB, 112 of 300 ms":  {300 * time.Millisecond, 8, 120_000, 3, 4},
		"a quick request, 16.6 of 20 ms":   {13 * time.Millisecond, 6, 800, 5, 6},
		"a long request, 16 ms of 10 s":    {10 * time.Second, 6, 0, 0, 1},
		"nothing is known of how long, 16": {0, 8, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := pool(c.stay, c.slots, "north-a", "south-a")
			here := 0
			for ; here < 100; here++ {
				if taken, _ := p.Take(instance.Query{Service: "s", Bytes: c.bytes}); taken.Zone == "south-a" {
					break
				}
			}
			if here < c.least || here > c.most {
				t.Errorf("%d requests stayed in the region before the first left it, want %d to %d", here, c.least, c.most)
			}
		})
	}
}

func TestNearerOfEquallyLoadedInstancesIsTaken(t *testing.T) {
	for range 50 {
		p := pool(300*time.Millisecond, 8, "south-a", "north-b", "north-a", "south-b")
		for _, want := range []string{"north-a", "north-b"} {
			taken, _ := p.Take(instance.Query{Service: "s", Bytes: 40_000})
			if taken.Zone != want {
				t.Fatalf("taken in %s, want %s", taken.Zone, want)
			}
		}
	}
}

// TestSessionStaysWithItsInstance when its turns enter by another zone of the region,
// and when its client moves to another region: the instance has read its prompt.
func TestSessionStaysWithItsInstance(t *testing.T) {
	for _, session := range []string{"north-b-1", "south-a-2"} {
		p := pool(300*time.Millisecond, 8, "north-a", "north-b", "south-a")
		for range 20 {
			taken, _ := p.Take(instance.Query{Service: "s", Bytes: 20_000, Preferred: session})
			if taken.ID != session {
				t.Errorf("a turn went to %s, want %s", taken.ID, session)
			}
			p.Release(taken.ID, instance.OutcomeAnswered)
		}
	}
}

func TestConfigurationWithoutZonesPaysNothing(t *testing.T) {
	scorer := Scorer{zone.NewTopology("", "", nil)}
	if cost := scorer.Cost(&instance.Query{Bytes: 1 << 20}, &instance.Instance{}, time.Time{}); cost != 0 {
		t.Errorf("an instance costs %v", cost)
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
