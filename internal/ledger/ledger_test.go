package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

func begin(t *testing.T, s *Service, turn Turn) string {
	t.Helper()
	var history []byte
	eventually(t, func() error {
		grant, err := s.Begin(testContext(t), turn)
		history = grant.History
		return err
	})
	return string(history)
}

func end(t *testing.T, s *Service, outcome Outcome) {
	t.Helper()
	if err := s.End(testContext(t), outcome); err != nil {
		t.Fatal(err)
	}
}

// complete runs a turn that is kept.
func complete(t *testing.T, s *Service, program, id, previous string) {
	t.Helper()
	begin(t, s, Turn{ID: id, Program: program, MaxTokens: 10, BudgetTokens: 1000, Previous: previous})
	end(t, s, Outcome{Turn: id, Program: program, UsedTokens: 5, Kept: &KeptTurn{
		ID: id, Previous: previous, Input: []byte("in-" + id + " "), Output: []byte("out-" + id + " "),
	}})
}

func refusedWith(t *testing.T, s *Service, turn Turn, want error) {
	t.Helper()
	eventually(t, func() error {
		_, err := s.Begin(testContext(t), turn)
		if errors.Is(err, ErrUnavailable) {
			return err
		}
		if !errors.Is(err, want) {
			t.Fatalf("turn %s: got %v, want %v", turn.ID, err, want)
		}
		return nil
	})
}

func TestBudgetIsNotExceededByParallelTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		const budget, most, turns = 100, 10, 40
		var granted atomic.Int64
		var workers sync.WaitGroup
		for i := range turns {
			service := f.service(daemonID(i%3, 1))
			workers.Go(func() {
				turn := Turn{ID: fmt.Sprint("turn-", i), Program: "p", BudgetTokens: budget, MaxTokens: most}
				for {
					_, err := service.Begin(testContext(t), turn)
					if errors.Is(err, ErrUnavailable) {
						time.Sleep(time.Millisecond)
						continue
					}
					if err == nil {
						granted.Add(1)
					}
					return
				}
			})
		}
		workers.Wait()
		if got := granted.Load(); got != budget/most {
			t.Errorf("%d turns were granted, want %d", got, budget/most)
		}
	})
}

func TestSettledTurnGivesBackWhatItDidNotUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		begin(t, s, Turn{ID: "a", Program: "p", BudgetTokens: 20, MaxTokens: 15})
		refusedWith(t, s, Turn{ID: "b", Program: "p", BudgetTokens: 20, MaxTokens: 15}, ErrBudgetSpent)
		end(t, s, Outcome{Turn: "a", Program: "p", UsedTokens: 5})
		begin(t, s, Turn{ID: "c", Program: "p", BudgetTokens: 20, MaxTokens: 15})
		refusedWith(t, s, Turn{ID: "d", Program: "p", BudgetTokens: 20, MaxTokens: 1}, ErrBudgetSpent)
	})
}

func TestNothingIsLostWhenAllDaemonsAreKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		s := f.service(daemonID(0, 1))
		complete(t, s, "p", "one", "")
		complete(t, s, "p", "two", "one")
		begin(t, s, Turn{ID: "cut", Program: "p", BudgetTokens: 1000, MaxTokens: 900})
		f.killAll()
		s = f.start(daemonID(0, 2))
		f.start(daemonID(1, 2))

		// 10 of 1000 are spent, and 900 stay reserved.
		refusedWith(t, s, Turn{ID: "big", Program: "p", BudgetTokens: 1000, MaxTokens: 91}, ErrBudgetSpent)
		history := begin(t, s, Turn{ID: "three", Program: "p", BudgetTokens: 1000, MaxTokens: 90, Previous: "two"})
		if diff := cmp.Diff("in-one out-one in-two out-two ", history); diff != "" {
			t.Errorf("history (-want +got):\n%s", diff)
		}
	})
}

func TestTurnsOfBegunProgramsNeedNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		begin(t, s, Turn{ID: "a", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		f.store.SetDown(true)
		for i := range 5 {
			turn := Turn{ID: fmt.Sprint("down-", i), Program: "p", BudgetTokens: 1000, MaxTokens: 10}
			if _, err := s.Begin(testContext(t), turn); err != nil {
				t.Fatalf("turn %d: %v", i, err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		beyond := Turn{ID: "n", Program: "p", BudgetTokens: 1000, MaxTokens: 501}
		_, err := s.Begin(ctx, beyond)
		if !errors.Is(err, ErrUnavailable) {
			t.Errorf("a turn beyond the headroom: got %v, want %v", err, ErrUnavailable)
		}
		f.store.SetDown(false)
		s.Abandon(beyond)
		for i := range 5 {
			end(t, s, Outcome{Turn: fmt.Sprint("down-", i), Program: "p", UsedTokens: 10})
		}
		begin(t, s, Turn{ID: "big", Program: "p", BudgetTokens: 1000, MaxTokens: 940})
		refusedWith(t, s, Turn{ID: "more", Program: "p", BudgetTokens: 1000, MaxTokens: 1}, ErrBudgetSpent)
	})
}

func TestTurnThatIsTriedAgainIsReservedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		begin(t, s, Turn{ID: "a", Program: "p", BudgetTokens: 100, MaxTokens: 10})
		f.store.SetDown(true)
		turn := Turn{ID: "b", Program: "p", BudgetTokens: 100, MaxTokens: 60}
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := s.Begin(ctx, turn); !errors.Is(err, ErrUnavailable) {
				t.Fatalf("got %v, want %v", err, ErrUnavailable)
			}
		}
		f.store.SetDown(false)
		begin(t, s, turn)
		begin(t, s, Turn{ID: "c", Program: "p", BudgetTokens: 100, MaxTokens: 30})
		s.Abandon(turn)
		eventually(t, func() error {
			_, err := s.Begin(testContext(t), Turn{ID: "d", Program: "p", BudgetTokens: 100, MaxTokens: 60})
			return err
		})
	})
}

func TestOutageIsReportedWithinTheCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		s := f.service(daemonID(0, 1))
		begin(t, s, Turn{ID: "a", Program: "p"})
		f.store.SetDown(true)
		time.Sleep(time.Second)
		before := f.store.Appends()
		const turns, patience = 30, 200 * time.Millisecond
		for i := range turns {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			started := time.Now()
			_, err := s.Begin(ctx, Turn{ID: fmt.Sprint("down-", i), Program: "q", BudgetTokens: 10, MaxTokens: 10})
			cancel()
			if !errors.Is(err, ErrUnavailable) || (i > 5 && !errors.Is(err, ErrStoreUnreachable)) {
				t.Fatalf("turn %d: got %v, want %v", i, err, ErrStoreUnreachable)
			}
			if took := time.Since(started); took > patience {
				t.Fatalf("the error was returned after %s", took)
			}
		}
		if got := f.store.Appends() - before; got > turns {
			t.Errorf("%d appends were tried for %d turns that were refused", got, turns)
		}
	})
}

func TestTurnsThatWaitForTheStoreGoOnAtItsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		s := f.service(daemonID(0, 1))
		begin(t, s, Turn{ID: "a", Program: "p", BudgetTokens: 1000, MaxTokens: 10})
		holder := f.holderOf("p")
		f.store.SetDown(true)
		var waiting sync.WaitGroup
		var returned time.Time
		for i, service := range []*Service{s, f.service(daemonID(1, 1)), f.service(daemonID(2, 1))} {
			waiting.Go(func() { // larger than the headroom
				if _, err := service.Begin(testContext(t), Turn{ID: fmt.Sprint("big-", i), Program: "p", BudgetTokens: 9000, MaxTokens: 600}); err != nil {
					t.Errorf("turn %d: %v", i, err)
				}
			})
		}
		waiting.Go(func() {
			kept := &KeptTurn{ID: "a", Input: []byte("in"), Output: []byte("out")}
			if err := s.End(testContext(t), Outcome{Turn: "a", Program: "p", UsedTokens: 10, Kept: kept}); err != nil {
				t.Errorf("the end of a turn: %v", err)
			}
		})
		time.Sleep(8 * time.Second)
		f.store.SetDown(false)
		returned = time.Now()
		waiting.Wait()
		if took := time.Since(returned); took > maxTryWait+100*time.Millisecond {
			t.Errorf("they continued %s after the store was back", took)
		}
		if now := f.holderOf("p"); now != holder {
			t.Errorf("the shard moved from the live holder %s to %s", holder, now)
		}
	})
}

func TestShortProgramsSurviveTheLossOfTheirHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		// Budgets are one and a half times the most of all turns, here two.
		turn := Turn{Program: "p", BudgetTokens: 300, MaxTokens: 100}
		for _, id := range []string{"one", "one again", "two"} {
			turn.ID = id
			begin(t, f.service(f.ids()[0]), turn)
			if id == "one" { // it is cut off
				f.killAll()
				f.start(daemonID(0, 2))
				continue
			}
			end(t, f.service(f.ids()[0]), Outcome{Turn: id, Program: "p", UsedTokens: 40})
		}
	})
}

func TestLostAnswersAreNotDoneTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		random := rand.New(rand.NewPCG(1, 2))
		var mutex sync.Mutex
		f.store.SetFault(func(store.Partition, store.Writer) memory.Fault {
			mutex.Lock()
			defer mutex.Unlock()
			if random.IntN(3) == 0 {
				return memory.FaultAnswerLost
			}
			return memory.FaultNone
		})
		s := f.service(daemonID(0, 1))
		for i := range 8 {
			id := fmt.Sprint("turn-", i)
			begin(t, s, Turn{ID: id, Program: "p", BudgetTokens: 80, MaxTokens: 10})
			end(t, s, Outcome{Turn: id, Program: "p", UsedTokens: 10})
		}
		refusedWith(t, s, Turn{ID: "more", Program: "p", BudgetTokens: 80, MaxTokens: 1}, ErrBudgetSpent)
	})
}

func TestAppendDoneLateChangesNothingAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		begin(t, s, Turn{ID: "a", Program: "p", BudgetTokens: 100, MaxTokens: 10})
		holder := f.holderOf("p")
		shard := s.shardOf("p")
		epoch := s.known.get(shard).Epoch
		f.store.SetFault(func(partition store.Partition, by store.Writer) memory.Fault {
			if partition.Number == shard && partition.Space == "ledger" && by.Epoch == epoch {
				return memory.FaultDelayed
			}
			return memory.FaultNone
		})
		// No other daemon learns of the turn, so that the holder's append is its only
		// trace.
		other := f.other("p")
		f.setDisconnected(other.Self, true)
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout/2)
		defer cancel()
		if _, err := f.service(holder).Begin(ctx, Turn{ID: "late", Program: "p", BudgetTokens: 100, MaxTokens: 80}); err == nil {
			t.Fatal("a turn was granted whose reservation was not acknowledged")
		}
		f.kill(holder)
		f.setDisconnected(other.Self, false)
		// Of 100, 10 are reserved and 45 were set aside; then 25 are reserved.
		begin(t, other, Turn{ID: "b", Program: "p", BudgetTokens: 100, MaxTokens: 25})
		f.store.ApplyDelayed()
		f.killAll()
		s = f.start(daemonID(0, 3))
		refusedWith(t, s, Turn{ID: "c", Program: "p", BudgetTokens: 100, MaxTokens: 21}, ErrBudgetSpent)
		begin(t, s, Turn{ID: "d", Program: "p", BudgetTokens: 100, MaxTokens: 20})
	})
}

func TestUnknownTurnIsReportedOnlyWhenConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		complete(t, s, "p", "one", "")
		refusedWith(t, s, Turn{ID: "x", Program: "p", Previous: "none"}, ErrUnknownTurn)
		f.store.SetDown(true)
		_, err := s.Begin(testContext(t), Turn{ID: "y", Program: "p", Previous: "none"})
		if !errors.Is(err, ErrUnavailable) {
			t.Errorf("while the store is down: got %v, want %v", err, ErrUnavailable)
		}
	})
}

func TestProgramGoesOnFromAnothersTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		s := f.service(daemonID(0, 1))
		complete(t, s, "first", "one", "")
		complete(t, s, "first", "two", "one")
		for i := range 2 * testShards {
			program := fmt.Sprint("later-", i)
			history := begin(t, s, Turn{ID: "t" + program, Program: program, Previous: "two"})
			if diff := cmp.Diff("in-one out-one in-two out-two ", history); diff != "" {
				t.Errorf("%s: history (-want +got):\n%s", program, diff)
			}
		}
	})
}

func TestMalformedRecordsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.service(daemonID(0, 1))
		partition := store.Partition{Space: "ledger", Number: s.shardOf("p")}
		err := f.store.Append(testContext(t), partition, store.Writer{}, []store.Record{
			{Key: accountPrefix + "p", Value: []byte("{")},
			{Key: turnPrefix + "one", Value: []byte(`{"input":9}` + "\nabc")},
			{Key: "other", Value: []byte("x")},
		})
		if err != nil {
			t.Fatal(err)
		}
		begin(t, s, Turn{ID: "a", Program: "p", BudgetTokens: 10, MaxTokens: 10})
		refusedWith(t, s, Turn{ID: "b", Program: "p", Previous: "one"}, ErrUnknownTurn)
	})
}

func TestMessagesWithoutContentAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.service(daemonID(0, 1))
		for _, request := range []Request{{Shard: -1}, {Shard: testShards}, {Shard: 0}} {
			answers := make(chan Response, 1)
			s.dispatch(&request, func(response Response) { answers <- response })
			if got := (<-answers).Result; got != resultMoved {
				t.Errorf("%+v: got %q", request, got)
			}
		}
	})
}

// inAnotherShard returns a program whose shard differs from that of another program.
func inAnotherShard(s *Service, than string) string {
	for i := 0; ; i++ {
		if program := fmt.Sprint("far-", i); s.shardOf(program) != s.shardOf(than) {
			return program
		}
	}
}

func TestTurnOfAnotherShardIsKeptWithTheTurnThatGoesOnFromIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		complete(t, s, "p", "one", "")
		program := inAnotherShard(s, "p")
		complete(t, s, program, "own", "")
		holder := f.holderOf(program)
		other := f.other(program)
		partition := store.Partition{Space: "ledger", Number: s.shardOf(program)}
		var appends atomic.Int64
		f.store.SetFault(func(to store.Partition, _ store.Writer) memory.Fault {
			if to == partition && appends.Add(1) > 1 {
				return memory.FaultRefused
			}
			return memory.FaultNone
		})
		// The holder confirms that it has no turn "one", gets a copy that it cannot append,
		// grants the turn from headroom and dies.
		turn := Turn{ID: "two", Program: program, BudgetTokens: 1000, MaxTokens: 10, Previous: "one"}
		begin(t, f.service(holder), turn)
		f.kill(holder)
		f.store.SetFault(nil)
		end(t, other, Outcome{Turn: "two", Program: program, UsedTokens: 5, Kept: &KeptTurn{
			ID: "two", Previous: "one", Input: []byte("in-two "), Output: []byte("out-two "),
		}})
		history := begin(t, other, Turn{ID: "three", Program: program, BudgetTokens: 1000, MaxTokens: 10, Previous: "two"})
		if diff := cmp.Diff("in-one out-one in-two out-two ", history); diff != "" {
			t.Errorf("history (-want +got):\n%s", diff)
		}
	})
}

func TestTurnThatEndsAtAHolderWithoutItsChainBringsItAlong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		complete(t, s, "p", "one", "")
		program := inAnotherShard(s, "p")
		// The holder that granted turn "two" from headroom died with its copy of "one".
		end(t, s, Outcome{Turn: "two", Program: program, UsedTokens: 5, Kept: &KeptTurn{
			ID: "two", Previous: "one", Input: []byte("in-two "), Output: []byte("out-two "),
		}})
		history := begin(t, s, Turn{ID: "three", Program: program, BudgetTokens: 1000, MaxTokens: 10, Previous: "two"})
		if diff := cmp.Diff("in-one out-one in-two out-two ", history); diff != "" {
			t.Errorf("history (-want +got):\n%s", diff)
		}
	})
}

func TestTurnWhoseChainIsGoneIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(daemonID(0, 1))
		err := s.End(testContext(t), Outcome{Turn: "two", Program: "p", Kept: &KeptTurn{ID: "two", Previous: "none"}})
		if !errors.Is(err, ErrUnknownTurn) {
			t.Errorf("got %v, want %v", err, ErrUnknownTurn)
		}
		refusedWith(t, s, Turn{ID: "three", Program: "p", Previous: "two"}, ErrUnknownTurn)
	})
}

func TestSessionsInstanceIsKnownAfterAllDaemonsWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		s := f.service(daemonID(0, 1))
		instanceOf := func(s *Service, id, session string) string {
			t.Helper()
			var got string
			eventually(t, func() error {
				grant, err := s.Begin(testContext(t), Turn{ID: id, Program: "p", Session: session, BudgetTokens: 1000, MaxTokens: 10, Retention: time.Minute})
				got = grant.Instance
				return err
			})
			return got
		}
		if got := instanceOf(s, "a", "main"); got != "" {
			t.Errorf("a first turn is bound to %q", got)
		}
		end(t, s, Outcome{Turn: "a", Program: "p", Session: "main", Instance: "i-1", UsedTokens: 5})
		if got := instanceOf(s, "b", "helper"); got != "i-1" {
			t.Errorf("a sub-agent begins at %q, want its parent's i-1", got)
		}
		end(t, s, Outcome{Turn: "b", Program: "p", Session: "helper", Instance: "i-2", UsedTokens: 5})
		f.killAll()
		s = f.start(daemonID(0, 2))
		f.start(daemonID(1, 2))
		if got := instanceOf(s, "c", "main"); got != "i-1" {
			t.Errorf("the session continues at %q, want i-1", got)
		}
		if got := instanceOf(s, "d", "helper"); got != "i-2" {
			t.Errorf("the sub-agent continues at %q, want i-2", got)
		}
		for i := range 3 * instancesLimit {
			id := fmt.Sprint("many-", i)
			instanceOf(s, id, id)
			end(t, s, Outcome{Turn: id, Program: "p", Session: id, Instance: "i-3", UsedTokens: 0})
		}
		holder := f.service(f.holderOf("p"))
		if got := len(holder.holders[holder.shardOf("p")].state.accounts["p"].Instances); got > instancesLimit {
			t.Errorf("%d sessions' instances are remembered, want %d at most", got, instancesLimit)
		}
	})
}
