package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// troubleAfter is how long an append may take until the store counts as silent
	// for its shard's holder, and troublePause separates looks at what the holder
	// still can do.
	troubleAfter = 700 * time.Millisecond
	troublePause = 500 * time.Millisecond
	// waitingLimit bounds the operations that wait for the store at one shard.
	waitingLimit = 4096
)

// appendQueue is what goes to the store, and who waits for it.
type appendQueue struct {
	// pending is the append that is under way, nil for none, and news tells of it.
	pending *pendingAppend
	news    chan appendNews
	// waiting operations are answered once the next append is done.
	waiting []answered
	// barrier: the next append must take place even without a change.
	barrier bool
	// flush fires when changes that nobody waits for have waited for settleDelay.
	flush *time.Timer
}

// pendingAppend is an append that is under way, with the operations that wait for it.
type pendingAppend struct {
	writer  store.Writer
	records []store.Record
	waiting []answered
	// sentAt is when the first try began.
	sentAt time.Time
}

// appendNews tells of an append: how it ended, or that it is still under way.
type appendNews struct {
	append   *pendingAppend
	err      error
	underway bool
}

func (h *holder) writer() store.Writer {
	return store.Writer{Name: writerName, Epoch: h.epoch, Sequence: h.sequence}
}

// startAppend appends all changes, unless an append is under way: then they go with
// the next one.
func (h *holder) startAppend(ctx context.Context) {
	if h.state == nil || h.appends.pending != nil {
		return
	}
	h.appends.flush.Stop()
	records, err := h.takeChanges()
	if err != nil {
		h.logger.Error().Err(err).Msg("Changes not encoded.")
		h.drop()
		return
	}
	h.appends.barrier = false
	waiting := h.appends.waiting
	h.appends.waiting = nil
	if len(records) == 0 { // all is durable already
		h.answerAll(waiting)
		return
	}
	if !h.state.allowance.sentAt.IsZero() {
		h.status.stampedAt.set(h.state.allowance.sentAt)
	}
	h.sequence++
	h.appends.pending = &pendingAppend{writer: h.writer(), records: records, waiting: waiting, sentAt: time.Now()}
	h.status.appending.Store(true)
	go h.runAppend(ctx, h.appends.pending)
}

// takeChanges returns the records of all changes. If there are none and an append must
// take place all the same, it is of this daemon's claim.
func (h *holder) takeChanges() ([]store.Record, error) {
	records, err := h.state.takeDirty()
	if err == nil && len(records) == 0 && h.appends.barrier {
		records = append(records, h.holderRecord(holderKey))
	}
	return records, err
}

// runAppend makes an append until the store answers for good: it keeps its number,
// so it is done once. Now and then it tells that it is still under way.
func (h *holder) runAppend(ctx context.Context, current *pendingAppend) {
	done := make(chan error, 1)
	ctx = store.WithPurpose(ctx, store.PurposeChanges)
	go func() { done <- h.records.append(ctx, h.partition, current.writer, current.records) }()
	trouble := time.NewTimer(troubleAfter)
	defer trouble.Stop()
	for {
		told := appendNews{append: current, underway: true}
		select {
		case told.err = <-done:
			told.underway = false
		case <-trouble.C:
			trouble.Reset(troublePause)
		case <-ctx.Done():
			return
		}
		select {
		case h.appends.news <- told:
		case <-ctx.Done():
		}
		if !told.underway {
			return
		}
	}
}

// noteAppend takes news of an append. While it is under way nothing else is
// appended, and turns are granted only from headroom that the store counts as
// spent already: if another daemon takes the shard, it counts it so, too.
func (h *holder) noteAppend(ctx context.Context, news appendNews) {
	current := news.append
	if current != h.appends.pending || h.state == nil {
		return // the shard was lost meanwhile
	}
	switch {
	case news.underway:
		h.noteSlowAppend(ctx, current)
	case news.err == nil:
		h.noteAppended(ctx, current, time.Now())
	default:
		h.drop()
		h.refuseAll(current.waiting, h.lose(ctx, news.err))
	}
}

// noteAppended takes note that an append is done.
func (h *holder) noteAppended(ctx context.Context, done *pendingAppend, now time.Time) {
	h.appends.pending = nil
	h.status.appending.Store(false)
	h.noteAnswered(now)
	h.appended.note(done.records, now)
	h.trimHistory(ctx, now)
	h.state.confirmHeadroom()
	h.state.confirmAllowance(done.sentAt)
	h.answerAll(done.waiting)
	switch {
	case h.handover != nil && h.handover.prepared:
		h.relinquish(ctx)
	case len(h.appends.waiting) > 0:
		h.startAppend(ctx)
	}
}

// noteSlowAppend takes note that the store does not answer. What waits for it goes on
// to wait: it is answered as soon as the store does. Only a daemon that is cut
// off from the store and from all that could help has its callers ask another daemon.
func (h *holder) noteSlowAppend(ctx context.Context, current *pendingAppend) {
	if _, known := h.status.silentSince.since(current.sentAt); !known {
		h.status.silentSince.set(current.sentAt)
		h.logger.Warn().Uint64("epoch", h.epoch).Int("waiting", len(current.waiting)+len(h.appends.waiting)).
			Msg("Shard's partition does not answer. Turns are granted from headroom alone.")
		h.metrics.lost(store.ErrUnavailable)
	}
	now := time.Now()
	if h.records.isFull(now) {
		h.capacity.foundFull(now)
		h.clearHistory(ctx, now)
	}
	current.waiting = h.grantWaiting(current.waiting, now)
	h.appends.waiting = h.grantWaiting(h.appends.waiting, now)
	if h.isIsolated() {
		h.refuseAll(current.waiting, resultImpaired)
		current.waiting = nil
		h.refuseAll(h.appends.waiting, resultImpaired)
		h.appends.waiting = nil
	}
}

// grantWaiting answers the turns that wait for an append and can begin without one by
// now: others gave headroom back, or the store has been out for so long that the
// allowance grants more than one turn. It returns what goes on to wait.
func (h *holder) grantWaiting(waiting []answered, now time.Time) []answered {
	var left []answered
	for _, a := range waiting {
		if begin := a.request.Begin; begin != nil && a.answer.Result == resultOK && h.state.takeHeadroom(*begin, now) {
			h.metrics.granted("headroom")
			h.answer(a.operation, a.answer)
			continue
		}
		left = append(left, a)
	}
	return left
}

// noteAnswered takes note that the store answered.
func (h *holder) noteAnswered(now time.Time) {
	if out := h.storeOutFor(now); out > 0 {
		h.status.silentSince.clear()
		h.logger.Info().Uint64("epoch", h.epoch).Dur("out", out).Int("waiting", len(h.appends.waiting)).
			Msg("Shard's partition answers again.")
	}
}

// allowedIn is when the allowance grants more than one turn, if the store does not
// answer until then; 0 if it does already. It is looked at each troublePause.
func (h *holder) allowedIn(now time.Time) time.Duration {
	passed, stamped := h.status.stampedAt.since(now)
	if !stamped || passed >= firstTurnTime+troublePause {
		return 0
	}
	return firstTurnTime + troublePause - passed
}

// isIsolated tells whether another daemon had better hold the shard.
func (h *holder) isIsolated() bool {
	return h.storeOutFor(time.Now()) > 0 && h.records.contact.IsIsolated()
}

// storeOutFor tells for how long the store has not answered an append; 0 if none
// has been under way for long.
func (h *holder) storeOutFor(now time.Time) time.Duration {
	out, silent := h.status.silentSince.since(now)
	if !silent {
		return 0
	}
	return max(out, time.Millisecond)
}
