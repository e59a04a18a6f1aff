package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

// flight is an append that is under way, with the operations that wait for it.
type flight struct {
	writer  store.Writer
	records []store.Record
	waiting []answered
	pause   time.Duration
}

// landing is the outcome of a try at an append.
type landing struct {
	flight *flight
	err    error
}

func (h *holder) writer() store.Writer {
	return store.Writer{Name: writerName, Epoch: h.epoch, Sequence: h.sequence}
}

// launch appends all changes, unless an append is under way: then they go with
// the next one.
func (h *holder) launch(ctx context.Context) {
	if h.state == nil || h.flight != nil {
		return
	}
	h.flush.Stop()
	records, err := h.state.takeDirty()
	if err != nil {
		h.logger.Error().Err(err).Msg("Changes not encoded.")
		h.drop()
		return
	}
	if len(records) == 0 && h.barrier {
		records = append(records, h.holderRecord(holderKey))
	}
	h.barrier = false
	waiting := h.waiting
	h.waiting = nil
	if len(records) == 0 { // all is durable already
		h.answerAll(waiting)
		return
	}
	h.sequence++
	h.flight = &flight{writer: h.writer(), records: records, waiting: waiting, pause: firstPause}
	h.try(ctx, 0)
}

func (h *holder) answerAll(list []answered) {
	for _, a := range list {
		h.answer(a.operation, a.answer)
	}
}

// try makes the append that is under way, after a pause.
func (h *holder) try(ctx context.Context, after time.Duration) {
	current := h.flight
	go func() {
		clock.Sleep(ctx, after)
		err := h.records.append(ctx, h.partition, current.writer, current.records)
		select {
		case h.landed <- landing{flight: current, err: err}:
		case <-ctx.Done():
		}
	}()
}

// land takes the outcome of a try. An append of which nothing is known is made
// again with its number, so that it is done once; meanwhile nothing else is
// appended, and turns are granted only from headroom that the store counts as
// spent already: if another daemon takes the shard, it counts it so, too.
func (h *holder) land(ctx context.Context, landing landing) {
	current := landing.flight
	if current != h.flight || h.state == nil {
		return // the shard was lost meanwhile
	}
	switch {
	case landing.err == nil:
		h.flight = nil
		h.struggling = false
		h.state.landHeadroom()
		h.answerAll(current.waiting)
		if len(h.waiting) > 0 {
			h.launch(ctx)
		}
		if h.isLeaving() {
			h.leave(ctx)
		}
	case isFinal(landing.err):
		h.drop()
		h.refuseAll(current.waiting, h.lose(ctx, landing.err))
	default:
		h.struggle(ctx, current, landing.err)
	}
}

// struggle tells all that wait that the store cannot be reached, and tries on.
func (h *holder) struggle(ctx context.Context, current *flight, err error) {
	if !h.struggling {
		h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Msg("Shard's partition not reached. Turns are granted from headroom alone.")
		h.metrics.lost(err)
	}
	h.struggling = true
	h.refuseAll(current.waiting, resultImpaired)
	current.waiting = nil
	h.refuseAll(h.waiting, resultImpaired)
	h.waiting = nil
	h.try(ctx, current.pause)
	current.pause = min(2*current.pause, longestPause)
}
