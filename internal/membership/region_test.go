package membership

import (
	"slices"
	"testing"
	"time"
)

// TestRegionCutOffFromALargeFleet measures how long it takes until all daemons
// of the larger part believe all of a cut-off region dead, and until all agree
// again.
func TestRegionCutOffFromALargeFleet(t *testing.T) {
	const daemons, region = 200, 50
	w := newTestNetwork(t, 50, daemons)
	w.introduceAll()
	w.run(3 * time.Second)
	inside := func(n *testNode) bool { return n.index < region }
	w.isPartitioned = func(from, to *testNode) bool { return inside(from) != inside(to) }
	cutAt := w.clock.Now()
	startBytes := w.bytes
	const window = 30 * time.Second
	w.run(window)
	bytes := measuredRate(w, startBytes, window)
	var took []time.Duration
	for _, seen := range w.deaths {
		if !inside(seen.observer) {
			took = append(took, seen.at.Sub(cutAt))
		}
	}
	slices.Sort(took)
	if want := region * (daemons - region); len(took) != want {
		t.Fatalf("%d deaths seen within %v, want %d", len(took), window, want)
	}
	w.isPartitioned = nil
	startBytes = w.bytes
	healed := w.converge(30 * time.Second)
	if slowest := percentile(took, 99); slowest > 12*time.Second {
		t.Errorf("99%% of the deaths were seen within %v", slowest)
	}
	t.Logf("%d of %d daemons cut off: detection p50 %.2f s p99 %.2f s, %.0f bytes/s over 30 s; agreement %.1f s after healing, %.0f bytes/s",
		region, daemons, percentile(took, 50).Seconds(), percentile(took, 99).Seconds(), bytes, healed.Seconds(), measuredRate(w, startBytes, healed))
}
