package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// convergedNetwork returns a network whose daemons all know each other.
func convergedNetwork(t *testing.T, seed uint64, daemons int) *testNetwork {
	t.Helper()
	w := newTestNetwork(t, seed, daemons)
	w.converge(15 * time.Second)
	return w
}

func (n *testNode) wantState(t *testing.T, other *testNode, want State, when string) {
	t.Helper()
	if got := n.State(other.id); got != want {
		t.Errorf("%s: state is %s, want %s", when, got, want)
	}
}

func TestReportedDeathMayBeRefuted(t *testing.T) {
	w := convergedNetwork(t, 21, 3)
	observer, subject, other := w.nodes[0], w.nodes[1], w.nodes[2]
	update := subject.self.update()
	update.Status = statusDead
	observer.Receive(other.id, &UpdatePush{Updates: []Update{update}})
	observer.wantState(t, subject, StateSuspect, "after another daemon's report")
	w.run(time.Second)
	observer.wantState(t, subject, StateAlive, "after the refutation")
	observer.Receive(other.id, &UpdatePush{Updates: []Update{update}})
	observer.wantState(t, subject, StateAlive, "after a stale report")
}

func TestSyncedTablesSuspectAndKillNobody(t *testing.T) {
	w := convergedNetwork(t, 22, 3)
	observer, subject, other := w.nodes[0], w.nodes[1], w.nodes[2]
	for _, worse := range []status{statusSuspect, statusDead} {
		update := subject.self.update()
		update.Status = worse
		observer.Receive(other.id, &SyncReply{Updates: []Update{update}})
		observer.wantState(t, subject, StateAlive, "after a table that says "+string(worse))
	}
}

func TestTableThatHoldsADeadDaemonAliveIsVerifiedAtOnce(t *testing.T) {
	w := convergedNetwork(t, 23, 3)
	observer, subject, other := w.nodes[0], w.nodes[1], w.nodes[2]
	w.isPartitioned = func(from, to *testNode) bool { return from == subject || to == subject }
	w.run(5 * time.Second)
	observer.wantState(t, subject, StateDead, "across the partition")
	w.isPartitioned = nil
	observer.Receive(other.id, &SyncReply{Updates: []Update{subject.self.update()}})
	w.run(20 * time.Millisecond)
	observer.wantState(t, subject, StateAlive, "after the sync")
}

func TestPauseRestartsSuspicions(t *testing.T) {
	w := convergedNetwork(t, 24, 5)
	paused, subject := w.nodes[0], w.nodes[1]
	w.isPartitioned = func(from, _ *testNode) bool { return from == subject }
	for paused.State(subject.id) != StateSuspect {
		w.run(10 * time.Millisecond)
	}
	paused.paused = true
	w.isPartitioned = nil
	w.run(5 * time.Second)
	w.deaths = nil
	paused.wake()
	w.run(2 * time.Second)
	for _, seen := range w.deaths {
		t.Errorf("%s declared %s dead", seen.observer.id, seen.daemon)
	}
	paused.wantState(t, subject, StateAlive, "after the pause")
}

const (
	// deathSpread is how much later one daemon may detect a death than another:
	// an update is pushed after PushDelay and delayed by some milliseconds on
	// its way.
	deathSpread = 50 * time.Millisecond
	// refillTime is longer than the push budget takes to refill after a fleet
	// has formed: PushBurst over PushBytesPerSecond is 13.7 s.
	refillTime = 20 * time.Second
)

// TestNeighboursThatDieTogetherAreSeenAtAnyMoment crashes three consecutive
// daemons on the ring at many points of their probe cycle. One daemon probes
// all three, each as soon as the one before is suspected.
func TestNeighboursThatDieTogetherAreSeenAtAnyMoment(t *testing.T) {
	const neighbours = 3
	settings := DefaultSettings()
	bound := settings.ProbeInterval + neighbours*settings.AckTimeout + settings.SuspicionTimeout + deathSpread
	for seed := range uint64(40) {
		for moment := range 12 {
			w := convergedNetwork(t, 30+seed, 9)
			w.run(refillTime + time.Duration(moment)*settings.ProbeInterval/3)
			crashed := w.crashFollowers(neighbours)
			w.run(5 * time.Second)
			took := detectionTimes(w, crashed)
			if want := neighbours * len(w.up()); len(took) != want {
				t.Fatalf("seed %d, moment %d: %d deaths seen, want %d", seed, moment, len(took), want)
			}
			if last := took[len(took)-1]; last > bound {
				t.Errorf("seed %d, moment %d: three neighbours were seen dead after %v, want at most %v", seed, moment, last, bound)
			}
		}
	}
}

// crashFollowers crashes the daemons that follow the first one on the ring, and
// returns the time of it.
func (w *testNetwork) crashFollowers(count int) time.Time {
	following := w.nodes[0].ring.successors[:count]
	for _, node := range w.nodes {
		if slices.ContainsFunc(following, func(r *record) bool { return r.daemon.ID == node.id }) {
			node.down = true
		}
	}
	return w.clock.Now()
}

// pushRecorder records which members a daemon pushes updates to.
type pushRecorder struct {
	peer.Transport
	pushedTo map[structs.DaemonID]bool
}

// Send implements peer.Transport.
func (r *pushRecorder) Send(to structs.DaemonID, message peer.Message) {
	if _, isPush := message.(*UpdatePush); isPush {
		r.pushedTo[to] = true
	}
	r.Transport.Send(to, message)
}

// TestRateLimitedPushIsResumed leaves a daemon the budget to push a suspicion
// to all members but one live one and the suspect.
func TestRateLimitedPushIsResumed(t *testing.T) {
	w := convergedNetwork(t, 25, 9)
	w.run(refillTime)
	observer, subject := w.nodes[0], w.nodes[1]
	recorder := &pushRecorder{Transport: observer.Transport, pushedTo: map[structs.DaemonID]bool{}}
	observer.Transport = recorder
	live := len(w.nodes) - 2
	pushSize := messageSize + updateSize
	observer.broadcast.pushes.Take(w.clock.Now(), observer.settings.PushBurst-(live-1)*pushSize-1)
	subject.down = true
	update := subject.self.update()
	update.Status = statusSuspect
	observer.replace(observer.records[update.Address], update)
	observer.announce(update)
	w.run(2 * observer.settings.PushDelay)
	if pushed := len(recorder.pushedTo); pushed != live-1 || recorder.pushedTo[subject.id] {
		t.Fatalf("pushed to %v at first, want %d members without the suspect", recorder.pushedTo, live-1)
	}
	w.run(observer.settings.SuspicionTimeout)
	delete(recorder.pushedTo, subject.id)
	if pushed := len(recorder.pushedTo); pushed != live {
		t.Errorf("pushed to %d of %d live members", pushed, live)
	}
}

func TestNeighboursThatDieTogetherAreBothSeenInTime(t *testing.T) {
	for seed := range uint64(10) {
		w := convergedNetwork(t, 30+seed, 9)
		w.run(time.Second)
		following := w.nodes[0].ring.successors
		for _, node := range w.nodes {
			if node.id == following[0].daemon.ID || node.id == following[1].daemon.ID || node.id == following[2].daemon.ID {
				node.down = true
			}
		}
		crashed := w.clock.Now()
		w.run(5 * time.Second)
		took := detectionTimes(w, crashed)
		if len(took) != 18 {
			t.Fatalf("%d deaths seen, want 18", len(took))
		}
		if last := took[len(took)-1]; last > 2200*time.Millisecond {
			t.Errorf("seed %d: three neighbours were seen dead after %v", seed, last)
		}
	}
}
