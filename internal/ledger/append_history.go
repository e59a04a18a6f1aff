package ledger

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// historyKept is how long a shard's history is kept: a successor has prepareTime to read
	// it ahead, and what it read can be gone on from for readAheadLife, until its claim.
	historyKept = prepareTime + readAheadLife + takeTime
	// trimBytes is the least history, in bytes, that is worth a call to the store: a shard of
	// the busiest deployment measured appends that much in two to four seconds.
	trimBytes = 256 << 10
	// markInterval separates the marks by which a holder knows how old history is.
	markInterval = time.Second
)

// appendHistory is what a holder knows of its shard's history in the store: of the records that
// were appended, not of the texts of turns.
type appendHistory struct {
	// first is the offset from which on history was not trimmed by this holder, and end the
	// one after the latest record.
	first, end int64
	// written are the bytes appended so far, and trimmedBytes how many of them the trimmings
	// took.
	written, trimmedBytes int64
	marks                 []historyMark
	// clearedAt is when all was trimmed last, because the store was full.
	clearedAt time.Time
}

// historyMark is where a shard's history ended at some time, and how many bytes it then had.
type historyMark struct {
	at           time.Time
	end, written int64
}

// newAppendHistory returns the history of a shard that was claimed, whose end is known, and
// what of it is old. Both count as worth trimming, the rest once it is old, too.
func newAppendHistory(end, old int64, now time.Time) *appendHistory {
	h := &appendHistory{end: end}
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

// oldAppends returns the offset before which a shard's history is older than historyKept, by
// the records that were read of it; 0 if none is known to be. A turn's record was appended
// when the turn was last used as the record tells. So a shard that moves more often than
// historyKept is trimmed, too.
func (s *state) oldAppends(records []store.Record, now time.Time) (before int64) {
	for _, record := range records {
		id, isTurn := strings.CutPrefix(record.Key, turnPrefix)
		if entry := s.turns[id]; isTurn && entry != nil && now.Sub(entry.usedAt) >= historyKept {
			before = max(before, record.Offset+1)
		}
	}
	return before
}

// note takes note of records that were appended.
func (h *appendHistory) note(records []store.Record, now time.Time) {
	h.end += int64(len(records))
	h.written += int64(store.SizeOf(records))
	if last := len(h.marks) - 1; last < 0 || now.Sub(h.marks[last].at) >= markInterval {
		h.marks = append(h.marks, historyMark{at: now, end: h.end, written: h.written})
	}
}

// due returns the offset before which history is to be trimmed; false if it is not worth it.
func (h *appendHistory) due(now time.Time) (before int64, due bool) {
	oldMarks := 0
	for oldMarks < len(h.marks) && now.Sub(h.marks[oldMarks].at) >= historyKept {
		oldMarks++
	}
	if oldMarks == 0 {
		return 0, false
	}
	mark := h.marks[oldMarks-1]
	h.marks = h.marks[oldMarks-1:]
	return mark.end, mark.end > h.first && mark.written-h.trimmedBytes >= trimBytes
}

// trimmed takes note that history before an offset is being trimmed.
func (h *appendHistory) trimmed(before int64) {
	h.first = before
	for _, mark := range h.marks {
		if mark.end <= before {
			h.trimmedBytes = mark.written
		}
	}
}
