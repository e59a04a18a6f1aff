package ledger

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// shortDay is longer than all retentions, and tenDays ten times as long.
	shortDay = 3 * time.Minute
	tenDays  = 10 * shortDay
	// restartPause separates the restarts of a long day, each of the next daemon, and
	// longPrograms begin each second.
	restartPause = 20 * time.Second
	longPrograms = 2
)

// keptOf is what a fleet keeps, by name.
func (f *testFleet) keptOf() map[string]int {
	kept := map[string]int{"store": f.store.StoredBytes(), "goroutines": runtime.NumGoroutine()}
	for _, id := range f.ids() {
		s := f.service(id)
		s.avoided.mutex.Lock()
		kept["bad news"] += len(s.avoided.shards) + len(s.avoided.daemons)
		s.avoided.mutex.Unlock()
		s.texts.mutex.Lock()
		kept["texts"] += s.texts.bytes
		s.texts.mutex.Unlock()
		s.troubles.mutex.Lock()
		kept["troubles"] += len(s.troubles.shards)
		s.troubles.mutex.Unlock()
		s.isolation.mutex.Lock()
		kept["daemons seen"] += len(s.isolation.seen)
		s.isolation.mutex.Unlock()
		for _, h := range s.holders {
			done := make(chan struct{})
			h.post(context.Background(), func(context.Context) {
				defer close(done)
				if h.former != nil {
					kept["former accounts"] += len(h.former.accounts)
				}
				if h.state != nil {
					kept["accounts"] += len(h.state.accounts)
					kept["turns"] += len(h.state.turns)
					kept["ended"] += len(h.state.ended)
					kept["changes"] += len(h.state.dirty)
					kept["marks"] += len(h.appended.marks)
				}
			})
			<-done
		}
	}
	return kept
}

// TestTenTimesTheDayKeepsNoMore: at the same load, what the store and the daemons keep does not
// depend on how long the day has lasted, whether daemons stay or start again all the time.
func TestTenTimesTheDayKeepsNoMore(t *testing.T) {
	for name, restarts := range map[string]bool{"daemons stay": false, "a daemon starts again each 20 s": true} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testTenTimesTheDay(t, restarts) }) })
	}
}

func testTenTimesTheDay(t *testing.T, restarts bool) {
	f := newTestFleet(t, 3)
	f.storeBytes = loadedCapacity
	l := newProgramLoad(f)
	run := uint64(1)
	live := func(length time.Duration) {
		for started := time.Now(); time.Since(started) < length; {
			l.run(restartPause, longPrograms)
			if restarts {
				run++
				f.restart(int(run)%3, run)
			}
		}
		l.run(restartPause/2, longPrograms)
		l.callers.Wait()
	}
	live(shortDay)
	short := f.keptOf()
	live(tenDays - shortDay)
	long := f.keptOf()
	l.wait()
	for what, before := range short {
		// Loads differ by their programs' turn of the moment, and how long ago a restart was.
		if after := long[what]; after > before+before/4+10 {
			t.Errorf("%s: %d after %s, %d after %s", what, before, shortDay, after, tenDays)
		}
	}
	t.Logf("kept after %s: %v, after %s: %v", shortDay, short, tenDays, long)
}

// restart starts a daemon again under its next run.
func (f *testFleet) restart(number int, run uint64) {
	for _, id := range f.ids() {
		if id.Address() == daemonID(number, 1).Address() {
			f.kill(id)
		}
	}
	f.start(daemonID(number, run))
}
