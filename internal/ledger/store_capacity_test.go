package ledger

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/storecapacity"
)

// These tests guard against a load that fills the store: then no answer can be recorded, no
// record dropped and no shard claimed, and service does not resume when the load ends.

const (
	// loadTurns is the number of turns of a program, each with loadText bytes.
	loadTurns = 4
	loadText  = 8000
	// loadRetention is the retention of all turns, and loadPause the pause between turns of
	// a program.
	loadRetention = time.Minute
	loadPause     = time.Second
	// usualPrograms is the number of programs that begin each second. heavyFactor times as
	// many write twice what the store holds.
	usualPrograms = 6
	heavyFactor   = 3
	// loadedCapacity is 1.6 times the usage under the usual load: 24 turns a second of
	// 8,500 bytes with their programs' accounts, newest for 70 s and as history for 10 s.
	loadedCapacity = 26_000_000
)

// programLoad is a load of programs, with the outcomes by the second in which they began.
type programLoad struct {
	fleet   *testFleet
	started time.Time
	callers sync.WaitGroup
	mutex   sync.Mutex
	// ended counts programs all of whose turns were served, refused those whose first turn
	// was not granted, and broken those that were admitted and did not end.
	ended, refused, broken map[int]int
	next                   atomic.Int64
}

func newProgramLoad(f *testFleet) *programLoad {
	return &programLoad{fleet: f, started: time.Now(), ended: map[int]int{}, refused: map[int]int{}, broken: map[int]int{}}
}

// run starts a number of programs per second for a while.
func (l *programLoad) run(length time.Duration, perSecond int) {
	for started := time.Now(); time.Since(started) < length; {
		l.callers.Go(l.program)
		time.Sleep(time.Duration(float64(time.Second) / float64(perSecond)))
	}
}

// program runs one program, with a caller's time limit for each turn.
func (l *programLoad) program() {
	second := int(time.Since(l.started) / time.Second)
	name := fmt.Sprint("program-", l.next.Add(1))
	outcome := l.ended
	previous := ""
	for turn := range loadTurns {
		id := fmt.Sprint(name, "-", turn)
		if !l.turn(name, id, previous) {
			outcome = l.broken
			if turn == 0 {
				outcome = l.refused
			}
			break
		}
		previous = id
		time.Sleep(loadPause)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	outcome[second]++
}

// turn runs one turn; false if it was not served.
func (l *programLoad) turn(program, id, previous string) bool {
	ids := l.fleet.ids()
	if len(ids) == 0 {
		return false
	}
	s := l.fleet.service(ids[rand.IntN(len(ids))])
	if s == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := s.Begin(ctx, Turn{ID: id, Program: program, Previous: previous, MaxTokens: 10, BudgetTokens: 100, Retention: loadRetention}); err != nil {
		s.Abandon(Turn{ID: id, Program: program})
		return false
	}
	kept := &KeptTurn{ID: id, Previous: previous, Input: bytes.Repeat([]byte("x"), loadText)}
	return s.End(ctx, Outcome{Turn: id, Program: program, Retention: loadRetention, UsedTokens: 1, Kept: kept}) == nil
}

// wait waits until all programs have ended and their abandoned turns are settled, as
// nothing may run on after the test.
func (l *programLoad) wait() {
	l.callers.Wait()
	time.Sleep(endedTurnTTL)
}

// count sums an outcome over the seconds from one time to another.
func (l *programLoad) count(outcome map[int]int, from, to time.Duration) (count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		count += outcome[second]
	}
	return count
}

// TestLoadThatKeepsMoreThanTheStoreHolds: programs that do not fit are refused at their
// first turn. The store never fills, admitted programs end, as much is served as the store
// can keep, and the usual load is served as soon as it is back, even after the loss of all
// daemons.
func TestLoadThatKeepsMoreThanTheStoreHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual, heavy, back, lost = 4 * time.Second, 70 * time.Second, 80 * time.Second, 100 * time.Second
		f := newTestFleet(t, 3)
		f.shards = 8
		f.storeBytes = loadedCapacity
		f.killAll()
		for i := range 3 {
			f.start(daemonID(i, 2))
		}
		f.store.SetCapacity(loadedCapacity)
		l := newProgramLoad(f)
		l.run(usual, usualPrograms)
		l.run(heavy-usual, heavyFactor*usualPrograms)
		l.run(back-heavy, usualPrograms)
		l.callers.Wait()
		f.killAll()
		for i := range 3 {
			f.start(daemonID(i, 3))
		}
		resumed := time.Since(l.started)
		l.run(lost-back, usualPrograms)
		l.wait()

		if full := f.store.FullRefusals(); full > 0 {
			t.Errorf("%d appends found the store full", full)
		}
		if broken := l.count(l.broken, 0, back); broken > 0 {
			t.Errorf("%d admitted programs did not end", broken)
		}
		first, last := l.count(l.ended, usual, 40*time.Second), l.count(l.ended, 40*time.Second, heavy)
		const halfBest = (heavy - 40*time.Second) / time.Second * loadedCapacity * 9 / 10 / 70 / (loadTurns*(loadText+turnHeaderBytes) + accountBytes)
		if last < int(halfBest)*2/3 {
			t.Errorf("%d programs ended in the second half of the heavy load, the store could keep %d", last, halfBest)
		}
		for from := usual + time.Second; from+5*time.Second <= heavy; from += time.Second {
			if ended := l.count(l.ended, from, from+5*time.Second); ended < 5*usualPrograms {
				t.Errorf("%d programs ended of those that began from %s on for 5 s, less than of the usual load", ended, from)
			}
		}
		if refused := l.count(l.refused, heavy+5*time.Second, back); refused > 0 {
			t.Errorf("%d programs were refused more than 5 s after the load was the usual again", refused)
		}
		if served := l.count(l.ended, resumed+2*time.Second, lost); served < 9*usualPrograms*int((lost-resumed)/time.Second-3)/10 {
			t.Errorf("%d programs ended of those that began 2 s after all daemons were back", served)
		}
		t.Logf("%d and %d programs ended in the halves of the heavy load", first, last)
		t.Logf("ended %v, refused %v, broken %v", l.ended, l.refused, l.broken)
	})
}

// TestShardIsClaimedFromAFullStore: after the loss of all daemons, a daemon makes room in a
// full store by trimming history, which needs no claim, and serves.
func TestShardIsClaimedFromAFullStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.service(f.ids()[0])
		text := bytes.Repeat([]byte("x"), loadText)
		previous := ""
		for turn := range 100 {
			id := fmt.Sprint("turn-", turn)
			begin(t, s, Turn{ID: id, Program: "p", Retention: time.Minute, Previous: previous})
			end(t, s, Outcome{Turn: id, Program: "p", Kept: &KeptTurn{ID: id, Previous: previous, Input: text}})
			previous = id
		}
		f.killAll()
		f.store.SetCapacity(150 * loadText) // the newest records fit, and half of the history does not
		s = f.start(daemonID(0, 2))
		asked := time.Now()
		begin(t, s, Turn{ID: "last", Program: "p", Retention: time.Minute, Previous: previous})
		end(t, s, Outcome{Turn: "last", Program: "p", Kept: &KeptTurn{ID: "last", Previous: previous, Input: text}})
		if took := time.Since(asked); took > 2*time.Second {
			t.Errorf("served after %s", took)
		}
	})
}

// TestBoundIsLearnedFromAStoreThatIsFullBelowIt: the store holds less than configured.
func TestBoundIsLearnedFromAStoreThatIsFullBelowIt(t *testing.T) {
	capacity := newStoreCapacity(Options{StoreBytes: 1000, Partitions: make([]store.Partition, 1), Metrics: NewMetrics(prometheus.NewRegistry())})
	now := time.Now()
	capacity.note(0, profileOf(100), now)
	if plan := capacity.plan(now); plan.IsCrowded {
		t.Errorf("crowded before: %+v", plan)
	}
	capacity.noteStoreFull(now)
	if bound := capacity.boundAt(now); bound != 98 {
		t.Errorf("bound %v", bound)
	}
	if plan := capacity.plan(now.Add(planInterval)); !plan.IsExhausted {
		t.Errorf("more may be kept: %+v", plan)
	}
	capacity.note(0, profileOf(400), now.Add(time.Second)) // a higher usage must not raise the bound
	capacity.noteStoreFull(now.Add(time.Second))
	if bound := capacity.boundAt(now.Add(time.Second)); bound != 98 {
		t.Errorf("bound %v", bound)
	}
	if bound := capacity.boundAt(now.Add(learnedBoundTTL)); bound != 1000 {
		t.Errorf("bound %v after what was kept then has expired", bound)
	}
}

// profileOf returns a profile of bytes that expire in half a minute.
func profileOf(bytes int64) storecapacity.Profile {
	profile := storecapacity.Profile{RetentionMS: 30_000}
	profile.Add(bytes, 30*time.Second)
	return profile
}

// TestShardReportsItsUsage: it reports all records, also after a takeover, until they
// expire.
func TestShardReportsItsUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		fill := func(s *Service, run string) {
			for turn := range 20 {
				id := fmt.Sprint(run, turn)
				begin(t, s, Turn{ID: id, Program: id, Retention: loadRetention})
				end(t, s, Outcome{Turn: id, Program: id, Kept: &KeptTurn{ID: id, Input: bytes.Repeat([]byte("x"), loadText)}})
			}
		}
		mustKeep := func(s *Service, turns int64) {
			t.Helper()
			time.Sleep(time.Second) // texts are read after a claim
			told := make(chan int64)
			sum := int64(0)
			for _, h := range s.holders {
				h.post(t.Context(), func(context.Context) {
					h.state.expire(time.Now(), expireLimit)
					h.reportCapacity(time.Now())
					told <- h.sizes.turns
				})
				sum += <-told
			}
			if want := turns * (loadText + turnHeaderBytes); sum != want {
				t.Errorf("%d bytes, want %d", sum, want)
			}
		}
		s := f.service(f.ids()[0])
		fill(s, "first")
		mustKeep(s, 20)
		f.killAll()
		s = f.start(daemonID(0, 2))
		fill(s, "second")
		mustKeep(s, 40)
		time.Sleep(loadRetention + RetentionMargin)
		fill(s, "third")
		mustKeep(s, 20)
	})
}

// TestHeavyLoadIsServedThroughALossOfAll: at twice the usual load, in a fleet in which each
// daemon receives reports of few shards, a loss of all daemons must not be followed by
// seconds in which hardly any program is admitted.
func TestHeavyLoadIsServedThroughALossOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			fleet, scale = 48, 4 // relative to the other tests' store and load
			lost, end    = 36 * time.Second, 70 * time.Second
		)
		f := newTestFleet(t, 1)
		f.shards = fleet
		f.storeBytes = scale * loadedCapacity
		f.store.SetCapacity(scale * loadedCapacity)
		f.killAll()
		startAll := func(run uint64) {
			for i := range fleet {
				f.start(daemonID(i, run))
			}
		}
		startAll(2)
		l := newProgramLoad(f)
		l.run(lost, 2*scale*usualPrograms)
		f.killAll()
		startAll(3)
		l.run(end-lost, 2*scale*usualPrograms)
		l.wait()
		for from := lost + 2*time.Second; from+5*time.Second <= end; from += time.Second {
			if ended := l.count(l.ended, from, from+5*time.Second); ended < 5*scale*usualPrograms*2/3 {
				t.Errorf("%d programs ended of those that began from %s on for 5 s, of the usual load it would be %d", ended, from, 5*scale*usualPrograms)
			}
		}
		if full := f.store.FullRefusals(); full > 0 {
			t.Errorf("%d appends found the store full", full)
		}
		t.Logf("ended %v, refused %v, broken %v", l.ended, l.refused, l.broken)
	})
}
