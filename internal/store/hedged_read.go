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
	// hedgeDelayGrowth is the factor by which the delay until the next hedge grows, up to
	// maxHedgeDelay. While the store does not answer, these calls notice when it is back.
	hedgeDelayGrowth = 2
	maxHedgeDelay    = 1600 * time.Millisecond
	// hedgesUntilUnreachable is the number of hedges without an answer after which the store counts
	// as unreachable. A single one may be due to a dead connection.
	hedgesUntilUnreachable = 2
	// stallTimeout is how long a call may receive nothing until it is canceled: the longest time
	// that the ledger waits for a page of a busy store.
	stallTimeout = 4 * time.Second
)

// errNoAnswer: nothing of an answer arrived in time.
var errNoAnswer = eris.Wrap(ErrOutcomeUnknown, "store: no answer in time")

// hedgedRead is one read of a Watcher, made by one or more parallel calls.
type hedgedRead struct {
	watcher *Watcher
	// from is the offset to read from; negative for a listing of all keys.
	from         int64
	connectivity *connectivityState
	began        time.Time
	// calls are the calls in flight, oldest first.
	calls   []*readCall
	answers chan readAnswer
	// hedgeTimer fires at hedgeAt, when nothing has arrived for hedgeDelay. hedges counts the calls
	// that it started.
	hedgeTimer *time.Timer
	hedgeAt    time.Time
	hedgeDelay time.Duration
	hedges     int
}

// readCall is one call of a hedgedRead.
type readCall struct {
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

// readAnswer is the result of a call.
type readAnswer struct {
	call    *readCall
	records []Record
	// end is the offset to continue from; negative if the records that follow were trimmed.
	end int64
	// listed: the records are a complete listing, not the changes since from.
	listed  bool
	err     error
	endedAt time.Time
}

// isChange reports whether the answer contains anything new.
func (a *readAnswer) isChange() bool { return a.listed || len(a.records) > 0 }

// asOf returns the time as of which the answer is known to be current.
func (a *readAnswer) asOf() time.Time {
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

func newHedgedRead(w *Watcher, from int64, connectivity *connectivityState) *hedgedRead {
	return &hedgedRead{
		watcher: w, from: from, connectivity: connectivity, answers: make(chan readAnswer), hedgeDelay: w.Settings.AnswerTimeout,
		began: time.Now(), hedgeTimer: time.NewTimer(time.Hour),
	}
}

// run makes the read and returns the first answer, or the last error if all calls failed.
func (r *hedgedRead) run(ctx context.Context, wait time.Duration) readAnswer {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer r.hedgeTimer.Stop()
	if r.from < 0 {
		wait = 0 // a listing does not wait for a change
	}
	r.call(ctx, wait)
	recovered := r.watcher.connectivity().Recovered()
	for {
		select {
		case answer := <-r.answers:
			r.calls = slices.DeleteFunc(r.calls, func(call *readCall) bool { return call == answer.call })
			r.report(answer)
			if answer.err == nil || len(r.calls) == 0 {
				return answer
			}
		case <-r.hedgeTimer.C:
			r.hedge(ctx)
		case <-r.watcher.Refresh:
			r.refresh(ctx)
		case <-r.watcher.ChangeExpected:
			r.expectChange()
		case <-recovered:
			recovered = r.watcher.connectivity().Recovered()
			r.call(WithFreshConnection(ctx), 0)
		case <-ctx.Done():
			return readAnswer{err: ctx.Err()}
		}
	}
}

// call starts a call, and sets hedgeTimer to hedgeDelay after the end of its wait.
func (r *hedgedRead) call(ctx context.Context, wait time.Duration) {
	calling, progress := WithProgress(ctx)
	calling, cancel := context.WithCancel(calling)
	now := time.Now()
	call := &readCall{began: now, wait: wait, progress: progress, cancel: cancel, progressAt: now.Add(wait)}
	r.calls = append(r.calls, call)
	r.setHedgeTimer(wait + r.hedgeDelay)
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

// setHedgeTimer lets hedgeTimer fire after the given time.
func (r *hedgedRead) setHedgeTimer(left time.Duration) {
	r.hedgeAt = time.Now().Add(left)
	r.hedgeTimer.Reset(left)
}

// read calls the store.
func (r *hedgedRead) read(ctx context.Context, wait time.Duration) readAnswer {
	w := r.watcher
	if r.from < 0 {
		records, end, err := Newest(WithPurpose(ctx, Purpose("list_"+w.Partition.Space)), w.Store, w.Partition)
		return readAnswer{records: records, end: end, listed: true, err: err}
	}
	records, end, err := w.Store.Read(WithPurpose(ctx, Purpose("watch_"+w.Partition.Space)), w.Partition, r.from, wait)
	if errors.Is(err, ErrTrimmed) {
		return readAnswer{end: -1}
	}
	return readAnswer{records: records, end: end, err: err}
}

// hedge handles hedgeTimer: it starts another call unless more of an answer has arrived since the
// last check.
func (r *hedgedRead) hedge(ctx context.Context) {
	now := time.Now()
	if r.checkProgress(now) {
		r.setHedgeTimer(r.hedgeDelay)
		return
	}
	r.hedges++
	r.reportLate(now)
	if r.hedges >= hedgesUntilUnreachable {
		r.connectivity.setUnreachable(errNoAnswer)
	}
	r.hedgeDelay = min(hedgeDelayGrowth*r.hedgeDelay, max(maxHedgeDelay, r.hedgeDelay))
	r.call(WithFreshConnection(ctx), 0)
}

// checkProgress reports whether more of an answer has arrived, and cancels calls that have received
// nothing for stallTimeout.
func (r *hedgedRead) checkProgress(now time.Time) (more bool) {
	for _, call := range r.calls {
		if bytes := call.progress.Bytes(); bytes > call.bytes {
			call.bytes, call.progressAt = bytes, now
			more = true
		}
		if now.Sub(call.progressAt) >= stallTimeout {
			call.cancel()
		}
	}
	return more
}

// latest returns the call that was started last.
func (r *hedgedRead) latest() *readCall { return r.calls[len(r.calls)-1] }

// isWaiting reports whether the latest call lets the store wait for a change and nothing of its
// answer has arrived.
func (r *hedgedRead) isWaiting() bool {
	latest := r.latest()
	return latest.wait > 0 && latest.progress.Bytes() == 0
}

// refresh starts a call that does not wait for a change, unless such a call is in flight or an
// answer is arriving.
func (r *hedgedRead) refresh(ctx context.Context) {
	if r.isWaiting() {
		r.call(ctx, 0)
	}
}

// expectChange handles the signal that there is a change: a call that waits for one should be
// answered now, so hedgeTimer fires after hedgeDelay rather than after the wait.
func (r *hedgedRead) expectChange() {
	if r.isWaiting() && time.Until(r.hedgeAt) > r.hedgeDelay {
		r.setHedgeTimer(r.hedgeDelay)
	}
}
