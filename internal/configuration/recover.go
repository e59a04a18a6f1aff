package configuration

import (
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// StreamSnapshots carries encoded snapshots of the state. A notice in the
// configuration stream gives the offset of each, so that a starting daemon
// loads the latest without reading the others.
const StreamSnapshots framework.StreamName = "configuration-snapshots"

// recovery loads the latest snapshot: it finds the end of the configuration
// stream by exponential search and bisection, scans backward to the latest
// snapshot notice and loads that snapshot. Peers may advance the store
// meanwhile; the higher offset wins.
type recovery struct {
	store *Store
	// An entry exists at lowerBound (-1: none found); upperBound may be beyond
	// the end.
	lowerBound, upperBound structs.LogOffset
	notices                []SnapshotNotice
}

// recover restores a starting store from the log and then begins to poll. On
// any failure the store folds the log from its present offset.
func (s *Store) recover() {
	if s.Guards.AcceptOlder {
		s.poll()
		return
	}
	r := &recovery{store: s, lowerBound: -1, upperBound: structs.LogOffset(s.Settings.SnapshotEvery)}
	r.findUpperBound()
}

// read reads entries and passes them to next. On an error it abandons the
// recovery and starts polling.
func (r *recovery) read(stream framework.StreamName, from structs.LogOffset, limit int, next func([]framework.LogEntry)) {
	s := r.store
	s.Log.Read(stream, from, limit, func(entries []framework.LogEntry, err error) {
		s.queue.Do(func() {
			switch {
			case s.stopped:
			case err != nil:
				s.poll()
			default:
				next(entries)
			}
		})
	})
}

// findUpperBound doubles the offset until no entry is found.
func (r *recovery) findUpperBound() {
	r.read(framework.StreamConfiguration, r.upperBound, 1, func(entries []framework.LogEntry) {
		if len(entries) == 0 {
			r.bisectEnd()
			return
		}
		r.lowerBound = r.upperBound
		r.upperBound *= 2
		r.findUpperBound()
	})
}

// bisectEnd narrows the end of the stream down to one snapshot window.
func (r *recovery) bisectEnd() {
	if r.lowerBound < 0 {
		r.store.poll() // the log is short enough to be folded from the beginning
		return
	}
	window := structs.LogOffset(r.store.Settings.SnapshotEvery)
	if r.upperBound-r.lowerBound <= window {
		r.scanBackward(max(r.lowerBound-window, 0), r.upperBound)
		return
	}
	middle := (r.lowerBound + r.upperBound) / 2
	r.read(framework.StreamConfiguration, middle, 1, func(entries []framework.LogEntry) {
		if len(entries) == 0 {
			r.upperBound = middle
		} else {
			r.lowerBound = middle
		}
		r.bisectEnd()
	})
}

// scanBackward scans a window for snapshot notices, and the windows before it
// until it finds one.
func (r *recovery) scanBackward(first, end structs.LogOffset) {
	r.scanWindow(first, first, end)
}

func (r *recovery) scanWindow(at, first, end structs.LogOffset) {
	limit := min(maximumReadEntries, int(end-at))
	r.read(framework.StreamConfiguration, at, limit, func(entries []framework.LogEntry) {
		for _, entry := range entries {
			if decoded, err := DecodeEntry(entry.Payload); err == nil && decoded.Snapshot != nil {
				r.notices = append(r.notices, *decoded.Snapshot)
			}
		}
		at += structs.LogOffset(len(entries))
		switch {
		case len(entries) > 0 && at < end:
			r.scanWindow(at, first, end)
		case len(r.notices) > 0:
			r.loadSnapshot()
		case first > 0:
			window := structs.LogOffset(r.store.Settings.SnapshotEvery)
			r.scanBackward(max(first-window, 0), first)
		default:
			r.store.poll()
		}
	})
}

// loadSnapshot adopts the latest snapshot that is valid.
func (r *recovery) loadSnapshot() {
	s := r.store
	if len(r.notices) == 0 {
		s.poll()
		return
	}
	notice := r.notices[len(r.notices)-1]
	if s.state.Next >= notice.Offset {
		s.poll() // entries from a peer have already passed the snapshot
		return
	}
	r.notices = r.notices[:len(r.notices)-1]
	r.read(StreamSnapshots, notice.StoredAt, 1, func(entries []framework.LogEntry) {
		if len(entries) == 0 || entries[0].Offset != notice.StoredAt {
			r.loadSnapshot()
			return
		}
		state, err := DecodeSnapshot(entries[0].Payload, notice.Digest)
		if err != nil || state.Next != notice.Offset {
			s.Logger.Warn().Err(err).Msg("Configuration snapshot in the log rejected.")
			r.loadSnapshot()
			return
		}
		s.adopt(state)
		s.poll()
	})
}
