package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// slowAppendAfter is how long an append may take until the store counts as silent for
	// the shard's holder. From then on the holder checks every slowAppendInterval what it
	// can still grant.
	slowAppendAfter    = 700 * time.Millisecond
	slowAppendInterval = 500 * time.Millisecond
	// waitingLimit bounds the operations of one shard that wait for the store.
	waitingLimit = 4096
)

// appendQueue holds the append under way and the operations that wait for it or the next
// one.
type appendQueue struct {
	// pending is the append under way, nil if there is none; events report its progress.
	pending *pendingAppend
	events  chan appendEvent
	// waiting operations are answered once the next append is done.
	waiting []pendingReply
	// barrier: the next append must take place even without a change.
	barrier bool
	// flush fires at flushAt, when changes that no caller waits for are due; flushAt is zero
	// if none are.
	flush   *time.Timer
	flushAt time.Time
	// isDue: they are due, but an append is under way.
	isDue bool
}

// pendingAppend is an append under way, with the operations that wait for it.
type pendingAppend struct {
	// writer is that of the first call. The store takes the records in several calls if they are
	// too large for one; until the last of them, no operation is answered.
	writer  store.Writer
	records []store.Record
	calls   [][]store.Record
	waiting []pendingReply
	// sentAt is when the first try began.
	sentAt time.Time
}

// appendEvent reports that an append ended, with its error, or that it is still under way.
type appendEvent struct {
	append   *pendingAppend
	err      error
	underway bool
}

func (h *holder) writer() store.Writer {
	return store.Writer{Name: writerName, Epoch: h.epoch, Sequence: h.sequence}
}

// flushWithin makes the changes so far be appended within a delay.
func (h *holder) flushWithin(delay time.Duration) {
	at := time.Now().Add(delay)
	if !h.appends.flushAt.IsZero() && !at.Before(h.appends.flushAt) {
		return
	}
	h.appends.flushAt = at
	h.appends.flush.Reset(delay)
}

// flushDue appends the changes that are due. If an append is under way, they are due at its
// end.
func (h *holder) flushDue(ctx context.Context) {
	if h.appends.pending != nil {
		h.appends.isDue = true
		return
	}
	h.startAppend(ctx)
}

// stopFlush cancels the flush.
func (h *holder) stopFlush() {
	h.appends.flushAt, h.appends.isDue = time.Time{}, false
	h.appends.flush.Stop()
}

// startAppend appends all changes. If an append is under way, they go with the next one.
func (h *holder) startAppend(ctx context.Context) {
	if h.state == nil || h.appends.pending != nil {
		return
	}
	h.stopFlush()
	records, err := h.takeChanges()
	if err != nil {
		h.logger.Error().Err(err).Msg("Changes could not be encoded. The shard is dropped.")
		h.drop()
		return
	}
	h.appends.barrier = false
	waiting := h.appends.waiting
	h.appends.waiting = nil
	if len(records) == 0 { // everything is durable already
		h.answerAll(waiting)
		return
	}
	if !h.state.allowance.sentAt.IsZero() {
		h.status.allowanceSentAt.set(h.state.allowance.sentAt)
	}
	calls := h.bounds.Split(records)
	h.sequence++
	h.appends.pending = &pendingAppend{writer: h.writer(), records: records, calls: calls, waiting: waiting, sentAt: time.Now()}
	h.sequence += uint64(len(calls) - 1)
	h.status.appending.Store(true)
	if len(calls) > 1 {
		h.logger.Info().Uint64("epoch", h.epoch).Int("calls", len(calls)).Int("records", len(records)).Int("bytes", store.SizeOf(records)).
			Msg("Changes are appended in several calls.")
	}
	go h.runAppend(ctx, h.appends.pending)
}

// takeChanges returns the records of all changes. If there are none and an append must take
// place nevertheless, it returns the record of this daemon's claim.
func (h *holder) takeChanges() ([]store.Record, error) {
	records, err := h.state.takeDirty()
	if err == nil && len(records) == 0 && h.appends.barrier {
		records = append(records, h.holderRecord(holderKey))
	}
	return records, err
}

// appendCalls makes the calls of an append one after the other, each until the store gives a final
// answer. All tries at a call have the same sequence number, so the store applies it once. It reports
// each call that is done to progress.
func (h *holder) appendCalls(ctx context.Context, current *pendingAppend, progress chan<- struct{}) error {
	ctx = store.WithPurpose(ctx, store.PurposeChanges)
	writer := current.writer
	for _, records := range current.calls {
		if err := h.records.append(ctx, h.partition, writer, records); err != nil {
			return err
		}
		writer.Sequence++
		progress <- struct{}{}
	}
	return nil
}

// runAppend makes an append. While the store does not answer, it reports regularly that the append is
// still under way.
func (h *holder) runAppend(ctx context.Context, current *pendingAppend) {
	done := make(chan error, 1)
	progress := make(chan struct{}, len(current.calls))
	go func() { done <- h.appendCalls(ctx, current, progress) }()
	slow := time.NewTimer(slowAppendAfter)
	defer slow.Stop()
	for {
		event := appendEvent{append: current, underway: true}
		select {
		case event.err = <-done:
			event.underway = false
		case <-progress:
			slow.Reset(slowAppendAfter)
			continue
		case <-slow.C:
			slow.Reset(slowAppendInterval)
		case <-ctx.Done():
			return
		}
		select {
		case h.appends.events <- event:
		case <-ctx.Done():
		}
		if !event.underway {
			return
		}
	}
}

// handleAppendEvent handles the progress of an append. While one is under way nothing else
// is appended, and turns are granted only from headroom that the store already counts as
// spent, as a daemon that takes the shard over counts it too.
func (h *holder) handleAppendEvent(ctx context.Context, event appendEvent) {
	current := event.append
	if current != h.appends.pending || h.state == nil {
		return // the shard was lost in the meantime
	}
	switch {
	case event.underway:
		h.handleSlowAppend(ctx, current)
	case event.err == nil:
		h.completeAppend(ctx, current, time.Now())
	default:
		if errors.Is(event.err, store.ErrRejected) {
			h.logRejected(current, event.err)
		}
		h.drop()
		h.refuseAll(current.waiting, h.noteLoss(ctx, event.err))
	}
}

// logRejected logs an append that the store never takes.
func (h *holder) logRejected(current *pendingAppend, err error) {
	largest := slices.MaxFunc(current.records, func(a, b store.Record) int { return len(a.Value) - len(b.Value) })
	h.logger.Error().Err(err).Uint64("epoch", h.epoch).Int("calls", len(current.calls)).Int("records", len(current.records)).
		Int("bytes", store.SizeOf(current.records)).Str("largest", largest.Key).Int("largest_bytes", len(largest.Value)).
		Msg("Changes rejected by the store. The shard is read again without them.")
}

// completeAppend handles a successful append.
func (h *holder) completeAppend(ctx context.Context, done *pendingAppend, now time.Time) {
	h.appends.pending = nil
	h.status.appending.Store(false)
	h.noteStoreAnswered(now)
	h.noteOwnership(done.sentAt)
	h.appended.note(done.records, now)
	h.trimHistory(ctx, now)
	h.state.confirmHeadroom()
	h.state.confirmAllowance(done.sentAt)
	h.answerAll(done.waiting)
	switch {
	case h.handover != nil && h.handover.prepared:
		h.relinquish(ctx)
	case len(h.appends.waiting) > 0, h.appends.isDue:
		h.startAppend(ctx)
	}
	h.decideWaiting(ctx)
}

// handleSlowAppend handles an append that the store does not answer. Operations keep
// waiting and are answered as soon as the store is back. Only a daemon that is isolated
// from the store and from all daemons that reach it refuses them, so that their callers ask
// another daemon.
func (h *holder) handleSlowAppend(ctx context.Context, current *pendingAppend) {
	if _, known := h.status.silentSince.since(current.sentAt); !known {
		h.status.silentSince.set(current.sentAt)
		h.logger.Warn().Uint64("epoch", h.epoch).Int("waiting", len(current.waiting)+len(h.appends.waiting)).
			Msg("Shard's partition does not answer. Turns are granted from headroom alone.")
		h.metrics.lost(store.ErrUnavailable)
	}
	now := time.Now()
	if h.records.isFull(now) {
		h.capacity.noteStoreFull(now)
		h.clearHistory(ctx, now)
	}
	current.waiting = h.grantWaiting(current.waiting, now)
	h.appends.waiting = h.grantWaiting(h.appends.waiting, now)
	h.decideWaiting(ctx)
	if h.isIsolated() {
		h.refuseAll(current.waiting, resultImpaired)
		current.waiting = nil
		h.refuseAll(h.appends.waiting, resultImpaired)
		h.appends.waiting = nil
	}
}

// grantWaiting answers waiting turns that can now begin without an append: other turns
// returned headroom, or the store has been out for long enough that the allowance grants
// more than one turn. It returns the operations that keep waiting.
func (h *holder) grantWaiting(waiting []pendingReply, now time.Time) []pendingReply {
	var left []pendingReply
	for _, a := range waiting {
		if begin := a.request.Begin; begin != nil && a.answer.Result == resultOK && h.grantFromHeadroom(*begin, now) {
			h.answer(a.operation, a.answer)
			continue
		}
		left = append(left, a)
	}
	return left
}

// noteStoreAnswered ends the period in which the store was silent.
func (h *holder) noteStoreAnswered(now time.Time) {
	if out := h.storeOutFor(now); out > 0 {
		h.status.silentSince.clear()
		h.logger.Info().Uint64("epoch", h.epoch).Dur("out", out).Int("waiting", len(h.appends.waiting)).
			Msg("Shard's partition answers again.")
	}
}

// fullAllowanceIn returns the time until the allowance grants more than one turn if the
// store does not answer; 0 if it already does. The holder checks this every
// slowAppendInterval.
func (h *holder) fullAllowanceIn(now time.Time) time.Duration {
	passed, sent := h.status.allowanceSentAt.since(now)
	if !sent || passed >= singleTurnPeriod+slowAppendInterval {
		return 0
	}
	return singleTurnPeriod + slowAppendInterval - passed
}

// isIsolated reports whether another daemon should hold the shard, because this one reaches
// neither the store nor a daemon that does.
func (h *holder) isIsolated() bool {
	return h.storeOutFor(time.Now()) > 0 && h.records.connectivity.IsIsolated()
}

// storeOutFor returns for how long the store has not answered an append; 0 if no append has
// been slow.
func (h *holder) storeOutFor(now time.Time) time.Duration {
	out, silent := h.status.silentSince.since(now)
	if !silent {
		return 0
	}
	return max(out, time.Millisecond)
}
