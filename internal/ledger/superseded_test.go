package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// supersedeHolder lets a program begin from the allowance of a shard's holder while the
// store is out, and lets the other daemon take the shard as soon as the store is back,
// before the holder's records arrive. It returns the former and the new holder, and the
// program that spent or reserved 500 of its 1000 tokens.
func supersedeHolder(t *testing.T, before func(f *testFleet, holder structs.DaemonID)) (former, successor *Service, program string) {
	t.Helper()
	f, _, names := newWarmFleet(t, 2, 2)
	holder := f.holderOf(names[0])
	former, successor = f.service(holder), f.other(names[0])
	f.store.SetDown(true)
	time.Sleep(firstTurnTime)
	if _, err := former.Begin(testContext(t), allowanceTurn(names[1], "out", 500)); err != nil {
		t.Fatal(err)
	}
	before(f, holder)
	f.store.SetDown(false)
	shard := former.shardOf(names[1])
	take := Request{Shard: shard, Take: true, Failed: former.known.get(shard).Epoch}
	if got := successor.askOne(testContext(t), successor.Self, take).Result; got != resultOK {
		t.Fatalf("the shard was not taken: %q", got)
	}
	return former, successor, names[1]
}

func TestHolderThatLivesTellsItsSuccessorWhatItGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, successor, program := supersedeHolder(t, func(*testFleet, structs.DaemonID) {})
		begin(t, successor, allowanceTurn(program, "after", 100))
		refusedWith(t, successor, allowanceTurn(program, "too-much", 401), ErrBudgetSpent)
		end(t, successor, Outcome{Turn: "out", Program: program, UsedTokens: 200})
		begin(t, successor, allowanceTurn(program, "rest", 700))
		refusedWith(t, successor, allowanceTurn(program, "more", 1), ErrBudgetSpent)
	})
}

func TestHolderThatCannotBeAskedCountsAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		_, successor, program := supersedeHolder(t, func(f *testFleet, holder structs.DaemonID) {
			f.setDeaf(holder, true)
			started = time.Now()
		})
		if took := time.Since(started); took > formerAnswerTime+10*time.Millisecond {
			t.Errorf("the claim took %s", took)
		}
		begin(t, successor, allowanceTurn(program, "after", 100))
		refusedWith(t, successor, allowanceTurn(program, "too-much", 451), ErrBudgetSpent)
	})
}

// TestHolderThatToldItsSuccessorGrantsNothing: what it grants later would be in nobody's
// account.
func TestHolderThatToldItsSuccessorGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former, _, program := supersedeHolder(t, func(*testFleet, structs.DaemonID) {})
		late := allowanceTurn(programsOfOneShard(former, 3)[2], "late", 100)
		request := Request{Shard: former.shardOf(program), Begin: &late}
		if got := former.askOne(testContext(t), former.Self, request).Result; got != resultMoved {
			t.Errorf("the former holder said %q", got)
		}
	})
}
