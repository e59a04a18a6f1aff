package configuration

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maximumSnapshotRank bounds the delay before a snapshot in a large fleet.
const maximumSnapshotRank = 30

// snapshotWriter ensures that at most one snapshot is scheduled or being
// written.
type snapshotWriter struct{ pending bool }

// scheduleSnapshotIfDue schedules a snapshot when enough entries follow the
// latest one. Daemons are delayed by their rank, which differs from snapshot to
// snapshot; a daemon writes none if another's notice has arrived by then. Two
// snapshots of one offset are harmless.
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

// snapshotRank returns this daemon's rank among its peers for the next snapshot.
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

// writeSnapshot stores a snapshot and then appends its notice, so that no notice
// exists without its snapshot. If either append fails, a later attempt writes
// another snapshot.
func (s *Store) writeSnapshot() {
	if !s.snapshotDue() {
		s.writer.pending = false
		return
	}
	data, err := EncodeSnapshot(s.state)
	if err != nil {
		s.Logger.Error().Err(err).Msg("Configuration snapshot could not be encoded.")
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

// appendNotice appends the entry that announces a snapshot. A failure is not
// retried: without the notice, a snapshot is due again.
func (s *Store) appendNotice(operation string, notice SnapshotNotice) {
	payload, err := EncodeEntry(Entry{Snapshot: &notice})
	if err != nil {
		s.Logger.Error().Err(err).Msg("Notice of a configuration snapshot could not be encoded.")
		s.finishSnapshot()
		return
	}
	s.Log.Append(framework.StreamConfiguration, operation, payload, func(structs.LogOffset, error) {
		s.queue.Do(s.finishSnapshot)
	})
}

// finishSnapshot allows time for the notice to be read before the next snapshot
// can be scheduled.
func (s *Store) finishSnapshot() {
	s.after(s.Settings.SnapshotPause, func() {
		s.writer.pending = false
		s.scheduleSnapshotIfDue()
	})
}
