package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// A rolling shutdown: two fifths of the daemons are stopped one after the other, several at
// a time. See docs/incidents/answers-cut-under-rolling-stop.md.
const (
	rollingDaemons = 20
	rollingStops   = 8
	rollingPause   = 270 * time.Millisecond
	// rollingPrograms is the number of programs that run turns all the time, at every
	// shard.
	rollingPrograms = 16
	// rollingStopTime is how long a daemon takes to stop, and rollingRestart how long until
	// it runs again.
	rollingStopTime = 4 * time.Second
	rollingRestart  = time.Second
	// rollingCallers is how long a stopping daemon keeps receiving requests.
	rollingCallers = 1500 * time.Millisecond
	// rollingHistory is the number of records in each shard, and rollingReadTime how long
	// it takes to read one on a small machine.
	rollingHistory  = 2000
	rollingReadTime = 500 * time.Microsecond
	// callersPatience is how long the callers of a stream wait without data before they
	// leave, and longestWithoutHolder the most that they should wait for a record.
	callersPatience      = 2 * time.Second
	longestWithoutHolder = 300 * time.Millisecond
)

// recordWaits are the waits that callers observed.
type recordWaits struct {
	mutex   sync.Mutex
	calls   int
	cut     int
	longest time.Duration
}

func (w *recordWaits) note(took time.Duration, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls++
	w.longest = max(w.longest, took)
	if err != nil {
		w.cut++
	}
}

// rollingFleet is a fleet whose daemons stop one after the other.
type rollingFleet struct {
	*testFleet
	mutex   sync.Mutex
	random  *rand.Rand
	callers []structs.DaemonID
}

func newRollingFleet(t *testing.T, seed uint64) *rollingFleet {
	f := &rollingFleet{testFleet: newTestFleet(t, rollingDaemons), random: rand.New(rand.NewPCG(seed, 1))}
	f.callers = f.ids()
	f.store.SetDelay(4 * time.Millisecond)
	return f
}

// caller returns a daemon that receives requests.
func (f *rollingFleet) caller() *Service {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.service(f.callers[f.random.IntN(len(f.callers))])
}

func (f *rollingFleet) setCalled(id structs.DaemonID, called bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var callers []structs.DaemonID
	for _, other := range f.callers {
		if other != id {
			callers = append(callers, other)
		}
	}
	if called {
		callers = append(callers, id)
	}
	f.callers = callers
}

// stopAndRestart performs the planned shutdown of one daemon.
func (f *rollingFleet) stopAndRestart(number int) {
	id := daemonID(number, 1)
	f.leave(id)
	time.Sleep(rollingCallers)
	f.setCalled(id, false)
	time.Sleep(rollingStopTime - rollingCallers)
	f.kill(id)
	time.Sleep(rollingRestart)
	f.start(daemonID(number, 2))
	f.setCalled(daemonID(number, 2), true)
}

// fillHistory writes records of kept turns to each shard.
func (f *rollingFleet) fillHistory(t *testing.T) {
	for shard := range testShards {
		var records []store.Record
		for i := range rollingHistory {
			value, err := encodeTurn(&turnEntry{KeptTurn: KeptTurn{Input: []byte("old")}, RetentionMS: 60_000})
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, store.Record{Key: fmt.Sprint(turnPrefix, "old-", i), Value: value})
		}
		partition := store.Partition{Space: "ledger", Number: shard}
		if err := f.store.Append(testContext(t), partition, store.Writer{}, records); err != nil {
			t.Fatal(err)
		}
	}
}

// takeTurns runs turns of a program until stop is closed.
func (f *rollingFleet) takeTurns(program string, waits *recordWaits, stop <-chan struct{}) {
	for i := 0; !isClosed(stop); i++ {
		id := fmt.Sprint(program, "-", i)
		turn := Turn{ID: id, Program: program, Retention: time.Minute, MaxTokens: 10, BudgetTokens: 1_000_000}
		waits.time(func(ctx context.Context) error { return beginInTime(ctx, f.caller(), turn) })
		kept := &KeptTurn{ID: id, Input: []byte("in")}
		waits.time(func(ctx context.Context) error {
			return f.caller().End(ctx, Outcome{Turn: id, Program: program, Kept: kept})
		})
		time.Sleep(20 * time.Millisecond)
	}
}

// beginInTime tries to begin a turn until it is granted or ctx ends.
func beginInTime(ctx context.Context, s *Service, turn Turn) error {
	for {
		_, err := s.Begin(ctx, turn)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// time makes a call with the time limit of a caller, and records its duration and error.
func (w *recordWaits) time(call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), callersPatience)
	defer cancel()
	started := time.Now()
	err := call(ctx)
	w.note(time.Since(started), err)
}

// TestLongHistoryIsReadToItsEnd: a takeover that makes progress is neither canceled nor
// superseded by another daemon's, however long it takes.
func TestLongHistoryIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 22)
		f.fillHistory(t)
		begin(t, f.caller(), Turn{ID: "first", Program: "p"})
		former := f.holderOf("p")
		f.setReadTime(2500 * time.Microsecond) // 1.25 s per page, 5 s in total
		f.setCalled(former, false)
		f.kill(former)
		directory := store.Partition{Space: "holders"}
		_, before, err := store.Newest(testContext(t), f.store, directory)
		if err != nil {
			t.Fatal(err)
		}
		var callers sync.WaitGroup
		for i := range rollingPrograms {
			callers.Go(func() { begin(t, f.caller(), Turn{ID: fmt.Sprint("later-", i), Program: "p"}) })
		}
		callers.Wait()
		_, after, err := store.Newest(testContext(t), f.store, directory)
		if err != nil {
			t.Fatal(err)
		}
		if claims := after - before; claims != 1 {
			t.Errorf("%d claims of one shard, want 1", claims)
		}
	})
}

// playRollingStop stops daemons one after the other while programs run turns at all shards,
// and returns what callers observed.
func playRollingStop(t *testing.T, seed uint64, daemons int) *recordWaits {
	f := newRollingFleet(t, seed)
	f.fillHistory(t)
	for i := range rollingPrograms { // each shard has a holder before the shutdowns
		begin(t, f.caller(), Turn{ID: fmt.Sprint("first-", i), Program: fmt.Sprint("program-", i)})
	}
	f.setReadTime(rollingReadTime)
	waits := &recordWaits{}
	stop := make(chan struct{})
	var callers, stops sync.WaitGroup
	for i := range rollingPrograms {
		callers.Go(func() { f.takeTurns(fmt.Sprint("program-", i), waits, stop) })
	}
	for number := range daemons {
		stops.Go(func() { f.stopAndRestart(number) })
		time.Sleep(rollingPause)
	}
	stops.Wait()
	close(stop)
	callers.Wait()
	return waits
}

// TestRollingStopOfMostDaemonsCutsNoAnswer: with four fifths of the daemons, some
// successors are stopping too, and some callers know no holder.
func TestRollingStopOfMostDaemonsCutsNoAnswer(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			waits := playRollingStop(t, seed, 2*rollingStops)
			if waits.cut > 0 {
				t.Errorf("seed %d: %d of %d calls were cut, the longest took %s", seed, waits.cut, waits.calls, waits.longest)
			}
		})
	}
}

// TestRollingStopLeavesNoShardWithoutHolder: during planned shutdowns no answer may be cut
// off, and no record may be out of reach for long.
func TestRollingStopLeavesNoShardWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waits := playRollingStop(t, 22, rollingStops)
		t.Logf("%d calls, the longest took %s, %d were cut", waits.calls, waits.longest, waits.cut)
		if waits.cut > 0 || waits.longest > longestWithoutHolder {
			t.Errorf("%d of %d calls were cut, the longest took %s; want none, and at most %s",
				waits.cut, waits.calls, waits.longest, longestWithoutHolder)
		}
	})
}
