package ledger

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// expectHolderStays begins turns at the services in rotation and expects that the shard
// keeps its holder and that no turn takes more than one append.
func expectHolderStays(t *testing.T, f *testFleet, services []*Service, holder structs.DaemonID, turns int) {
	t.Helper()
	before := f.store.Appends()
	for i := range turns {
		begin(t, services[i%len(services)], Turn{ID: fmt.Sprint("later-", i), Program: "p"})
	}
	if got := f.holderOf("p"); got != holder {
		t.Errorf("the shard moved on from %s to %s", holder, got)
	}
	if got := f.store.Appends() - before; got > turns {
		t.Errorf("%d appends for %d turns: the shard keeps moving", got, turns)
	}
}

func TestHolderStaysWhileItLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5)
		services := make([]*Service, 5)
		for i := range services {
			services[i] = f.service(daemonID(i, 1))
			begin(t, services[i], Turn{ID: fmt.Sprint("warm-", i), Program: "p"})
		}
		holder := f.holderOf("p")
		// Some daemons know of failures of the holder from before its claim, others prefer
		// another holder.
		for i, s := range services {
			if i%2 == 0 {
				s.known.holders[s.shardOf("p")] = knownHolder{}
				s.avoidList.note(s.shardOf("p"), holder, resultImpaired)
			}
		}
		expectHolderStays(t, f, services, holder, 50)
	})
}

func TestDaemonsThatClaimAtOnceAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 6)
		f.store.SetDelay(4 * time.Millisecond)
		services := make([]*Service, 6)
		for i := range services {
			services[i] = f.service(daemonID(i, 1))
			// Each daemon knows of failures of all others, so each asks itself.
			for j := range services {
				if i != j {
					services[i].avoidList.note(services[i].shardOf("p"), daemonID(j, 1), resultSilent)
				}
			}
		}
		const turns = 60
		var workers sync.WaitGroup
		for i := range turns {
			workers.Go(func() {
				begin(t, services[i%6], Turn{ID: fmt.Sprint("turn-", i), Program: "p"})
			})
		}
		workers.Wait()
		holder := f.holderOf("p")
		expectHolderStays(t, f, services, holder, turns)
	})
}

func TestFencedClaimantLeavesTheShardToALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		first, second := f.service(daemonID(0, 1)), f.service(daemonID(1, 1))
		shard := first.shardOf("p")
		begin(t, first, Turn{ID: "a", Program: "p"})
		holder := f.holderOf("p")
		claimant := first
		if holder == first.Self {
			claimant = second
		}
		// The claimant read the directory before the holder wrote there.
		h := claimant.holders[shard]
		h.known.holders[shard] = knownHolder{}
		epoch := nextEpoch(nextEpoch(nextEpoch(0)))
		record := f.service(holder).holders[shard].recordOf(holderKey, epoch)
		if err := f.store.Append(testContext(t), h.partition, store.Writer{Name: writerName, Epoch: epoch, Sequence: 1}, []store.Record{record}); err != nil {
			t.Fatal(err)
		}
		if err := h.seize(testContext(t), 0, 0); !errors.Is(err, errHeldElsewhere) {
			t.Errorf("got %v, want %v", err, errHeldElsewhere)
		}
		if got := h.known.get(shard).Daemon; got != string(holder) {
			t.Errorf("the claimant knows of holder %q, want %q", got, holder)
		}
	})
}

// TestLeavingDaemonPassesItsShardsOn: a leaving daemon serves until another daemon can,
// forfeits no headroom, and claims nothing any more.
func TestLeavingDaemonPassesItsShardsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		turn := Turn{ID: "a", Program: "p", BudgetTokens: 1000, MaxTokens: 10}
		begin(t, f.service(daemonID(0, 1)), turn)
		holder := f.holderOf("p")
		f.leave(holder)
		turn.ID = "b"
		begin(t, f.service(holder), turn)
		time.Sleep(prepareTimeout + takeTimeout)
		successor := f.holderOf("p")
		if successor == holder {
			t.Fatalf("%s still holds the shard", holder)
		}
		shard := f.service(holder).shardOf("p")
		if got := f.service(successor).holders[shard].state.accounts["p"].Forfeited; got != 0 {
			t.Errorf("%d tokens were forfeited in a planned handover", got)
		}
		turn.ID = "c"
		begin(t, f.service(holder), turn)
		if got := f.holderOf("p"); got != successor {
			t.Errorf("%s claimed the shard from %s; the daemon that leaves is %s", got, successor, holder)
		}
	})
}

func TestHolderThatWakesLateIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", BudgetTokens: 100, MaxTokens: 60})
		frozen := f.holderOf("p")
		other := f.other("p")
		f.setDisconnected(frozen, true)
		begin(t, other, Turn{ID: "b", Program: "p", BudgetTokens: 100, MaxTokens: 20})
		f.setDisconnected(frozen, false)

		// The former holder does not know turn b, and would grant this one.
		refusedWith(t, f.service(frozen), Turn{ID: "c", Program: "p", BudgetTokens: 100, MaxTokens: 30}, ErrBudgetSpent)
	})
}

func TestHolderThatDoesNotKnowThatItLostTheShardStaysWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		const budget, most = 1000, 10
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", BudgetTokens: budget, MaxTokens: most})
		former := f.service(f.holderOf("p"))
		later := f.other("p")
		f.setDisconnected(former.Self, true)
		begin(t, later, Turn{ID: "b", Program: "p", BudgetTokens: budget, MaxTokens: most})
		granted := int64(2 * most)
		for i := range 2 * budget / most {
			turn := &Turn{ID: fmt.Sprint("former-", i), Program: "p", BudgetTokens: budget, MaxTokens: most}
			if askHolder(t, former, Request{Begin: turn}) != resultOK {
				break
			}
			granted += most
		}
		if granted == 2*most {
			t.Error("the former holder granted nothing from headroom")
		}
		for i := range 2 * budget / most {
			turn := &Turn{ID: fmt.Sprint("later-", i), Program: "p", BudgetTokens: budget, MaxTokens: most}
			if askHolder(t, later, Request{Begin: turn}) == resultOK {
				granted += most
			}
		}
		if granted > budget {
			t.Errorf("%d tokens were granted of %d", granted, budget)
		}
	})
}

func TestReleasedShardReturnsItsHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", BudgetTokens: 100, MaxTokens: 10})
		holder := f.service(f.holderOf("p"))
		if headroom := holder.holders[holder.shardOf("p")].state.accounts["p"].headroom; headroom != (headroomBalance{immediate: 30, outageOnly: 15}) {
			t.Errorf("%+v set aside, want three turns, and with the rest half of what is left", headroom)
		}
		holder.Leave()
		begin(t, f.other("p"), Turn{ID: "b", Program: "p", BudgetTokens: 100, MaxTokens: 90})
	})
}

// askHolder sends a request to one daemon only, whichever daemon holds the shard.
func askHolder(t *testing.T, s *Service, request Request) result {
	t.Helper()
	request.Shard = s.shardOf("p")
	return s.askOne(testContext(t), s.Self, request).Result
}

func TestHolderThatMissesOneMessageKeepsItsShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		begin(t, f.service(daemonID(0, 1)), Turn{ID: "a", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		holder, other := f.holderOf("p"), f.other("p")
		begin(t, other, Turn{ID: "b", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		f.setDisconnected(holder, true)
		time.AfterFunc(silenceTimeout/2, func() { f.setDisconnected(holder, false) })
		begin(t, other, Turn{ID: "c", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		if now := f.holderOf("p"); now != holder {
			t.Errorf("the shard moved from the live holder %s to %s", holder, now)
		}
		f.setDisconnected(holder, true) // it does not answer any more
		started := time.Now()
		begin(t, other, Turn{ID: "d", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		if took := time.Since(started); took > holderTries*silenceTimeout+100*time.Millisecond {
			t.Errorf("a silent holder was passed over after %s", took)
		}
	})
}
