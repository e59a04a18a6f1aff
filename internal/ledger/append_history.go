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
	// tightHistoryKept is the same while room in the store is tight: a successor that reads for
	// longer begins anew, and an eighth more programs are let in.
	tightHistoryKept = 2 * time.Second
	// trimBytes is the least history, in bytes, that is worth a call to the store: a shard of
	// the busiest deployment measured appends that much in one to two seconds.
	trimBytes = 128 << 10
	// rateTime is over what time the rate of appends is taken: about the age of reports of it.
	rateTime = 2 * time.Second
	// markInterval separates the marks by which a holder knows how old history is.
	markInterval = time.Second
)

// appendHistory is what a holder knows of its shard's history in the store: of the records that
// were appended, not of the texts of turns.
type appendHistory struct {
	// first is the offset from which on history was not trimmed by this holder, and end the
	// one after the latest record.
	first, end int64
	// inherited is the offset after the history of before the claim, whose bytes are not
	// known: it counts as worth trimming.
	inherited int64
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
	if end > 1 { // else there is nothing but this claim
		h.inherited = end
	}
	if old > 0 {
		h.marks = append(h.marks, historyMark{at: now.Add(-historyKept), end: old})
	}
	h.marks = append(h.marks, historyMark{at: now, end: end})
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

// due returns the offset before which history that is older than kept is to be trimmed; false if
// it is not worth it.
func (h *appendHistory) due(kept time.Duration, now time.Time) (before int64, due bool) {
	oldMarks := 0
	for oldMarks < len(h.marks) && now.Sub(h.marks[oldMarks].at) >= kept {
		oldMarks++
	}
	if oldMarks == 0 {
		return 0, false
	}
	mark := h.marks[oldMarks-1]
	h.marks = h.marks[oldMarks-1:]
	isWorthIt := mark.written-h.trimmedBytes >= trimBytes || h.first < h.inherited
	return mark.end, mark.end > h.first && isWorthIt
}

// bytes returns how many bytes of history this holder appended and did not trim.
func (h *appendHistory) bytes() int64 { return h.written - h.trimmedBytes }

// rate returns how many bytes a second were appended in the last rateTime or so.
func (h *appendHistory) rate(now time.Time) int64 {
	if len(h.marks) == 0 {
		return 0
	}
	from := h.marks[0]
	for _, mark := range h.marks {
		if now.Sub(mark.at) >= rateTime {
			from = mark
		}
	}
	return int64(float64(h.written-from.written) / max(now.Sub(from.at), markInterval).Seconds())
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
