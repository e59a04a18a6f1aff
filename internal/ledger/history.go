package ledger

import (
	"context"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// The store keeps the newest record of each key, and besides it the history of all
// appends, within one bound on the bytes of both for the whole fleet. A successor that reads a
// shard ahead goes on from the last seconds of its history; nothing else reads it. So a
// shard's holder trims what is older. Without that, 48 shards with 4 MB each of newest
// records filled the 400 MB of a store after 65 s, as much again being history, and from then on
// no turn could be recorded.

const (
	// historyKept is how long a shard's history is kept: a successor has prepareTime to read
	// it ahead, and what it read can be gone on from for readAheadLife, until its claim.
	historyKept = prepareTime + readAheadLife + takeTime
	// trimBytes is the least history, in bytes, that is worth a call to the store: a shard of
	// the busiest deployment measured appends that much in two to four seconds.
	trimBytes = 256 << 10
	// markInterval separates the marks by which a holder knows how old history is.
	markInterval = time.Second
	// trimTimeout bounds a call; one that is not answered is made up for by the next.
	trimTimeout = 2 * time.Second
	// fullPause separates calls that trim all history of a shard while the store is full.
	fullPause = time.Second
)

// history is what a holder knows of its shard's history in the store.
type history struct {
	// first is the offset from which on history was not trimmed by this holder, and end the
	// one after the latest record.
	first, end int64
	// written are the bytes appended so far, and trimmedAt what of them the last trimming
	// took.
	written, trimmedAt int64
	marks              []historyMark
	// clearedAt is when all was trimmed last, because the store was full.
	clearedAt time.Time
}

// historyMark is where a shard's history ended at some time.
type historyMark struct {
	at           time.Time
	end, written int64
}

// newHistory returns the history of a shard that was claimed, whose end is known, and
// what of it is old. Both count as worth trimming, the rest once it is old, too.
func newHistory(end, old int64, now time.Time) *history {
	h := &history{end: end}
	if old > 0 {
		h.written += trimBytes
		h.marks = append(h.marks, historyMark{at: now.Add(-historyKept), end: old, written: h.written})
	}
	if end > 1 { // else there is nothing but this claim
		h.written += trimBytes
	}
	h.marks = append(h.marks, historyMark{at: now, end: end, written: h.written})
	return h
}

// oldHistory returns the offset before which a shard's history is older than historyKept, by
// the records that were read of it; 0 if none is known to be. A turn's record was appended
// when the turn was last used as the record tells. So a shard that moves more often than
// historyKept is trimmed, too.
func (s *state) oldHistory(records []store.Record, now time.Time) (before int64) {
	for _, record := range records {
		id, isTurn := strings.CutPrefix(record.Key, turnPrefix)
		if entry := s.turns[id]; isTurn && entry != nil && now.Sub(entry.usedAt) >= historyKept {
			before = max(before, record.Offset+1)
		}
	}
	return before
}

// note takes note of records that were appended.
func (h *history) note(records []store.Record, now time.Time) {
	h.end += int64(len(records))
	h.written += int64(store.SizeOf(records))
	if last := len(h.marks) - 1; last < 0 || now.Sub(h.marks[last].at) >= markInterval {
		h.marks = append(h.marks, historyMark{at: now, end: h.end, written: h.written})
	}
}

// due returns the offset before which history is to be trimmed; false if it is not worth it.
func (h *history) due(now time.Time) (before int64, due bool) {
	old := 0
	for old < len(h.marks) && now.Sub(h.marks[old].at) >= historyKept {
		old++
	}
	if old == 0 {
		return 0, false
	}
	mark := h.marks[old-1]
	h.marks = h.marks[old-1:]
	return mark.end, mark.end > h.first && mark.written-h.trimmedAt >= trimBytes
}

// trimmed takes note that history before an offset is being trimmed.
func (h *history) trimmed(before int64) {
	h.first = before
	for _, mark := range h.marks {
		if mark.end <= before {
			h.trimmedAt = mark.written
		}
	}
}

// trimHistory trims the shard's history, if that is due.
func (h *holder) trimHistory(ctx context.Context, now time.Time) {
	if before, due := h.history.due(now); due {
		h.history.trimmed(before)
		go h.trim(ctx, before)
	}
}

// clearHistory trims all of the shard's history while the store is full: a successor that
// reads ahead at this moment begins anew, and turns can be recorded again.
func (h *holder) clearHistory(ctx context.Context, now time.Time) {
	if now.Sub(h.history.clearedAt) < fullPause {
		return
	}
	h.history.clearedAt = now
	h.history.trimmed(h.history.end)
	h.logger.Warn().Uint64("epoch", h.epoch).Int64("before", h.history.end).Int64("written", h.history.written).
		Msg("The store is full. All history of the shard is trimmed.")
	go h.trim(ctx, h.history.end)
}

// trim trims the shard's history before an offset.
func (h *holder) trim(ctx context.Context, before int64) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeTrim), trimTimeout)
	defer cancel()
	err := h.records.Trim(ctx, h.partition, before)
	h.metrics.trimmed(err)
	if err != nil {
		h.logger.Info().Err(err).Int64("before", before).Msg("History not trimmed. The next time makes up for it.")
	}
}
