package ledger

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// shortUptime is longer than all retentions, and longUptime ten times as long.
	shortUptime = 3 * time.Minute
	longUptime  = 10 * shortUptime
	// restartPause separates the restarts of daemons, one after the other, and longPrograms
	// begin each second.
	restartPause = 20 * time.Second
	longPrograms = 2
)

// keptOf returns the sizes of what a fleet keeps, by name.
func (f *testFleet) keptOf() map[string]int {
	kept := map[string]int{"store": f.store.StoredBytes(), "goroutines": runtime.NumGoroutine()}
	for _, id := range f.ids() {
		s := f.service(id)
		s.avoidList.mutex.Lock()
		kept["failure reports"] += len(s.avoidList.shards) + len(s.avoidList.daemons)
		s.avoidList.mutex.Unlock()
		s.texts.mutex.Lock()
		kept["texts"] += s.texts.bytes
		s.texts.mutex.Unlock()
		s.episodes.mutex.Lock()
		kept["episodes"] += len(s.episodes.shards)
		s.episodes.mutex.Unlock()
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

// TestUsageDoesNotGrowWithUptime: under a constant load, what the store and the daemons
// keep does not depend on the uptime, whether or not daemons restart all the time.
func TestUsageDoesNotGrowWithUptime(t *testing.T) {
	for name, restarts := range map[string]bool{"daemons stay": false, "a daemon starts again each 20 s": true} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testUsageDoesNotGrow(t, restarts) }) })
	}
}

func testUsageDoesNotGrow(t *testing.T, restarts bool) {
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
	live(shortUptime)
	short := f.keptOf()
	live(longUptime - shortUptime)
	long := f.keptOf()
	l.wait()
	for what, before := range short {
		// The sizes vary with the stage that programs are in and the time since the last
		// restart.
		if after := long[what]; after > before+before/4+10 {
			t.Errorf("%s: %d after %s, %d after %s", what, before, shortUptime, after, longUptime)
		}
	}
	t.Logf("kept after %s: %v, after %s: %v", shortUptime, short, longUptime, long)
}

// restart replaces a daemon by its next incarnation.
func (f *testFleet) restart(number int, run uint64) {
	for _, id := range f.ids() {
		if id.Address() == daemonID(number, 1).Address() {
			f.kill(id)
		}
	}
	f.start(daemonID(number, run))
}
