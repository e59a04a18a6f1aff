package membership

import (
	"testing"
	"time"
)

// formed returns a fleet whose daemons know each other.
func formed(t *testing.T, seed uint64, daemons int) *testNetwork {
	t.Helper()
	w := newTestNetwork(t, seed, daemons)
	w.settle(15 * time.Second)
	return w
}

func (n *testNode) wantState(t *testing.T, other *testNode, want State, when string) {
	t.Helper()
	if got := n.State(other.id); got != want {
		t.Errorf("%s: state is %s, want %s", when, got, want)
	}
}

func TestVerdictOfAnotherMayBeRefuted(t *testing.T) {
	w := formed(t, 21, 3)
	observer, subject, other := w.nodes[0], w.nodes[1], w.nodes[2]
	update := subject.self.update()
	update.Status = statusDead
	observer.Receive(other.id, &UpdatePush{Updates: []Update{update}})
	observer.wantState(t, subject, StateSuspect, "after another's verdict")
	w.run(time.Second)
	observer.wantState(t, subject, StateAlive, "after the refutation")
	observer.Receive(other.id, &UpdatePush{Updates: []Update{update}})
	observer.wantState(t, subject, StateAlive, "after stale news")
}

func TestTablesReadSuspectAndKillNobody(t *testing.T) {
	w := formed(t, 22, 3)
	observer, subject, other := w.nodes[0], w.nodes[1], w.nodes[2]
	for _, worse := range []status{statusSuspect, statusDead} {
		update := subject.self.update()
		update.Status = worse
		observer.Receive(other.id, &SyncReply{Updates: []Update{update}})
		observer.wantState(t, subject, StateAlive, "after a table that says "+string(worse))
	}
}

func TestTableThatHoldsADeadDaemonAliveIsVerifiedAtOnce(t *testing.T) {
	w := formed(t, 23, 3)
	observer, subject, other := w.nodes[0], w.nodes[1], w.nodes[2]
	w.cut = func(from, to *testNode) bool { return from == subject || to == subject }
	w.run(5 * time.Second)
	observer.wantState(t, subject, StateDead, "beyond the cut")
	w.cut = nil
	observer.Receive(other.id, &SyncReply{Updates: []Update{subject.self.update()}})
	w.run(20 * time.Millisecond)
	observer.wantState(t, subject, StateAlive, "after the table was read")
}

func TestSuspicionBegunBeforeAPauseIsNoVerdictAfterIt(t *testing.T) {
	w := formed(t, 24, 5)
	paused, subject := w.nodes[0], w.nodes[1]
	w.cut = func(from, _ *testNode) bool { return from == subject }
	for paused.State(subject.id) != StateSuspect {
		w.run(10 * time.Millisecond)
	}
	paused.paused = true
	w.cut = nil
	w.run(5 * time.Second)
	w.deaths = nil
	paused.wake()
	w.run(2 * time.Second)
	for _, seen := range w.deaths {
		t.Errorf("%s held %s dead", seen.observer.id, seen.daemon)
	}
	paused.wantState(t, subject, StateAlive, "after the pause")
}

func TestNeighboursThatDieTogetherAreBothSeenInTime(t *testing.T) {
	for seed := range uint64(10) {
		w := formed(t, 30+seed, 9)
		w.run(time.Second)
		following := w.nodes[0].ring.following
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
