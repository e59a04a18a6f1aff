package ledger

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// testBounds leave room for 1,000 bytes of text in a record.
var testBounds = store.Bounds{RecordBytes: maxTurnOverhead + 1000, CallBytes: 2 * (maxTurnOverhead + 1000)}

// newBoundedFleet returns a fleet whose store takes testBounds in one append.
func newBoundedFleet(t *testing.T, daemons int, storeOf func(f *testFleet, id structs.DaemonID) store.Store) *testFleet {
	t.Helper()
	f := newTestFleet(t, 0)
	f.bounds = testBounds
	f.store.SetBounds(testBounds)
	if storeOf != nil {
		f.storeOf = func(id structs.DaemonID) store.Store { return storeOf(f, id) }
	}
	for i := range daemons {
		f.start(daemonID(i, 1))
	}
	return f
}

// completeLong runs a turn that is kept and has a long text, and returns that.
func completeLong(t *testing.T, s *Service, program, id, previous string, bytes int) (text string) {
	t.Helper()
	text = strings.Repeat(id, bytes/len(id)+1)[:bytes]
	begin(t, s, Turn{ID: id, Program: program, MaxTokens: 10, BudgetTokens: 1000, Previous: previous, Retention: time.Minute})
	end(t, s, Outcome{Turn: id, Program: program, UsedTokens: 5, Retention: time.Minute, Kept: &KeptTurn{
		ID: id, Previous: previous, Input: []byte(text[:bytes/2]), Output: []byte(text[bytes/2:]),
	}})
	return text
}

// Guards against a turn that is larger than a record of the store, and stops its shard for all programs.
func TestTurnLargerThanARecordIsKeptWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBoundedFleet(t, 2, nil)
		s := f.service(daemonID(0, 1))
		names := programsOfOneShard(s, 3)
		history := ""
		for i, bytes := range []int{999, 1000, 1001, 2000, 10_500} {
			id, previous := fmt.Sprint("turn-", i), ""
			if i > 0 {
				previous = fmt.Sprint("turn-", i-1)
			}
			history += completeLong(t, s, names[0], id, previous, bytes)
		}
		completeLong(t, s, names[1], "beside", "", 10)
		f.kill(f.holderOf(names[0]))
		s = f.start(daemonID(5, 2))
		if got := begin(t, s, Turn{ID: "last", Program: names[0], MaxTokens: 10, BudgetTokens: 1000, Previous: "turn-4"}); got != history {
			t.Errorf("a successor has a history of %d bytes, want %d", len(got), len(history))
		}
		begin(t, s, Turn{ID: "later", Program: names[2], MaxTokens: 10, BudgetTokens: 1000, Previous: "beside"})
	})
}

// A chain that goes on in a program of another shard is copied there as one turn.
func TestChainLargerThanARecordGoesOnInAnotherShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newBoundedFleet(t, 2, nil)
		s := f.service(daemonID(0, 1))
		program := programsOfOneShard(s, 1)[0]
		history, previous := "", ""
		for i := range 5 {
			id := fmt.Sprint("turn-", i)
			history += completeLong(t, s, program, id, previous, 900)
			previous = id
		}
		elsewhere := "elsewhere"
		for i := 0; s.shardOf(elsewhere) == s.shardOf(program); i++ {
			elsewhere = fmt.Sprint("elsewhere-", i)
		}
		history += completeLong(t, s, elsewhere, "further", previous, 10)
		f.killAll()
		s = f.start(daemonID(5, 2))
		if got := begin(t, s, Turn{ID: "last", Program: elsewhere, MaxTokens: 10, BudgetTokens: 1000, Previous: "further"}); got != history {
			t.Errorf("a history of %d bytes, want %d", len(got), len(history))
		}
	})
}

// outageStore is a daemon's access to a store that is out for all, and after that takes some calls of
// one daemon and then loses all others of it.
type outageStore struct {
	store.Store
	outage *outage
	daemon structs.DaemonID
}

type outage struct {
	isOut atomic.Bool
	// victim is the daemon whose calls are lost after some; left is how many are not.
	victim structs.DaemonID
	left   atomic.Int64
	// calls counts the appends of the victim that were made after the outage.
	calls atomic.Int64
}

// Append implements store.Store.
func (s *outageStore) Append(ctx context.Context, partition store.Partition, writer store.Writer, records []store.Record) error {
	if s.outage.isOut.Load() {
		return store.ErrUnavailable
	}
	if s.daemon == s.outage.victim && partition.Space == "ledger" {
		s.outage.calls.Add(1)
		if s.outage.left.Add(-1) < 0 {
			<-ctx.Done()
			return store.ErrOutcomeUnknown
		}
	}
	return s.Store.Append(ctx, partition, writer, records)
}

// playBacklog lets programs of one shard end turns while the store is out. When it is back, the holder
// makes a number of calls and dies; -1 lets it live. It returns how many calls it made.
func playBacklog(t *testing.T, calls int) (made int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const programs, budget, most = 8, 100, 20
		o := &outage{}
		f := newBoundedFleet(t, 3, func(f *testFleet, id structs.DaemonID) store.Store {
			return &outageStore{Store: &testStore{Store: f.store, fleet: f}, outage: o, daemon: id}
		})
		names := programsOfOneShard(f.service(daemonID(0, 1)), programs)
		for _, name := range names {
			useProgram(t, f.service(daemonID(0, 1)), name, "first-"+name, time.Minute)
		}
		time.Sleep(5 * time.Second)
		holder := f.holderOf(names[0])
		caller := f.other(names[0])
		o.victim = holder
		o.isOut.Store(true)
		var callers sync.WaitGroup
		for _, name := range names {
			begin(t, caller, Turn{ID: "turn-" + name, Program: name, BudgetTokens: budget, MaxTokens: most, Retention: time.Minute})
			callers.Go(func() {
				kept := &KeptTurn{ID: "turn-" + name, Input: []byte(strings.Repeat("x", 1500)), Output: []byte(name)}
				end(t, caller, Outcome{Turn: "turn-" + name, Program: name, UsedTokens: most, Retention: time.Minute, Kept: kept})
			})
		}
		time.Sleep(2 * time.Second)
		o.left.Store(1 << 40)
		if calls >= 0 {
			o.left.Store(int64(calls))
		}
		o.isOut.Store(false)
		time.Sleep(1500 * time.Millisecond)
		made = o.calls.Load()
		if calls >= 0 {
			f.kill(holder)
		}
		callers.Wait()
		for _, name := range names {
			want := strings.Repeat("x", 1500) + name
			granted := int64(0)
			for i := 0; ; i++ {
				turn := Turn{ID: fmt.Sprint("after-", i, name), Program: name, BudgetTokens: budget, MaxTokens: most, Previous: "turn-" + name, Retention: time.Minute}
				grant, err := caller.Begin(testContext(t), turn)
				if err != nil {
					break
				}
				if string(grant.History) != want {
					t.Errorf("after %d calls: program %s has a history of %d bytes, want %d", calls, name, len(grant.History), len(want))
				}
				granted += most
			}
			// The first turn used a token, the one in the outage all of its tokens.
			if granted == 0 || granted > budget-1 {
				t.Errorf("after %d calls: program %s was granted %d more tokens", calls, name, granted)
			}
			if spent := granted + most + 1; spent > budget+most {
				t.Errorf("after %d calls: program %s has %d tokens in all, its budget is %d", calls, name, spent, budget)
			}
		}
	})
	return made
}

// Guards against a backlog beyond what the store takes in one call: the call was refused and repeated
// for ever. The holder dies at each boundary between two calls.
func TestBacklogLargerThanACallIsAppended(t *testing.T) {
	made := playBacklog(t, -1)
	if made < 4 {
		t.Fatalf("the backlog was appended in %d calls, want more", made)
	}
	for calls := range int(made) {
		playBacklog(t, calls)
	}
}

// Guards against a call that is repeated for ever although the store never takes it.
func TestRejectedAppendDoesNotStopItsShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.store.SetBounds(testBounds) // of which the daemons know nothing
		s := f.service(daemonID(0, 1))
		names := programsOfOneShard(s, 2)
		completeLong(t, s, names[0], "one", "", 10)
		begin(t, s, Turn{ID: "large", Program: names[0], MaxTokens: 10, BudgetTokens: 1000, Retention: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := s.End(ctx, Outcome{Turn: "large", Program: names[0], Kept: &KeptTurn{ID: "large", Input: make([]byte, 1<<20)}}); err == nil {
			t.Error("a turn is kept that the store rejects")
		}
		completeLong(t, s, names[1], "beside", "", 10)
		completeLong(t, s, names[0], "two", "one", 10)
	})
}

// Guards against a budget that starts over because a successor finds that the allowance was returned, but
// not the account of a program that began from it.
func TestEachPartOfAReleaseCoversWhatWasGranted(t *testing.T) {
	const budget, most = 100, 10
	now := time.Now()
	s, records := newState(now), recordedShard{}
	s.openAllowance(holderRecord{Epoch: 1}, nil, now)
	s.coverRetention(time.Minute)
	records.append(t, s)
	s.confirmAllowance(now)
	now = now.Add(singleTurnPeriod + time.Second)
	takeTurns := func(s *state, prefix string, isGranted func(Turn) bool) (tokens int64) {
		for i := range budget {
			turn := Turn{ID: fmt.Sprint(prefix, i), Program: "p", BudgetTokens: budget, MaxTokens: most, Retention: time.Minute}
			if _, outcome := s.begin(turn, now); outcome != resultOK || !isGranted(turn) {
				break
			}
			tokens += most
		}
		return tokens
	}
	before := takeTurns(s, "before-", func(turn Turn) bool { return s.takeHeadroom(turn, now) })
	if before < 2*most {
		t.Fatalf("%d tokens were granted from the allowance, want some turns", before)
	}
	s.returnHeadroom()
	changes, err := s.takeDirty()
	if err != nil {
		t.Fatal(err)
	}
	for part := range len(changes) + 1 {
		found := maps.Clone(records)
		for _, change := range changes[:part] {
			found[change.Key] = change.Value
		}
		next := found.takeOver(t, false, now)
		next.forfeitHeadroom()
		next.openAllowance(holderRecord{Epoch: 2}, nil, now)
		after := takeTurns(next, "after-", func(Turn) bool { return true })
		if before+after > budget+most {
			t.Errorf("with %d of %d records: %d and %d tokens are granted, the budget is %d", part, len(changes), before, after, budget)
		}
	}
}

// What waits for the store in an outage of a minute is appended once it is back, in as many calls as its
// bytes need, and all ends that waited are answered.
func TestBacklogOfAMinuteIsAppendedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const programs, textBytes = 120, 26_000
		o := &outage{}
		f := newTestFleet(t, 0)
		f.bounds = store.Bounds{RecordBytes: 256 << 10, CallBytes: 2 << 20}
		f.store.SetBounds(f.bounds)
		f.storeOf = func(id structs.DaemonID) store.Store {
			return &outageStore{Store: &testStore{Store: f.store, fleet: f}, outage: o, daemon: id}
		}
		for i := range 2 {
			f.start(daemonID(i, 1))
		}
		s := f.service(daemonID(0, 1))
		names := programsOfOneShard(s, programs)
		for _, name := range names {
			useProgram(t, s, name, "first-"+name, 3*time.Minute)
		}
		time.Sleep(5 * time.Second)
		o.victim = f.holderOf(names[0])
		o.left.Store(1 << 40)
		o.isOut.Store(true)
		var callers sync.WaitGroup
		var ended atomic.Int64
		for _, name := range names {
			begin(t, s, Turn{ID: "turn-" + name, Program: name, BudgetTokens: 100, MaxTokens: 20, Retention: 3 * time.Minute})
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				kept := &KeptTurn{ID: "turn-" + name, Input: make([]byte, textBytes)}
				if err := s.End(ctx, Outcome{Turn: "turn-" + name, Program: name, UsedTokens: 20, Retention: 3 * time.Minute, Kept: kept}); err != nil {
					t.Error(err)
				}
				ended.Add(1)
			})
		}
		time.Sleep(time.Minute)
		if ended.Load() > 0 {
			t.Fatalf("%d turns are recorded although the store is out", ended.Load())
		}
		o.isOut.Store(false)
		back := time.Now()
		callers.Wait()
		took, calls := time.Since(back), o.calls.Load()
		t.Logf("%d bytes were appended in %d calls, %s after the store was back", programs*textBytes, calls, took)
		if least := int64(programs*textBytes) / int64(f.bounds.CallBytes); calls > 2*least+4 {
			t.Errorf("%d calls, want some %d", calls, least)
		}
		if took > 2*time.Second {
			t.Errorf("the ends were recorded %s after the store was back", took)
		}
		begin(t, s, Turn{ID: "next", Program: names[0], Previous: "turn-" + names[0], BudgetTokens: 100, MaxTokens: 20, Retention: 3 * time.Minute})
	})
}
