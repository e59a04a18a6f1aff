package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// A read is not canceled and restarted while it may still be answered: a busy store serves its
// reads one after the other, and continues with those that nobody waits for any more, so restarts
// make it slower. Instead, a read that is late is hedged: it is sent a second time in parallel, on
// a new connection, and the first answer counts. A daemon whose connection went silent thus learns
// of changes after AnswerTimeout, and a busy store serves one extra read.

const (
	// lateGrowth is the factor by which the delay until the next hedge grows, up to longestLate.
	// While the store does not answer, a call every 1.6 s notices when it is back.
	lateGrowth  = 2
	longestLate = 1600 * time.Millisecond
	// lateCallsOfLostStore is the number of hedges without an answer after which the store counts
	// as unreachable. A single one may be due to a dead connection.
	lateCallsOfLostStore = 2
	// giveUpCall is how long a call may receive nothing until it is canceled: the longest time
	// that the ledger waits for a page of a busy store.
	giveUpCall = 4 * time.Second
)

// errLate: nothing of an answer arrived in time.
var errLate = eris.Wrap(ErrOutcomeUnknown, "store: no answer in time")

// reading is one read of a Watcher, made by one or more parallel calls.
type reading struct {
	watcher *Watcher
	// from is the offset to read from; negative for a listing of all keys.
	from    int64
	contact *watchContact
	began   time.Time
	// calls are the calls in flight, oldest first.
	calls   []*readingCall
	answers chan readingAnswer
	// late fires at lateAt, when nothing has arrived for patience. lateCalls counts how often it
	// did without progress.
	late      *time.Timer
	lateAt    time.Time
	patience  time.Duration
	lateCalls int
}

// readingCall is one call of a reading.
type readingCall struct {
	began time.Time
	// wait is how long the store may wait for a change before it answers.
	wait     time.Duration
	progress *Progress
	cancel   context.CancelFunc
	// bytes is how many bytes had arrived at the last check, and progressAt when that number last
	// grew.
	bytes      int64
	progressAt time.Time
}

// readingAnswer is the result of a call.
type readingAnswer struct {
	call    *readingCall
	records []Record
	// end is the offset to continue from; negative if the records that follow were trimmed.
	end int64
	// listed: the records are a complete listing, not the changes since from.
	listed  bool
	err     error
	endedAt time.Time
}

// isChange reports whether the answer contains anything new.
func (a *readingAnswer) isChange() bool { return a.listed || len(a.records) > 0 }

// asOf returns the time as of which the answer is known to be current.
func (a *readingAnswer) asOf() time.Time {
	if asOf, told := a.call.progress.AsOf(); told {
		return asOf
	}
	return AsOf(a.call.began, a.call.wait, a.endedAt, a.isChange())
}

// AsOf returns the time as of which the answer to a read is known to be current. The read began and
// ended at the given times and let the store wait up to wait for a change. If the whole wait passed
// without a change, the answer is current as of the end of the wait: an earlier record would have
// ended it. Otherwise it is current as of when the read began.
func AsOf(began time.Time, wait time.Duration, ended time.Time, isChange bool) time.Time {
	if !isChange && ended.Sub(began) >= wait {
		return began.Add(wait)
	}
	return began
}

func newReading(w *Watcher, from int64, contact *watchContact) *reading {
	return &reading{
		watcher: w, from: from, contact: contact, answers: make(chan readingAnswer), patience: w.Settings.AnswerTimeout,
		began: time.Now(), late: time.NewTimer(time.Hour),
	}
}

// run makes the read and returns the first answer, or the last error if all calls failed.
func (r *reading) run(ctx context.Context, wait time.Duration) readingAnswer {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer r.late.Stop()
	if r.from < 0 {
		wait = 0 // a listing does not wait for a change
	}
	r.call(ctx, wait)
	returned := r.watcher.contact().Recovered()
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
		case <-r.watcher.Refresh:
			r.hurry(ctx)
		case <-r.watcher.ChangeExpected:
			r.expect()
		case <-returned:
			returned = r.watcher.contact().Recovered()
			r.call(WithFreshConnection(ctx), 0)
		case <-ctx.Done():
			return readingAnswer{err: ctx.Err()}
		}
	}
}

// call starts a call, and sets the timer to when it is late: patience after the end of its wait.
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
		case <-ctx.Done(): // another call was answered first
		}
	}()
}

// lateIn sets the timer of late calls.
func (r *reading) lateIn(left time.Duration) {
	r.lateAt = time.Now().Add(left)
	r.late.Reset(left)
}

// read calls the store.
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

// noteLate handles the timer: it starts another call unless more of an answer has arrived since the
// last check.
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

// noteProgress reports whether more of an answer has arrived, and cancels calls that have received
// nothing for giveUpCall.
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

// latest returns the call that was started last.
func (r *reading) latest() *readingCall { return r.calls[len(r.calls)-1] }

// isWaiting reports whether the latest call lets the store wait for a change and nothing of its
// answer has arrived.
func (r *reading) isWaiting() bool {
	latest := r.latest()
	return latest.wait > 0 && latest.progress.Bytes() == 0
}

// hurry starts a call that does not wait for a change, unless such a call is in flight or an answer
// is arriving.
func (r *reading) hurry(ctx context.Context) {
	if r.isWaiting() {
		r.call(ctx, 0)
	}
}

// expect handles the news that there is a change: a call that waits for one should be answered now,
// so it is late after patience rather than after its wait.
func (r *reading) expect() {
	if r.isWaiting() && time.Until(r.lateAt) > r.patience {
		r.lateIn(r.patience)
	}
}
