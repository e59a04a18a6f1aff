package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// supersedeHolder begins a program from the allowance of a shard's holder while the store
// is out. As soon as the store is back, before the holder's records arrive, the other
// daemon takes the shard. It returns the former and the new holder, and the program, which
// has reserved 500 of its 1000 tokens.
func supersedeHolder(t *testing.T, before func(f *testFleet, holder structs.DaemonID)) (former, successor *Service, program string) {
	t.Helper()
	f, _, names := newWarmFleet(t, 2, 2)
	holder := f.holderOf(names[0])
	former, successor = f.service(holder), f.other(names[0])
	f.store.SetDown(true)
	time.Sleep(singleTurnPeriod)
	if _, err := former.Begin(testContext(t), allowanceTurn(names[1], "out", 500)); err != nil {
		t.Fatal(err)
	}
	before(f, holder)
	f.store.SetDown(false)
	shard := former.shardOf(names[1])
	take := Request{Shard: shard, Take: true, FailedEpoch: former.known.get(shard).Epoch}
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
			f.setDisconnected(holder, true)
			started = time.Now()
		})
		if took := time.Since(started); took > formerAnswerTimeout+10*time.Millisecond {
			t.Errorf("the claim took %s", took)
		}
		begin(t, successor, allowanceTurn(program, "after", 100))
		refusedWith(t, successor, allowanceTurn(program, "too-much", 451), ErrBudgetSpent)
	})
}

// TestHolderThatToldItsSuccessorGrantsNothing: later grants would be missing from the
// accounts.
func TestHolderThatToldItsSuccessorGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former, _, program := supersedeHolder(t, func(*testFleet, structs.DaemonID) {})
		late := allowanceTurn(programsOfOneShard(former, 3)[2], "late", 100)
		request := Request{Shard: former.shardOf(program), Begin: &late}
		if got := former.askOne(testContext(t), former.Self, request).Result; got != resultMoved {
			t.Errorf("the former holder answered %q", got)
		}
	})
}

// claimTwice kills a program's holder and lets two daemons claim the shard one right after
// the other, the second of which knows no more of the first than the directory, which does
// not name it yet. It returns both, and false if the second left the shard to the first, as
// it does if the store rejects its epoch as too low. With isDead, the second believes that
// the first is dead.
func claimTwice(t *testing.T, isDead bool) (first, second *Service, program string, taken bool) {
	t.Helper()
	f := newTestFleet(t, 0)
	believedDead := map[structs.DaemonID]bool{}
	f.viewOf = func(structs.DaemonID) View { return staleView{f, believedDead} }
	for i := range 3 {
		f.start(daemonID(i, 1))
	}
	s := f.service(daemonID(0, 1))
	names := programsOfOneShard(s, 2)
	warmUp(t, s, names[0])
	program = names[1]
	begin(t, s, allowanceTurn(program, "first", 100))
	end(t, s, Outcome{Turn: "first", Program: program, UsedTokens: 10})

	holder := f.service(f.holderOf(program))
	shard := holder.shardOf(program)
	take := Request{Shard: shard, Take: true, FailedEpoch: holder.known.get(shard).Epoch}
	f.kill(holder.Self)
	f.store.SetFault(func(p store.Partition, _ store.Writer) memory.Fault {
		if p.Space == "holders" {
			return memory.FaultRefused
		}
		return memory.FaultNone
	})
	defer f.store.SetFault(nil)
	alive := f.ids()
	first, second = f.service(alive[0]), f.service(alive[1])
	if got := first.askOne(testContext(t), first.Self, take).Result; got != resultOK {
		t.Fatalf("the shard was not taken: %q", got)
	}
	begin(t, first, allowanceTurn(program, "between", 100))
	end(t, first, Outcome{Turn: "between", Program: program, UsedTokens: 10})
	if isDead {
		synctest.Wait()
		believedDead[first.Self] = true
	}
	return first, second, program, second.askOne(testContext(t), second.Self, take).Result == resultOK
}

// accountOf returns what a daemon knows of a program, or knew when it lost the shard.
func (s *Service) accountOf(program string) account {
	h := s.holders[s.shardOf(program)]
	if h.state != nil {
		return h.state.accounts[program].account
	}
	return h.former.accounts[program].account
}

// TestFirstOfTwoClaimantsTellsTheSecondWhatItGranted: when two daemons claim a shard within
// a second, the directory may still name the lost holder. The second claimant must ask the
// first one what it granted. Otherwise it counts the first one's headroom as spent, and
// programs with room in their budget are refused.
func TestFirstOfTwoClaimantsTellsTheSecondWhatItGranted(t *testing.T) {
	for name, isDead := range map[string]bool{"lives in the second's view": false, "dead in the second's view": true} {
		t.Run(name, func(t *testing.T) {
			const most = 20 // claims, each of which supersedes the first with a probability of at least one half
			for range most {
				taken := false
				synctest.Test(t, func(t *testing.T) {
					var first, second *Service
					var program string
					if first, second, program, taken = claimTwice(t, isDead); !taken {
						return
					}
					synctest.Wait()
					known, told := second.accountOf(program), first.accountOf(program)
					if known.Forfeited != told.Forfeited || known.Spent != told.Spent {
						t.Errorf("forfeited %d, spent %d of 1000 tokens, where the first had counted %d and %d",
							known.Forfeited, known.Spent, told.Forfeited, told.Spent)
					}
				})
				if taken {
					return
				}
			}
			t.Errorf("none of %d claims superseded another", most)
		})
	}
}
