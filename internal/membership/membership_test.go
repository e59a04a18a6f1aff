package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestFleetFormsFromTheMachineList(t *testing.T) {
	for _, daemons := range []int{2, 3, 9, 50} {
		w := newTestNetwork(t, 1, daemons)
		took := w.converge(15 * time.Second)
		if daemons <= SmallFleet && took > 2*time.Second {
			t.Errorf("%d daemons: forming took %v", daemons, took)
		}
	}
}

func TestCrashIsDetectedInTime(t *testing.T) {
	for _, daemons := range []int{3, 9} {
		for _, jitter := range []time.Duration{0, 200 * time.Millisecond} {
			var took []time.Duration
			for seed := range uint64(20) {
				took = append(took, crashOne(t, daemons, seed, jitter)...)
			}
			slices.Sort(took)
			limit := 1500*time.Millisecond + 2*jitter
			if last := took[len(took)-1]; last > limit {
				t.Errorf("%d daemons, jitter %v: a death was seen after %v", daemons, jitter, last)
			}
			t.Logf("%d daemons, jitter %v: detection p50 %.2f s p99 %.2f s, greatest %.2f s of %d",
				daemons, jitter, percentile(took, 50).Seconds(), percentile(took, 99).Seconds(), took[len(took)-1].Seconds(), len(took))
		}
	}
}

// crashOne returns how long after a crash each other daemon detected it.
func crashOne(t *testing.T, daemons int, seed uint64, jitter time.Duration) []time.Duration {
	t.Helper()
	w := newTestNetwork(t, seed, daemons)
	w.converge(15 * time.Second)
	w.jitter = jitter
	w.run(time.Second + time.Duration(seed)*37*time.Millisecond)
	w.nodes[1].down = true
	crashed := w.clock.Now()
	w.run(4 * time.Second)
	if len(w.deaths) != daemons-1 {
		t.Fatalf("%d daemons, seed %d: %d deaths seen, want %d", daemons, seed, len(w.deaths), daemons-1)
	}
	for _, seen := range w.deaths {
		if seen.daemon != w.nodes[1].id {
			t.Errorf("%s declared dead though it runs", seen.daemon)
		}
	}
	return detectionTimes(w, crashed)
}

func TestNoFalseDeathUnderJitter(t *testing.T) {
	for daemons, window := range map[int]time.Duration{3: 5 * time.Minute, 9: 2 * time.Minute, 50: 2 * time.Minute} {
		w := newTestNetwork(t, 3, daemons)
		w.converge(15 * time.Second)
		w.jitter = 200 * time.Millisecond
		w.run(window)
		if len(w.deaths) > 0 {
			t.Errorf("%d daemons: %d false deaths", daemons, len(w.deaths))
		}
	}
}

func TestNoFalseDeathUnderLoss(t *testing.T) {
	w := newTestNetwork(t, 4, 9)
	w.converge(15 * time.Second)
	w.loss = 0.1
	w.run(2 * time.Minute)
	if len(w.deaths) > 0 {
		t.Errorf("%d false deaths", len(w.deaths))
	}
}

func TestOneWayLinkKillsNobody(t *testing.T) {
	w := newTestNetwork(t, 5, 5)
	w.converge(15 * time.Second)
	w.isPartitioned = func(from, to *testNode) bool { return from.index == 0 && to.index == 1 }
	w.run(time.Minute)
	if len(w.deaths) > 0 {
		t.Errorf("%d false deaths", len(w.deaths))
	}
	w.isPartitioned = nil
	w.converge(5 * time.Second)
}

func TestDaemonThatReceivesNothingDoesNotTakeOthersDown(t *testing.T) {
	w := newTestNetwork(t, 6, 5)
	w.converge(15 * time.Second)
	w.isPartitioned = func(from, to *testNode) bool { return to.index == 0 }
	w.run(30 * time.Second)
	for _, seen := range w.deaths {
		if seen.observer.index != 0 && seen.daemon != w.nodes[0].id {
			t.Errorf("%s believes %s dead on the report of a daemon that receives nothing", seen.observer.id, seen.daemon)
		}
	}
	w.isPartitioned = nil
	w.converge(20 * time.Second)
}

func TestPartitionHeals(t *testing.T) {
	for _, daemons := range []int{3, 9, 60} {
		w := newTestNetwork(t, 7, daemons)
		w.converge(15 * time.Second)
		w.isPartitioned = func(from, to *testNode) bool { return (from.zone == 0) != (to.zone == 0) }
		w.run(time.Minute)
		if state := w.nodes[1].State(w.nodes[0].id); state != StateDead {
			t.Errorf("%d daemons: a daemon across the partition is %s", daemons, state)
		}
		w.isPartitioned = nil
		startBytes := w.bytes
		took := w.converge(30 * time.Second)
		t.Logf("%d daemons: agreement %v after a partition of a minute healed, %.0f bytes/s meanwhile", daemons, took, measuredRate(w, startBytes, took))
	}
}

func TestRestartAtTheOldAddressSupersedes(t *testing.T) {
	w := newTestNetwork(t, 8, 5)
	w.converge(15 * time.Second)
	old := w.nodes[2]
	old.down = true
	restarted := w.add(2, old.id.Incarnation()+1_000_000_000)
	w.publishMachineList()
	w.run(time.Second)
	for _, node := range w.up() {
		if got := node.State(restarted.id); got != StateAlive {
			t.Errorf("%s believes the new run %s", node.id, got)
		}
		if got := node.State(old.id); got != StateDead {
			t.Errorf("%s believes the old run %s", node.id, got)
		}
	}
}

func TestPausedDaemonDeclaresNobodyDeadOnWaking(t *testing.T) {
	for _, pause := range []time.Duration{600 * time.Millisecond, 5 * time.Second, time.Minute} {
		w := newTestNetwork(t, 9, 5)
		w.converge(15 * time.Second)
		w.nodes[0].paused = true
		w.run(pause)
		w.nodes[0].wake()
		w.run(3 * time.Second)
		for _, seen := range w.deaths {
			if seen.observer.index == 0 {
				t.Errorf("pause of %v: the paused daemon declared %s dead", pause, seen.daemon)
			}
		}
		w.converge(5 * time.Second)
	}
}

func TestPlannedStop(t *testing.T) {
	w := newTestNetwork(t, 10, 9)
	w.converge(15 * time.Second)
	leaving := w.nodes[3]
	leaving.Leave()
	w.run(100 * time.Millisecond)
	for _, node := range w.nodes {
		if got := node.State(leaving.id); got != StateLeaving {
			t.Errorf("%s believes the leaving daemon %s", node.id, got)
		}
	}
	w.run(10 * time.Second)
	if len(w.deaths) > 0 {
		t.Errorf("%d deaths while it was leaving", len(w.deaths))
	}
	leaving.Stop()
	leaving.down = true
	w.run(100 * time.Millisecond)
	if len(w.deaths) != 8 {
		t.Errorf("%d of 8 were informed that it left", len(w.deaths))
	}
}

func TestListedMachineThatDoesNotAnswerIsNoMember(t *testing.T) {
	w := newTestNetwork(t, 11, 3)
	machines := []structs.Machine{{Kind: structs.MachineDaemon, Address: "10.9.9.9:7000"}}
	for _, node := range w.nodes {
		node.MachinesListed(append(machines, structs.Machine{Kind: structs.MachineDaemon, Address: w.nodes[0].id.Address()}))
	}
	w.converge(5 * time.Second)
	w.run(10 * time.Second)
	if got := len(w.nodes[0].Members()); got != 3 {
		t.Errorf("%d members, want the 3 that answer", got)
	}
}

func TestProbesCarryNotes(t *testing.T) {
	w := newTestNetwork(t, 12, 2)
	var heard []Note
	w.nodes[1].OnNote(func(_ structs.DaemonID, note Note) { heard = append(heard, note) })
	want := Note{ConfigurationOffset: 5, ConfigurationDigest: 7}
	w.nodes[0].SetNote(want)
	w.converge(5 * time.Second)
	w.run(time.Second)
	if len(heard) == 0 {
		t.Fatal("no note arrived")
	}
	if diff := cmp.Diff(want, heard[len(heard)-1]); diff != "" {
		t.Error(diff)
	}
}
