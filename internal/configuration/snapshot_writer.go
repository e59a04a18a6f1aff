package configuration

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumRank bounds the pause before a snapshot in a large fleet.
const maximumSnapshotRank = 30

// snapshotWriter keeps at most one snapshot under way.
type snapshotWriter struct{ pending bool }

// considerSnapshot plans a snapshot when the latest is old. The daemons take
// turns in an order that differs from snapshot to snapshot; whoever finds at
// its turn that another's notice came meanwhile does nothing. Two snapshots of
// one offset do no harm.
func (s *Store) scheduleSnapshotIfDue() {
	if s.writer.pending || !s.snapshotDue() {
		return
	}
	s.writer.pending = true
	s.after(time.Duration(s.snapshotRank())*s.Settings.SnapshotPause, s.writeSnapshot)
}

func (s *Store) snapshotDue() bool {
	return s.serving && int(s.state.Next-s.state.Snapshot.Offset) >= s.Settings.SnapshotEvery
}

// rank is this daemon's turn among its peers for the next snapshot.
func (s *Store) snapshotRank() int {
	turn := func(daemon structs.DaemonID) uint64 {
		return xxhash.Sum64String(fmt.Sprint(daemon, s.state.Snapshot.Offset))
	}
	rank, own := 0, turn(s.Self)
	for _, daemon := range s.Peers() {
		if turn(daemon) < own {
			rank++
		}
	}
	return min(rank, maximumSnapshotRank)
}

// writeSnapshot stores the snapshot first and tells of it afterwards, so that
// no notice ever stands without its snapshot. If either append fails, nothing
// is known to be lost: the next turn writes another.
func (s *Store) writeSnapshot() {
	if !s.snapshotDue() {
		s.writer.pending = false
		return
	}
	data, err := EncodeSnapshot(s.state)
	if err != nil {
		s.Logger.Error().Err(err).Msg("Configuration snapshot not packed.")
		s.finishSnapshot()
		return
	}
	notice := SnapshotNotice{Offset: s.state.Next, Digest: s.state.Digest()}
	operation := fmt.Sprintf("snapshot-%d-%s", notice.Offset, s.Self)
	s.Log.Append(StreamSnapshots, operation, data, func(storedAt structs.LogOffset, err error) {
		s.queue.Do(func() {
			if err != nil || s.stopped {
				s.finishSnapshot()
				return
			}
			notice.StoredAt = storedAt
			s.appendNotice(operation, notice)
		})
	})
}

// appendNotice writes the entry that tells readers of a snapshot. After an error
// the next plan writes a snapshot again.
func (s *Store) appendNotice(operation string, notice SnapshotNotice) {
	payload, err := EncodeEntry(Entry{Snapshot: &notice})
	if err != nil {
		s.Logger.Error().Err(err).Msg("Notice of a configuration snapshot not encoded.")
		s.finishSnapshot()
		return
	}
	s.Log.Append(framework.StreamConfiguration, operation, payload, func(structs.LogOffset, error) {
		s.queue.Do(s.finishSnapshot)
	})
}

// snapshotEnded leaves time for the notice to be read before the next plan.
func (s *Store) finishSnapshot() {
	s.after(s.Settings.SnapshotPause, func() {
		s.writer.pending = false
		s.scheduleSnapshotIfDue()
	})
}
