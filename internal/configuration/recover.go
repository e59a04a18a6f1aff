package configuration

import (
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// StreamSnapshots carries packed snapshots of the fold. A notice in the
// configuration stream tells where each stands, so that a fresh daemon finds
// the latest without reading the others.
const StreamSnapshots framework.StreamName = "configuration-snapshots"

// recovery looks for the latest snapshot: it finds the end of the
// configuration stream by halving, reads back to the latest notice of a
// snapshot, and loads that. Peers may bring the store up meanwhile; what is
// furthest wins.
type recovery struct {
	store *Store
	// known has an entry, unknown may be beyond the end.
	lowerBound, upperBound structs.LogOffset
	notices                []SnapshotNotice
}

// recover brings a fresh store up from the log and then begins to poll. Any
// failure falls back to folding from where the store is.
func (s *Store) recover() {
	if s.Guards.AcceptOlder {
		s.poll()
		return
	}
	r := &recovery{store: s, lowerBound: -1, upperBound: structs.LogOffset(s.Settings.SnapshotEvery)}
	r.findUpperBound()
}

// read reads the log on behalf of the recovery, and polls instead on failure.
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

// grow doubles the offset until there is no entry.
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

// halve narrows the end down to the length of a window.
func (r *recovery) bisectEnd() {
	if r.lowerBound < 0 {
		r.store.poll() // short enough to fold from the beginning
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

// searchBack reads a window for notices, and the window before it if there
// are none.
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

// load takes the latest snapshot that is good.
func (r *recovery) loadSnapshot() {
	s := r.store
	if len(r.notices) == 0 {
		s.poll()
		return
	}
	notice := r.notices[len(r.notices)-1]
	if s.state.Next >= notice.Offset {
		s.poll() // a peer was faster
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
			s.Logger.Warn().Err(err).Msg("Configuration snapshot in the log refused.")
			r.loadSnapshot()
			return
		}
		s.adopt(state)
		s.poll()
	})
}
