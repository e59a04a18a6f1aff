package membership

import (
	"slices"
	"testing"
	"time"
)

// byteLimit is the share of a daemon's 2 KB/s of control traffic that
// membership may take, in bytes per second.
const byteLimit = 1024

// sizeCase is a fleet size to measure.
type sizeCase struct {
	daemons int
	// crashes is how many daemons crash at the same time.
	crashes int
	// detection limits the time until the last daemon has detected the crashes.
	detection time.Duration
	// quietBytes and busyBytes limit the bytes per second and daemon without
	// and with the crashes.
	quietBytes, busyBytes float64
}

// Periods over which bytes are measured.
const (
	quietWindow = 10 * time.Second
	busyWindow  = 10 * time.Second
)

// TestBytesAndDetectionByFleetSize measures the values in docs/MEASUREMENTS.md:
// run it with -v to print them.
func TestBytesAndDetectionByFleetSize(t *testing.T) {
	for _, size := range []sizeCase{
		{daemons: 3, crashes: 1, detection: 1500 * time.Millisecond, quietBytes: 2048, busyBytes: 2048},
		{daemons: 9, crashes: 2, detection: 2500 * time.Millisecond, quietBytes: 2048, busyBytes: 2048},
		{daemons: 50, crashes: 3, detection: 4 * time.Second, quietBytes: byteLimit, busyBytes: 2048},
		{daemons: 100, crashes: 3, detection: 4 * time.Second, quietBytes: byteLimit, busyBytes: 2048},
		{daemons: 200, crashes: 3, detection: 5 * time.Second, quietBytes: byteLimit, busyBytes: 2048},
		{daemons: 400, crashes: 4, detection: 5 * time.Second, quietBytes: byteLimit, busyBytes: 2048},
	} {
		measure(t, size)
	}
}

func measure(t *testing.T, size sizeCase) {
	w := newTestNetwork(t, uint64(size.daemons), size.daemons)
	w.introduceAll()
	w.converge(time.Second)
	w.run(2 * time.Second)
	startBytes := w.bytes
	w.run(quietWindow)
	quiet := measuredRate(w, startBytes, quietWindow)
	startBytes = w.bytes
	crashed := w.clock.Now()
	for crash := range size.crashes {
		w.nodes[1+crash*(size.daemons/size.crashes)].down = true
	}
	w.run(busyWindow)
	busy := measuredRate(w, startBytes, busyWindow)
	if quiet > size.quietBytes || busy > size.busyBytes {
		t.Errorf("%d daemons: %.0f bytes/s quiet, %.0f with crashes", size.daemons, quiet, busy)
	}
	took := detectionTimes(w, crashed)
	if want := size.crashes * (size.daemons - size.crashes); len(took) != want {
		t.Fatalf("%d daemons: %d deaths seen, want %d", size.daemons, len(took), want)
	}
	if last := took[len(took)-1]; last > size.detection {
		t.Errorf("%d daemons: the last death was seen after %v", size.daemons, last)
	}
	t.Logf("%3d daemons: %4.0f bytes/s quiet, %4.0f over 10 s with %d crashes at once; detection p50 %.2f s p99 %.2f s; at most %d peers",
		size.daemons, quiet, busy, size.crashes, percentile(took, 50).Seconds(), percentile(took, 99).Seconds(), w.mostPeers())
}

// introduceAll gives every daemon the table of all, as it is long after a
// start: no update is left to pass on.
func (w *testNetwork) introduceAll() {
	var updates []Update
	for _, node := range w.nodes {
		updates = append(updates, node.self.update())
	}
	for _, node := range w.nodes {
		node.Receive(w.nodes[0].id, &SyncReply{Updates: updates})
		node.broadcast.items = nil
	}
}

func measuredRate(w *testNetwork, startBytes int, window time.Duration) float64 {
	return float64(w.bytes-startBytes) / window.Seconds() / float64(len(w.up()))
}

func detectionTimes(w *testNetwork, crashed time.Time) []time.Duration {
	var took []time.Duration
	for _, seen := range w.deaths {
		took = append(took, seen.at.Sub(crashed))
	}
	slices.Sort(took)
	return took
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

func (w *testNetwork) mostPeers() int {
	most := 0
	for _, node := range w.up() {
		most = max(most, len(node.peers))
	}
	return most
}
