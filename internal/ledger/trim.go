package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// The store keeps the newest record of each key and the history of all appends, with one
// bound on the bytes of both for the whole fleet. Once it is reached, no turn can be
// recorded. The history is only needed by a successor that reads a shard ahead, which
// continues from its last seconds. So a shard's holder trims what is older.

const (
	// trimTimeout bounds a call. If it fails, the next one trims the same history as well.
	trimTimeout = 2 * time.Second
	// fullTrimInterval separates calls that trim all history of a shard while the store is
	// full.
	fullTrimInterval = time.Second
)

// trimHistory trims the shard's history if that is due.
func (h *holder) trimHistory(ctx context.Context, now time.Time) {
	kept := historyRetention
	if h.capacity.plan(now).IsTight {
		kept = tightHistoryRetention
	}
	if before, due := h.appended.due(kept, now); due {
		h.appended.trimmed(before)
		go h.trim(ctx, before)
	}
}

// clearHistory trims all of the shard's history while the store is full, so that turns can
// be recorded again. A successor that is reading ahead has to start over.
func (h *holder) clearHistory(ctx context.Context, now time.Time) {
	if now.Sub(h.appended.clearedAt) < fullTrimInterval {
		return
	}
	h.appended.clearedAt = now
	h.appended.trimmed(h.appended.end)
	h.logger.Warn().Uint64("epoch", h.epoch).Int64("before", h.appended.end).Int64("written", h.appended.written).
		Msg("The store is full. All history of the shard is trimmed.")
	go h.trim(ctx, h.appended.end)
}

// makeRoom trims all history of a shard before it is claimed from a full store, and reports
// whether it could. A claim is an append, and after the loss of all daemons no holder makes
// room. Trimming needs no claim.
func (h *holder) makeRoom(ctx context.Context) bool {
	page, err := h.records.page(ctx, h.partition, lastKey, func() {})
	if err != nil {
		h.logger.Warn().Err(err).Msg("The store is full, and the end of the shard's history could not be read.")
		return false
	}
	h.logger.Warn().Int64("before", page.End).Msg("The store is full. All history of the shard is trimmed for a claim.")
	h.trim(ctx, page.End)
	return true
}

// trim trims the shard's history before an offset.
func (h *holder) trim(ctx context.Context, before int64) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeTrim), trimTimeout)
	defer cancel()
	err := h.records.Trim(ctx, h.partition, before)
	h.metrics.trimmed(err)
	if err != nil {
		h.logger.Info().Err(err).Int64("before", before).Msg("History not trimmed. The next call trims it as well.")
	}
}
