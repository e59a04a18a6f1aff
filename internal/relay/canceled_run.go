package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/poison"
)

// Runs that this side cancels, as the caller leaves or the daemon stops, may still end their back end a
// moment later. Nobody reads its answer then, so a connection to the back end is held for a while, which
// closes if that ends.

const (
	// canceledRunWatch is how long after its cancellation a run may still end its back end.
	canceledRunWatch = time.Second
	// rewatchPause is the time between two connections to a back end that closes them but runs on.
	rewatchPause = 50 * time.Millisecond
	// maxCanceledRuns and maxCanceledBytes bound the canceled runs that are watched, and the bodies
	// that are kept for them.
	maxCanceledRuns  = 1024
	maxCanceledBytes = 64 << 20
)

// canceledRun is a run that was canceled lately.
type canceledRun struct {
	broken brokenRun
	// tracker is the run's use of the guard; bytes is the size of the body that it keeps.
	tracker *poison.Tracker
	bytes   int64
	logger  zerolog.Logger
	// until is when the watch ends.
	until time.Time
}

// canceledRuns watches the back ends of canceled runs. It is safe for concurrent use.
type canceledRuns struct {
	relay *Relay
	// watches counts the watched instances.
	watches workCounter

	mutex sync.Mutex
	// byInstance holds the runs by the ID of their instance, those whose watch ends first in front.
	byInstance map[string][]canceledRun
	count      int
	bytes      int64
}

func newCanceledRuns(relay *Relay) *canceledRuns {
	return &canceledRuns{relay: relay, byInstance: map[string][]canceledRun{}}
}

// canceledRun returns a run that this side canceled now. It takes over the call's tracker.
func (c *callHandler) canceledRun(broken brokenRun) canceledRun {
	return canceledRun{
		broken: broken, tracker: c.tracker.Detach(), bytes: int64(c.sentBytes), logger: c.logger, until: time.Now().Add(canceledRunWatch),
	}
}

// add begins to watch a run, unless too many are watched.
func (w *canceledRuns) add(run canceledRun) {
	w.mutex.Lock()
	if w.count >= maxCanceledRuns || w.bytes+run.bytes > maxCanceledBytes {
		w.mutex.Unlock()
		run.tracker.Close()
		w.relay.Metrics.unwatchedRuns.Inc()
		return
	}
	w.count++
	w.bytes += run.bytes
	id := run.broken.target.ID
	runs, isWatched := w.byInstance[id]
	w.byInstance[id] = append(runs, run)
	w.mutex.Unlock()
	if !isWatched {
		w.watches.runInBackground(func() { w.watch(run.broken.target) })
	}
}

// examine finds out in the background whether the instance of a canceled run has ended, as it was silent
// before. If not, it is watched.
func (w *canceledRuns) examine(run canceledRun) {
	w.watches.runInBackground(func() {
		state := w.relay.connectAfterBreak(run.broken.target)
		w.relay.logBrokenRun(run.logger, run.broken, state)
		if state == backEndAlive {
			w.add(run)
			return
		}
		if state.mayHaveEnded() {
			run.tracker.Ended(context.Background(), run.broken.target.ID, nil)
		}
		run.tracker.Close()
	})
}

// watch watches an instance until no run is left there, or it has ended.
func (w *canceledRuns) watch(target instance.Instance) {
	for {
		until, isWatched := w.expire(target.ID)
		if !isWatched {
			return
		}
		if w.endsUntil(target, until) {
			w.recordEnd(target)
			return
		}
	}
}

// endsUntil reports whether an instance ends until a time, for other reasons than a planned shutdown.
func (w *canceledRuns) endsUntil(target instance.Instance, until time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	err := w.relay.Driver.HoldConnection(ctx, target)
	switch {
	case w.relay.Pool.IsDraining(target.ID):
		<-ctx.Done()
		return false
	case err == nil || ctx.Err() != nil:
		return w.relay.Pool.IsReplaced(target) || w.relay.monitor.hasFailedProbes(target.ID)
	case w.relay.Pool.IsReplaced(target) || w.relay.connectAfterBreak(target) == backEndEnded:
		return true
	}
	clock.Sleep(ctx, rewatchPause)
	return false
}

// expire forgets the runs at an instance whose watch is over, and returns when the next one ends. If no
// run is left, the instance is not watched any more.
func (w *canceledRuns) expire(id string) (until time.Time, isWatched bool) {
	now := time.Now()
	w.mutex.Lock()
	runs := w.byInstance[id]
	left := slices.IndexFunc(runs, func(run canceledRun) bool { return run.until.After(now) })
	if left < 0 {
		left = len(runs)
	}
	expired, rest := runs[:left], runs[left:]
	w.remove(id, expired, rest)
	w.mutex.Unlock()
	for _, run := range expired {
		run.tracker.Close()
	}
	clear(expired) // the rest shares their array, which would keep the bodies
	if len(rest) == 0 {
		return time.Time{}, false
	}
	return rest[0].until, true
}

// recordEnd records that an instance has ended, for all runs there.
func (w *canceledRuns) recordEnd(target instance.Instance) {
	w.mutex.Lock()
	runs := w.byInstance[target.ID]
	w.remove(target.ID, runs, nil)
	w.mutex.Unlock()
	for _, run := range runs {
		w.relay.logBrokenRun(run.logger, run.broken, backEndEnded)
		w.watches.runInBackground(func() {
			run.tracker.Ended(context.Background(), target.ID, nil)
			run.tracker.Close()
		})
	}
}

// remove removes runs at an instance, of which the rest stays. The mutex must be held.
func (w *canceledRuns) remove(id string, removed, rest []canceledRun) {
	w.count -= len(removed)
	for _, run := range removed {
		w.bytes -= run.bytes
	}
	if len(rest) == 0 {
		delete(w.byInstance, id)
		return
	}
	w.byInstance[id] = rest
}

// wait waits until no instance is watched and all ends are recorded, or ctx ends.
func (w *canceledRuns) wait(ctx context.Context) { w.watches.wait(ctx) }
