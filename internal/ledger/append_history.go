package ledger

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// historyRetention is how long a shard's history is kept: a successor has
	// prepareTimeout to read the shard ahead, its claim may continue from what it read for
	// readAheadTTL, and takes up to takeTimeout to arrive.
	historyRetention = prepareTimeout + readAheadTTL + takeTimeout
	// tightHistoryRetention replaces historyRetention while the store is nearly full. A
	// successor that reads ahead for longer must start over, but more programs are
	// admitted.
	tightHistoryRetention = 2 * time.Second
	// minTrimBytes is the least history, in bytes, that is worth a call to the store. A busy
	// shard appends that much in one to two seconds.
	minTrimBytes = 128 << 10
	// rateWindow is the window of the append rate, about the age of the reports that carry
	// it.
	rateWindow = 2 * time.Second
	// markInterval is the interval of the marks from which a holder derives the age of
	// history.
	markInterval = time.Second
)

// appendHistory tracks a shard's history in the store: the log of appended records, as
// opposed to the texts of turns.
type appendHistory struct {
	// first is the offset from which on this holder has not trimmed history, and end the
	// offset after the latest record.
	first, end int64
	// inherited is the end of the history from before the claim. Its size is not known, so
	// it always counts as worth trimming.
	inherited int64
	// written counts the bytes appended so far, and trimmedBytes those of them that were
	// trimmed.
	written, trimmedBytes int64
	marks                 []historyMark
	// clearedAt is when the whole history was last trimmed because the store was full.
	clearedAt time.Time
}

// historyMark records where a shard's history ended at some time, and how many bytes had
// been written by then.
type historyMark struct {
	at           time.Time
	end, written int64
}

// newAppendHistory returns the history of a shard that was claimed, which ends before end
// and of which everything before old is older than historyRetention. The old part is worth
// trimming at once, the rest once it is old as well.
func newAppendHistory(end, old int64, now time.Time) *appendHistory {
	h := &appendHistory{end: end}
	if end > 1 { // otherwise there is only this claim
		h.inherited = end
	}
	if old > 0 {
		h.marks = append(h.marks, historyMark{at: now.Add(-historyRetention), end: old})
	}
	h.marks = append(h.marks, historyMark{at: now, end: end})
	return h
}

// oldHistoryEnd returns the offset before which a shard's history is older than
// historyRetention, judging by the records that were read; 0 if none is known to be. A
// turn's record was appended when the turn was last used according to the record. This way
// a shard that moves more often than historyRetention is trimmed as well.
func (s *state) oldHistoryEnd(records []store.Record, now time.Time) (before int64) {
	for _, record := range records {
		id, isTurn := strings.CutPrefix(record.Key, turnPrefix)
		if entry := s.turns[id]; isTurn && entry != nil && now.Sub(entry.usedAt) >= historyRetention {
			before = max(before, record.Offset+1)
		}
	}
	return before
}

// note records that records were appended.
func (h *appendHistory) note(records []store.Record, now time.Time) {
	h.end += int64(len(records))
	h.written += int64(store.SizeOf(records))
	if last := len(h.marks) - 1; last < 0 || now.Sub(h.marks[last].at) >= markInterval {
		h.marks = append(h.marks, historyMark{at: now, end: h.end, written: h.written})
	}
}

// due returns the offset before which history older than kept should be trimmed; false if
// it is not worth a call.
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
	worthTrimming := mark.written-h.trimmedBytes >= minTrimBytes || h.first < h.inherited
	return mark.end, mark.end > h.first && worthTrimming
}

// bytes returns how many bytes of history this holder appended and did not trim.
func (h *appendHistory) bytes() int64 { return h.written - h.trimmedBytes }

// rate returns the bytes per second appended during about the last rateWindow.
func (h *appendHistory) rate(now time.Time) int64 {
	if len(h.marks) == 0 {
		return 0
	}
	from := h.marks[0]
	for _, mark := range h.marks {
		if now.Sub(mark.at) >= rateWindow {
			from = mark
		}
	}
	return int64(float64(h.written-from.written) / max(now.Sub(from.at), markInterval).Seconds())
}

// trimmed records that history before an offset is being trimmed.
func (h *appendHistory) trimmed(before int64) {
	h.first = before
	for _, mark := range h.marks {
		if mark.end <= before {
			h.trimmedBytes = mark.written
		}
	}
}
