package configuration

import (
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumRetainedBytes bounds the payloads retained for peers that lag.
const maximumRetainedBytes = 1 << 20

// retainedEntries holds the latest entries of the log in order.
type retainedEntries struct {
	entries []framework.LogEntry
	bytes   int
}

func (r *retainedEntries) add(entry framework.LogEntry) {
	r.entries = append(r.entries, entry)
	r.bytes += len(entry.Payload)
	for r.bytes > maximumRetainedBytes && len(r.entries) > 1 {
		r.bytes -= len(r.entries[0].Payload)
		r.entries = r.entries[1:]
	}
}

func (r *retainedEntries) clear() { *r = retainedEntries{} }

// entriesFrom returns entries from an offset on: up to limit bytes, but at least
// one if there is any; false when that offset is no longer retained.
func (r *retainedEntries) entriesFrom(offset structs.LogOffset, limit int) ([]PeerEntry, bool) {
	if len(r.entries) == 0 || offset < r.entries[0].Offset {
		return nil, false
	}
	first := int(offset - r.entries[0].Offset)
	if first >= len(r.entries) {
		return nil, true
	}
	var result []PeerEntry
	for _, entry := range r.entries[first:] {
		limit -= len(entry.Payload)
		if limit < 0 && len(result) > 0 {
			break
		}
		result = append(result, PeerEntry{Offset: entry.Offset, Payload: entry.Payload})
	}
	return result, true
}
