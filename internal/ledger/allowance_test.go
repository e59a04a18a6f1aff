package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// programsOfOneShard returns names of programs that hash to the same shard.
func programsOfOneShard(s *Service, count int) []string {
	var names []string
	for i := 0; len(names) < count; i++ {
		if name := fmt.Sprint("program-", i); s.shardOf(name) == 0 {
			names = append(names, name)
		}
	}
	return names
}

// allowanceTurn is a turn of a program with a budget of 1000 tokens.
func allowanceTurn(program, id string, most int64) Turn {
	return Turn{ID: id, Program: program, BudgetTokens: 1000, MostTokens: most, Retention: time.Minute}
}

// newWarmFleet returns a fleet, one of its services, and programs of one shard. The
// first of them has begun, so that the shard's holder has an allowance.
func newWarmFleet(t *testing.T, daemons, programs int) (*testFleet, *Service, []string) {
	t.Helper()
	f := newTestFleet(t, daemons)
	s := f.service(daemonID(0, 1))
	names := programsOfOneShard(s, programs)
	warmUp(t, s, names[0])
	return f, s, names
}

// warmUp lets a program begin in a shard, so that its holder has an allowance.
func warmUp(t *testing.T, s *Service, program string) {
	t.Helper()
	begin(t, s, allowanceTurn(program, "warm-up-"+program, 10))
}

func TestProgramBeginsWhileTheStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s, names := newWarmFleet(t, 2, 2)
		f.store.SetDown(true)
		started := time.Now()
		for i := range 5 {
			if _, err := s.Begin(testContext(t), allowanceTurn(names[1], fmt.Sprint("new-", i), 100)); err != nil {
				t.Fatalf("turn %d: %v", i, err)
			}
		}
		if took := time.Since(started); took > 50*time.Millisecond {
			t.Errorf("five turns were granted after %s", took)
		}
		_, err := s.Begin(testContext(t), allowanceTurn(names[1], "beyond", 100))
		if !errors.Is(err, ErrUnavailable) {
			t.Errorf("a turn beyond the allowance: got %v, want %v", err, ErrUnavailable)
		}
		f.store.SetDown(false)
		for i := range 5 {
			end(t, s, Outcome{Turn: fmt.Sprint("new-", i), Program: names[1], UsedTokens: 100})
		}
		s.Abandon(allowanceTurn(names[1], "beyond", 100))
		begin(t, s, allowanceTurn(names[1], "rest", 500))
		refusedWith(t, s, allowanceTurn(names[1], "more", 1), ErrBudgetSpent)
	})
}

func TestAllowanceOfAHolderThatDiedCountsAsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s, names := newWarmFleet(t, 2, 4)
		f.store.SetDown(true)
		if _, err := s.Begin(testContext(t), allowanceTurn(names[1], "out", 500)); err != nil {
			t.Fatal(err)
		}
		f.killAll()
		f.store.SetDown(false)
		s = f.start(daemonID(0, 2))
		begin(t, s, allowanceTurn(names[1], "after", 100)) // 500 were granted, less half of this one
		refusedWith(t, s, allowanceTurn(names[1], "too-much", 451), ErrBudgetSpent)
		begin(t, s, allowanceTurn(names[1], "rest", 450))
		refusedWith(t, s, allowanceTurn(names[1], "more", 1), ErrBudgetSpent)

		// What was lost counts once, however often the shard is lost.
		for run := uint64(3); run < 6; run++ {
			f.killAll()
			s = f.start(daemonID(0, run))
			begin(t, s, allowanceTurn(names[2], fmt.Sprint("again-", run), 10))
		}
		begin(t, s, allowanceTurn(names[3], "unknown", 100))
		begin(t, s, allowanceTurn(names[3], "unknown-rest", 450))
		refusedWith(t, s, allowanceTurn(names[3], "unknown-more", 1), ErrBudgetSpent)
	})
}

func TestLostAllowanceCountsUntilItsProgramsAreOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, names := newWarmFleet(t, 2, 3)
		f.killAll()
		s := f.start(daemonID(0, 2))
		refusedWith(t, s, allowanceTurn(names[1], "early", 1000), ErrBudgetSpent)
		time.Sleep(allowanceLife + time.Minute + keepMargin + time.Second)
		begin(t, s, allowanceTurn(names[2], "late", 1000))
	})
}

func TestAllowanceIsGivenBackByAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, names := newWarmFleet(t, 2, 2)
		holder := f.holderOf(names[0])
		f.leave(holder)
		time.Sleep(2 * time.Second)
		if f.holderOf(names[0]) == holder {
			t.Fatal("the shard was not passed on")
		}
		begin(t, f.other(names[0]), allowanceTurn(names[1], "whole", 1000))
	})
}

func TestHolderThatTheStoreDoesNotConfirmStopsGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s, names := newWarmFleet(t, 1, 3)
		f.store.SetDown(true)
		time.Sleep(allowanceLife - time.Second)
		if _, err := s.Begin(testContext(t), allowanceTurn(names[1], "in-time", 10)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if _, err := s.Begin(testContext(t), allowanceTurn(names[2], "too-late", 10)); !errors.Is(err, ErrUnavailable) {
			t.Errorf("got %v, want %v", err, ErrUnavailable)
		}
	})
}

func TestAllowanceCoversTheRetentionOnRecordOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s, names := newWarmFleet(t, 1, 2)
		f.store.SetDown(true)
		turn := allowanceTurn(names[1], "longer", 10)
		turn.Retention = 2 * time.Minute
		if _, err := s.Begin(testContext(t), turn); !errors.Is(err, ErrUnavailable) {
			t.Errorf("got %v, want %v", err, ErrUnavailable)
		}
	})
}

func TestTurnWhoseAccountDiedWithItsHolderIsKeptForItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s, names := newWarmFleet(t, 2, 2)
		begin(t, s, allowanceTurn(names[1], "a", 10))
		f.killAll()
		s = f.start(daemonID(0, 2))
		f.start(daemonID(1, 2))
		end(t, s, Outcome{Turn: "a", Program: names[1], Retention: time.Minute, UsedTokens: 10, Kept: &KeptTurn{ID: "a", Input: []byte("text")}})
		time.Sleep(time.Minute - time.Second)
		f.killAll()
		s = f.start(daemonID(0, 3))
		turn := allowanceTurn(names[1], "b", 10)
		turn.Previous = "a"
		if history := begin(t, s, turn); history != "text" {
			t.Errorf("got history %q", history)
		}
	})
}

func TestTurnsGoOnWithWhatOthersDidNotUseWhileTheStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s, names := newWarmFleet(t, 2, 2)
		f.store.SetDown(true)
		for i := range 9 { // of 500 tokens, each wants 100 and uses 50
			turn := allowanceTurn(names[1], fmt.Sprint("turn-", i), 100)
			if _, err := s.Begin(testContext(t), turn); err != nil {
				t.Fatalf("turn %d: %v", i, err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_ = s.End(ctx, Outcome{Turn: turn.ID, Program: turn.Program, UsedTokens: 50}) // it is not on record
		}
		if _, err := s.Begin(testContext(t), allowanceTurn(names[1], "beyond", 100)); !errors.Is(err, ErrUnavailable) {
			t.Errorf("a turn beyond the allowance: got %v, want %v", err, ErrUnavailable)
		}
	})
}

func TestTurnOnRecordGivesNoHeadroomBack(t *testing.T) {
	now := time.Now()
	s := newState(now)
	turn := allowanceTurn("p", "a", 100)
	s.begin(turn, now)
	if _, err := s.takeDirty(); err != nil {
		t.Fatal(err)
	}
	s.confirmHeadroom()
	before := s.accounts["p"].headroom
	s.end(Outcome{Turn: "a", Program: "p", UsedTokens: 10}, now)
	if after := s.accounts["p"].headroom; after != before {
		t.Errorf("headroom went from %d to %d: the next holder would settle the turn as well", before, after)
	}
}

func TestProgramsWithRoomForOneTurnBeginBeforeAndAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		names := programsOfOneShard(s, 3)
		oneTurn := func(program, id string) Turn {
			return Turn{ID: id, Program: program, BudgetTokens: 900, MostTokens: 580, Retention: time.Minute}
		}
		warmUp(t, s, names[0])
		f.store.SetDown(true)
		if _, err := s.Begin(testContext(t), oneTurn(names[1], "before")); err != nil {
			t.Errorf("before: %v", err)
		}
		f.killAll()
		f.store.SetDown(false)
		begin(t, f.start(daemonID(0, 2)), oneTurn(names[2], "after"))
	})
}
