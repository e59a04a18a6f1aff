package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestFleetThatStartsAtOnceKnowsItself checks that all daemons of a large fleet that start at once,
// as after a loss of all, know most of the others soon: they need them to agree on the holders of
// shards and on who reads records for whom.
func TestFleetThatStartsAtOnceKnowsItself(t *testing.T) {
	for _, daemons := range []int{300, 1000} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			w := newTestNetwork(t, 1, daemons) // all are on the list
			most := daemons * 19 / 20
			began := w.clock.Now()
			for w.slowestKnows() < most && w.clock.Now().Sub(began) < time.Minute {
				w.run(100 * time.Millisecond)
			}
			took := w.clock.Now().Sub(began)
			t.Logf("%d daemons: the slowest knows %d after %s, %d kB sent by each", daemons, w.slowestKnows(), took, w.bytes/daemons/1000)
			if limit := 6 * time.Second; took > limit {
				t.Errorf("the slowest knows %d of %d after %s, want %d after %s", w.slowestKnows(), daemons, took, most, limit)
			}
		})
	}
}

// slowestKnows returns the smallest number of members that a daemon knows.
func (w *testNetwork) slowestKnows() int {
	var known []int
	for _, node := range w.nodes {
		known = append(known, len(node.Members()))
	}
	return slices.Min(known)
}
