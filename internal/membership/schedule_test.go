package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomFaultsEndInAgreement injects random crashes, restarts, pauses,
// partitions, one-way links, loss and jitter. Once the network is whole again,
// all running daemons must agree on exactly the running ones, and no old run
// may be alive anywhere.
func TestRandomFaultsEndInAgreement(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		daemons := rapid.IntRange(2, 7).Draw(r, "daemons")
		w := newTestNetwork(t, rapid.Uint64().Draw(r, "seed"), daemons)
		w.run(3 * time.Second)
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			w.injectFault(r)
			w.run(time.Duration(rapid.IntRange(0, 6000).Draw(r, "milliseconds")) * time.Millisecond)
		}
		w.isPartitioned, w.loss, w.jitter = nil, 0, 0
		for _, node := range w.up() {
			if node.paused {
				node.wake()
			}
		}
		w.converge(30 * time.Second)
		for _, node := range w.up() {
			for _, other := range w.nodes {
				if other.down && node.Alive(other.id) {
					r.Errorf("%s believes the former run %s alive", node.id, other.id)
				}
			}
		}
	})
}

// injectFault injects one random fault.
func (w *testNetwork) injectFault(r *rapid.T) {
	up := w.up()
	victim := up[rapid.IntRange(0, len(up)-1).Draw(r, "victim")]
	switch rapid.SampledFrom([]string{"crash", "restart", "pause", "wake", "cut", "one way", "whole", "loss", "jitter"}).Draw(r, "fault") {
	case "crash":
		if len(up) > 2 {
			victim.down = true
		}
	case "restart":
		victim.down = true
		w.add(victim.index, victim.id.Incarnation()+1_000_000_000)
		w.publishMachineList()
	case "pause":
		victim.paused = true
	case "wake":
		victim.wake()
	case "cut":
		w.isPartitioned = func(from, to *testNode) bool { return (from.index == victim.index) != (to.index == victim.index) }
	case "one way":
		w.isPartitioned = func(from, _ *testNode) bool { return from.index == victim.index }
	case "whole":
		w.isPartitioned = nil
	case "loss":
		w.loss = 0.3
	case "jitter":
		w.jitter = 400 * time.Millisecond
	}
}
