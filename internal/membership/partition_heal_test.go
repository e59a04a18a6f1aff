package membership

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// seenChange is a change of one daemon's state as seen by another.
type seenChange struct {
	// after is the time since the partition began or ended.
	after    time.Duration
	observer *testNode
	daemon   string
	state    State
}

// changeWatch records all changes since a time.
type changeWatch struct {
	network *testNetwork
	since   time.Time
	seen    []seenChange
}

func watchChanges(w *testNetwork) *changeWatch {
	watch := &changeWatch{network: w}
	for _, node := range w.nodes {
		node.Subscribe(func(member Member) {
			watch.seen = append(watch.seen, seenChange{w.clock.Now().Sub(watch.since), node, member.Daemon.ID.Address(), member.State})
		})
	}
	return watch
}

func (w *changeWatch) restart() { w.since, w.seen = w.network.clock.Now(), nil }

// failureReports counts the changes to a state other than alive in a period.
func (w *changeWatch) failureReports(from, until time.Duration) int {
	count := 0
	for _, change := range w.seen {
		if change.state != StateAlive && change.after >= from && change.after < until {
			count++
		}
	}
	return count
}

// zoneOf4 returns a daemon's zone, of four.
func zoneOf4(n *testNode) int { return n.index % 4 }

func inLastZone(n *testNode) bool     { return zoneOf4(n) == 3 }
func inLastTwoZones(n *testNode) bool { return zoneOf4(n) >= 2 }

// partitionCase is a partition that ends.
type partitionCase struct {
	daemons int
	length  time.Duration
	inside  func(*testNode) bool
	oneWay  bool
	// wholeWithin limits the time from its end until all views agree.
	wholeWithin time.Duration
	// failureReports limits the changes to suspect or dead in the two seconds
	// after its end, when all daemons are alive; later there must be none.
	failureReports int
	// bytes limits the mean bytes that each daemon sends until views agree,
	// mostly in tables.
	bytes int
}

// run partitions a fleet, ends the partition and returns the changes since its
// start.
func (c partitionCase) run(t *testing.T, seed uint64) (w *testNetwork, watch *changeWatch) {
	w = newTestNetwork(t, seed, c.daemons)
	w.introduceAll()
	w.run(10 * time.Second)
	watch = watchChanges(w)
	watch.restart()
	w.isPartitioned = func(from, to *testNode) bool {
		if c.oneWay {
			return c.inside(from) && !c.inside(to)
		}
		return c.inside(from) != c.inside(to)
	}
	w.run(c.length)
	w.isPartitioned = nil
	return w, watch
}

// TestHealedPartitionIsRepairedByOneSync guards against failure reports that
// circulate after the end of a partition, when all daemons are alive.
func TestHealedPartitionIsRepairedByOneSync(t *testing.T) {
	for name, c := range map[string]partitionCase{
		"a zone of four":     {74, 5500 * time.Millisecond, inLastZone, false, 1500 * time.Millisecond, 60, 12_000},
		"for two seconds":    {74, 2 * time.Second, inLastZone, false, 2 * time.Second, 400, 12_000},
		"for 30 seconds":     {74, 30 * time.Second, inLastZone, false, 1500 * time.Millisecond, 60, 12_000},
		"for 90 seconds":     {74, 90 * time.Second, inLastZone, false, 1500 * time.Millisecond, 60, 12_000},
		"two zones together": {74, 5500 * time.Millisecond, inLastTwoZones, false, 2 * time.Second, 300, 12_000},
		"one way":            {74, 5500 * time.Millisecond, inLastZone, true, 2500 * time.Millisecond, 150, 12_000},
		"of 20 daemons":      {20, 5500 * time.Millisecond, inLastZone, false, 1500 * time.Millisecond, 30, 12_000},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w, watch := c.run(t, 60+seed)
				watch.restart()
				startBytes := w.bytes
				whole := w.converge(30 * time.Second)
				sent := (w.bytes - startBytes) / c.daemons
				w.run(8 * time.Second)
				early, late := watch.failureReports(0, 2*time.Second), watch.failureReports(2*time.Second, time.Hour)
				t.Logf("seed %d: whole after %v, %d bytes a daemon; %d changes, %d failure reports within 2 s, %d later",
					seed, whole, sent, len(watch.seen), early, late)
				if whole > c.wholeWithin || early > c.failureReports || late > 0 || sent > c.bytes {
					t.Errorf("seed %d: whole after %v, %d bytes a daemon, %d failure reports within 2 s, %d later", seed, whole, sent, early, late)
				}
			}
		})
	}
}

// TestBothSidesDetectAPartitionAndItsEnd checks how soon after its start daemons
// have lost nine members of the other side, and how soon after its end they see
// one of them alive.
func TestBothSidesDetectAPartitionAndItsEnd(t *testing.T) {
	for seed := range uint64(5) {
		c := partitionCase{daemons: 74, length: 5500 * time.Millisecond, inside: inLastZone}
		w, watch := c.run(t, 60+seed)
		noticed := map[bool][]time.Duration{}
		for _, node := range w.nodes {
			lost := map[string]bool{}
			for _, change := range watch.seen {
				if change.observer == node && c.inside(w.byAddress[change.daemon][0]) != c.inside(node) {
					lost[change.daemon] = true
				}
				if len(lost) == 9 { // half of the zone; within it, half of one of the others
					noticed[c.inside(node)] = append(noticed[c.inside(node)], change.after)
					break
				}
			}
		}
		watch.restart()
		w.run(3 * time.Second)
		var heard []time.Duration
		for _, node := range w.nodes {
			for _, change := range watch.seen {
				if change.observer == node && change.state == StateAlive && c.inside(w.byAddress[change.daemon][0]) != c.inside(node) {
					heard = append(heard, change.after)
					break
				}
			}
		}
		for _, times := range [][]time.Duration{noticed[false], noticed[true], heard} {
			slices.Sort(times)
		}
		if len(heard) < c.daemons || len(noticed[false]) < 56 || len(noticed[true]) < 18 {
			t.Fatalf("seed %d: %d detected the partition, %d inside, %d its end", seed, len(noticed[false]), len(noticed[true]), len(heard))
		}
		t.Logf("seed %d: nine lost to daemons outside after %v (p50), %v (last), to those inside %v, %v; the end detected %v, %v", seed,
			percentile(noticed[false], 50), percentile(noticed[false], 100), percentile(noticed[true], 50), percentile(noticed[true], 100),
			percentile(heard, 50), percentile(heard, 100))
		if percentile(heard, 100) > time.Second || percentile(noticed[false], 100) > 1700*time.Millisecond || percentile(noticed[true], 100) > 3500*time.Millisecond {
			t.Errorf("seed %d: too late", seed)
		}
	}
}

// TestDeathsAtTheEndOfAPartitionAreDetected checks that deaths are detected
// although failure reports by others are ignored then.
func TestDeathsAtTheEndOfAPartitionAreDetected(t *testing.T) {
	c := partitionCase{daemons: 74, length: 5500 * time.Millisecond, inside: inLastZone}
	for seed := range uint64(5) {
		w, _ := c.run(t, 60+seed)
		w.run(time.Duration(seed) * 300 * time.Millisecond)
		for _, index := range []int{0, 1, 3, 7, 20} {
			w.nodes[index].down = true
		}
		if took := w.converge(12 * time.Second); took > 10*time.Second {
			t.Errorf("seed %d: detected after %v", seed, took)
		}
	}
}

// TestFailureReportsOfALostDaemonAreIgnored guards against the reports of a daemon
// that is itself cut off or slow, and therefore believes others lost.
func TestFailureReportsOfALostDaemonAreIgnored(t *testing.T) {
	w := convergedNetwork(t, 25, 5)
	observer, subject, lost := w.nodes[0], w.nodes[1], w.nodes[2]
	suspicion := lost.self.update()
	suspicion.Status = statusSuspect
	observer.Receive(w.nodes[3].id, &UpdatePush{Updates: []Update{suspicion}})
	update := subject.self.update()
	update.Status = statusDead
	observer.Receive(lost.id, &UpdatePush{Updates: []Update{update}})
	observer.wantState(t, subject, StateAlive, "after a lost daemon's report")
	observer.Receive(w.nodes[4].id, &UpdatePush{Updates: []Update{update}})
	observer.wantState(t, subject, StateSuspect, "after another daemon's report")
}

// TestManyChangesAreSummarized guards against a flooded log: some changes get a
// line each, all others one summary a second.
func TestManyChangesAreSummarized(t *testing.T) {
	w := newTestNetwork(t, 26, 74)
	w.introduceAll()
	w.run(10 * time.Second)
	var log bytes.Buffer
	w.nodes[0].Logger = zerolog.New(&log)
	w.isPartitioned = func(from, to *testNode) bool { return inLastZone(from) != inLastZone(to) }
	w.run(10 * time.Second)
	lines := strings.Count(log.String(), "\n")
	summed := strings.Count(log.String(), "More members changed.")
	if lines > 60 || summed == 0 || !strings.Contains(log.String(), `"dead":{"zone-`) {
		t.Errorf("%d lines, %d of them summaries:\n%s", lines, summed, log.String())
	}
}
