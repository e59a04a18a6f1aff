package replication

import (
	"encoding/json"
	"slices"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// archiveReadWindow is how many entries are read at a time, from the end of
	// the stream backwards.
	archiveReadWindow = 16
	// maxArchiveEntriesRead limits the entries that are read.
	maxArchiveEntriesRead = 8192
)

// archiveReader finds the latest complete state in a shard's archive. It reads
// backwards from the end, since the stream may be long and can only be
// addressed by offset.
type archiveReader struct {
	log    framework.EventLog
	stream framework.StreamName
	chains map[chainID]*chain
	read   int
	done   func(*archivedState, error)
}

// readArchive passes done the latest complete state of a shard, nil if there is
// none, or the log's error.
func (m *Manager) readArchive(shard structs.ShardNumber, done func(*archivedState, error)) {
	r := &archiveReader{log: m.Log, stream: archiveStream(shard), chains: map[chainID]*chain{}, done: done}
	r.findEnd(0, 1)
}

// findEnd searches for the end of the stream: there are entries below low, and
// step doubles until there is none from low+step-1 on.
func (r *archiveReader) findEnd(low, step structs.LogOffset) {
	r.hasEntryFrom(low+step-1, func(found bool) {
		if found {
			r.findEnd(low+step, 2*step)
			return
		}
		r.bisectEnd(low, low+step-1)
	})
}

// bisectEnd searches for the end between low, below which there are entries,
// and high, where there is none.
func (r *archiveReader) bisectEnd(low, high structs.LogOffset) {
	if low >= high {
		r.readBefore(low)
		return
	}
	middle := low + (high-low)/2
	r.hasEntryFrom(middle, func(found bool) {
		if found {
			r.bisectEnd(middle+1, high)
			return
		}
		r.bisectEnd(low, middle)
	})
}

// hasEntryFrom passes then whether there is an entry at an offset or after it.
// After an error it ends the search and passes that to done.
func (r *archiveReader) hasEntryFrom(offset structs.LogOffset, then func(bool)) {
	r.log.Read(r.stream, offset, 1, func(entries []framework.LogEntry, err error) {
		if err != nil {
			r.done(nil, err)
			return
		}
		then(len(entries) > 0)
	})
}

// readBefore reads the window of entries before an offset.
func (r *archiveReader) readBefore(end structs.LogOffset) {
	if end <= 0 || r.read >= maxArchiveEntriesRead {
		r.done(nil, nil)
		return
	}
	begin := max(end-archiveReadWindow, 0)
	r.readWindow(begin, begin, end)
}

// readWindow reads from next to the window's end.
func (r *archiveReader) readWindow(begin, next, end structs.LogOffset) {
	if next >= end {
		r.finishWindow(begin)
		return
	}
	r.log.Read(r.stream, next, int(end-next), func(entries []framework.LogEntry, err error) {
		if err != nil {
			r.done(nil, err)
			return
		}
		if len(entries) == 0 {
			r.finishWindow(begin)
			return
		}
		for _, entry := range entries {
			r.addEntry(entry)
		}
		r.readWindow(begin, entries[len(entries)-1].Offset+1, end)
	})
}

func (r *archiveReader) addEntry(entry framework.LogEntry) {
	r.read++
	var piece archivePiece
	if json.Unmarshal(entry.Payload, &piece) != nil {
		return
	}
	if r.chains[piece.Chain] == nil {
		r.chains[piece.Chain] = &chain{id: piece.Chain, parts: map[int]*archivedPart{}}
	}
	r.chains[piece.Chain].addPiece(piece)
}

// finishWindow passes done the state of the latest chain with a complete
// snapshot, or reads the window before if there is none.
func (r *archiveReader) finishWindow(begin structs.LogOffset) {
	var complete []*chain
	for _, read := range r.chains {
		if read.isComplete(0) {
			complete = append(complete, read)
		}
	}
	slices.SortFunc(complete, func(a, b *chain) int { return b.id.compare(a.id) })
	for _, candidate := range complete {
		if state, err := candidate.state(); err == nil {
			r.done(state, nil)
			return
		}
	}
	r.readBefore(begin)
}
