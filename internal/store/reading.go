package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// A reading is never broken off to be made anew while it may still be answered. A store that is
// busy serves its readings one after the other and goes on with those that nobody waits for: 65
// daemons that began a reading of 0.8 MB anew every 0.1 s had it read 5.5 GB in ten seconds where
// 0.1 GB were needed, and none of them got an answer. One that is late is made a second time
// beside the first, on a connection of its own, and the first answer counts: a daemon whose
// connection went silent hears what is new after Answer, and a busy store gets one reading more.

const (
	// lateGrowth is how much longer each further call of a reading is waited for than the
	// one before, and longestLate bounds that: while nobody answers, a call every 1.6 s
	// notices a store that is back.
	lateGrowth  = 2
	longestLate = 1600 * time.Millisecond
	// lateCallsOfLostStore are the calls after which a store that says nothing counts as lost.
	// One alone may have been lost with its connection.
	lateCallsOfLostStore = 2
	// giveUpCall is how long a call may bring nothing until it is given up: the longest time
	// that the ledger waits for a page of a busy store.
	giveUpCall = 4 * time.Second
)

// errLate: nothing of an answer arrived in time.
var errLate = eris.Wrap(ErrOutcomeUnknown, "store: no answer in time")

// reading is one reading of a Watcher, by one call or several.
type reading struct {
	watcher *Watcher
	// from is where to read from; negative for a listing of all keys.
	from    int64
	contact *watchContact
	began   time.Time
	// calls are those under way, in the order in which they were made.
	calls   []*readingCall
	answers chan readingAnswer
	// late fires at lateAt, when nothing has arrived for patience; it did lateCalls times.
	late      *time.Timer
	lateAt    time.Time
	patience  time.Duration
	lateCalls int
}

// readingCall is one call of a reading.
type readingCall struct {
	began time.Time
	// wait is how long it lets the store wait for a change.
	wait     time.Duration
	progress *Progress
	cancel   context.CancelFunc
	// bytes had arrived by progressAt, when some arrived last as far as is known.
	bytes      int64
	progressAt time.Time
}

// readingAnswer is how a call ended.
type readingAnswer struct {
	call    *readingCall
	records []Record
	// end is where to go on from; negative if what follows is not kept any more.
	end int64
	// listed: the records are all that there are, not those that followed.
	listed  bool
	err     error
	endedAt time.Time
}

// isChange tells whether an answer brought something new.
func (a *readingAnswer) isChange() bool { return a.listed || len(a.records) > 0 }

// asOf is the time as of which the answer is the newest.
func (a *readingAnswer) asOf() time.Time {
	if asOf, told := a.call.progress.AsOf(); told {
		return asOf
	}
	return AsOf(a.call.began, a.call.wait, a.endedAt, a.isChange())
}

// AsOf is the time as of which the store's answer to a reading is the newest, which began and
// ended at some times and let the store wait: a record that came before the end of a wait would
// have been the answer.
func AsOf(began time.Time, wait time.Duration, ended time.Time, isChange bool) time.Time {
	if !isChange && ended.Sub(began) >= wait {
		return began.Add(wait)
	}
	return began
}

func newReading(w *Watcher, from int64, contact *watchContact) *reading {
	return &reading{
		watcher: w, from: from, contact: contact, answers: make(chan readingAnswer), patience: w.Settings.Answer,
		began: time.Now(), late: time.NewTimer(time.Hour),
	}
}

// run makes the reading and returns its first answer, or the last failure if all calls failed.
func (r *reading) run(ctx context.Context, wait time.Duration) readingAnswer {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer r.late.Stop()
	if r.from < 0 {
		wait = 0 // a listing waits for no change
	}
	r.call(ctx, wait)
	returned := r.watcher.contact().Returned()
	for {
		select {
		case answer := <-r.answers:
			r.calls = slices.DeleteFunc(r.calls, func(call *readingCall) bool { return call == answer.call })
			r.report(answer)
			if answer.err == nil || len(r.calls) == 0 {
				return answer
			}
		case <-r.late.C:
			r.noteLate(ctx)
		case <-r.watcher.Hurry:
			r.hurry(ctx)
		case <-r.watcher.Expected:
			r.expect()
		case <-returned:
			returned = r.watcher.contact().Returned()
			r.call(WithFreshConnection(ctx), 0)
		case <-ctx.Done():
			return readingAnswer{err: ctx.Err()}
		}
	}
}

// call makes a call. It is late when nothing has arrived for patience after its wait.
func (r *reading) call(ctx context.Context, wait time.Duration) {
	calling, progress := WithProgress(ctx)
	calling, cancel := context.WithCancel(calling)
	now := time.Now()
	call := &readingCall{began: now, wait: wait, progress: progress, cancel: cancel, progressAt: now.Add(wait)}
	r.calls = append(r.calls, call)
	r.lateIn(wait + r.patience)
	go func() {
		defer cancel()
		answer := r.read(calling, wait)
		answer.call, answer.endedAt = call, time.Now()
		select {
		case r.answers <- answer:
		case <-ctx.Done(): // another call was answered
		}
	}()
}

// lateIn sets when the reading is late.
func (r *reading) lateIn(left time.Duration) {
	r.lateAt = time.Now().Add(left)
	r.late.Reset(left)
}

// read makes the call itself.
func (r *reading) read(ctx context.Context, wait time.Duration) readingAnswer {
	w := r.watcher
	if r.from < 0 {
		records, end, err := Newest(WithPurpose(ctx, Purpose("list_"+w.Partition.Space)), w.Store, w.Partition)
		return readingAnswer{records: records, end: end, listed: true, err: err}
	}
	records, end, err := w.Store.Read(WithPurpose(ctx, Purpose("watch_"+w.Partition.Space)), w.Partition, r.from, wait)
	if errors.Is(err, ErrTrimmed) {
		return readingAnswer{end: -1}
	}
	return readingAnswer{records: records, end: end, err: err}
}

// noteLate makes another call, unless more of an answer has arrived since that was last
// looked at.
func (r *reading) noteLate(ctx context.Context) {
	now := time.Now()
	if r.noteProgress(now) {
		r.lateIn(r.patience)
		return
	}
	r.lateCalls++
	r.reportLate(now)
	if r.lateCalls >= lateCallsOfLostStore {
		r.contact.noteLost(errLate)
	}
	r.patience = min(lateGrowth*r.patience, max(longestLate, r.patience))
	r.call(WithFreshConnection(ctx), 0)
}

// noteProgress tells whether more of some answer has arrived, and gives up calls that have
// brought nothing for long.
func (r *reading) noteProgress(now time.Time) (more bool) {
	for _, call := range r.calls {
		if bytes := call.progress.Bytes(); bytes > call.bytes {
			call.bytes, call.progressAt = bytes, now
			more = true
		}
		if now.Sub(call.progressAt) >= giveUpCall {
			call.cancel()
		}
	}
	return more
}

// latest returns the call that was made last.
func (r *reading) latest() *readingCall { return r.calls[len(r.calls)-1] }

// isWaiting tells whether the latest call lets the store wait, and nothing of its answer has
// arrived: then whoever wants news may have to wait, too.
func (r *reading) isWaiting() bool {
	latest := r.latest()
	return latest.wait > 0 && latest.progress.Bytes() == 0
}

// hurry makes a call that does not wait for a change, unless one is under way or an answer is
// arriving.
func (r *reading) hurry(ctx context.Context) {
	if r.isWaiting() {
		r.call(ctx, 0)
	}
}

// expect takes note that a change is there: the store has begun to answer the call that waits
// for one, or will not answer it.
func (r *reading) expect() {
	if r.isWaiting() && time.Until(r.lateAt) > r.patience {
		r.lateIn(r.patience)
	}
}
