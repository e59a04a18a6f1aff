package replication

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// minDeltaBytesBeforeSnapshot is how many bytes of deltas may follow a
	// small snapshot before a new one is written.
	minDeltaBytesBeforeSnapshot = 256 << 10
	// maxArchiveRetryDelay is the longest delay after a failed append; the
	// first is the archive's interval.
	maxArchiveRetryDelay = time.Minute
	// lostAppendSearchEntries is how many entries are searched for an append
	// whose answer was lost.
	lostAppendSearchEntries = 8
)

// archiver produces the archive of one shard during one leadership. It is used
// on the shard's queue only.
type archiver struct {
	leader *leaderState
	chain  chainID
	part   int
	// archived is the last index in the parts so far.
	archived structs.Index
	// pending are the pieces of the current part that are not written yet.
	pending []archivePiece
	// baseBytes and deltaBytes are the sizes of the chain's snapshot and
	// deltas.
	baseBytes, deltaBytes int
	// next is the offset after the latest piece written, 0 before the first.
	next structs.LogOffset
	// failed is set once a part could not be made, usually because it is too
	// large.
	failed bool
}

// nextWork returns the piece to write next, or a function that makes the next
// part, which may take long and runs off the shard's queue; neither if the
// archive is up to date.
func (a *archiver) nextWork() (*archivePiece, func() (archivePart, error)) {
	switch {
	case len(a.pending) > 0:
		return &a.pending[0], nil
	case a.failed || (a.chain != chainID{} && a.archived >= a.leader.applied):
		return nil, nil
	case (a.chain == chainID{}) || a.archived < a.leader.log.base || a.deltaBytes > max(a.baseBytes, minDeltaBytesBeforeSnapshot):
		// The log does not go back far enough, or the deltas are larger than
		// the snapshot.
		return nil, a.prepareSnapshot()
	default:
		return nil, a.prepareDelta()
	}
}

// prepareSnapshot starts a new chain with a snapshot.
func (a *archiver) prepareSnapshot() func() (archivePart, error) {
	l := a.leader
	encode, limit := l.machine.Freeze(), l.Settings.MaxArchivedSnapshotBytes
	index := l.applied
	epoch, _ := l.log.epochAt(index)
	part := archivePart{chain: chainID{Epoch: l.epoch, Index: index}, archived: index}
	return func() (archivePart, error) {
		state, err := encode()
		if err != nil {
			return part, eris.Wrap(errMalformedArchive, err.Error())
		}
		if len(state) > limit {
			return part, eris.Wrapf(errMalformedArchive, "a snapshot of %d bytes is too large", len(state))
		}
		return part, part.encode(archiveBase{Index: index, Epoch: epoch, State: state})
	}
}

// prepareDelta adds the committed entries that follow.
func (a *archiver) prepareDelta() func() (archivePart, error) {
	l := a.leader
	entries := l.log.from(a.archived+1, maxArchivePieceBytes)
	entries = slices.DeleteFunc(entries, func(entry Entry) bool { return entry.Index > l.applied })
	part := archivePart{chain: a.chain, number: a.part + 1, archived: entries[len(entries)-1].Index}
	return func() (archivePart, error) { return part, part.encode(entries) }
}

// archivePart is a part that is ready to be written.
type archivePart struct {
	chain  chainID
	number int
	// archived is the last index in the part.
	archived structs.Index
	pieces   []archivePiece
	size     int
}

func (p *archivePart) encode(content any) error {
	var err error
	p.pieces, p.size, err = encodePart(p.chain, p.number, content)
	return err
}

// partBuilt handles a part that is ready. After an error the shard is no longer
// archived in this leadership.
func (a *archiver) partBuilt(part archivePart, err error) {
	if err != nil {
		a.failed = true
		a.leader.logger.Warn().Err(err).Msg("Shard not archived.")
		return
	}
	a.chain, a.part, a.archived, a.pending = part.chain, part.number, part.archived, part.pieces
	if part.number == 0 {
		a.baseBytes, a.deltaBytes = part.size, 0
		return
	}
	a.deltaBytes += part.size
}

// pieceWritten records that the first pending piece is in the log.
func (a *archiver) pieceWritten(offset structs.LogOffset) {
	a.pending = a.pending[1:]
	a.next = offset + 1
}

// archiveWriter writes the archives of the shards that a daemon leads, one
// piece at a time. Nothing waits for it: while the log is unreachable it falls
// behind.
type archiveWriter struct {
	manager *Manager
	mutex   sync.Mutex
	timer   clock.Timer
	// nextShard is the shard to archive first. It advances once a part is
	// complete.
	nextShard  structs.ShardNumber
	retryDelay time.Duration
}

func (a *archiveWriter) start() {
	if a.manager.Settings.ArchivedShards > 0 {
		a.schedule(a.manager.Settings.ArchiveInterval + a.manager.jitter(a.manager.Settings.ArchiveInterval))
	}
}

func (a *archiveWriter) schedule(pause time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.timer = a.manager.Clock.AfterFunc(pause, func() {
		if !a.manager.isStopped() {
			a.archiveNext(a.replicas(), a.manager.Settings.ArchiveInterval)
		}
	})
}

// replicas returns the replicas that may be archived, from nextShard on.
func (a *archiveWriter) replicas() []*replica {
	a.mutex.Lock()
	turn := a.nextShard
	a.mutex.Unlock()
	var before, after []*replica
	for _, r := range a.manager.sortedReplicas() {
		switch {
		case int(r.shard) >= a.manager.Settings.ArchivedShards:
		case r.shard < turn:
			before = append(before, r)
		default:
			after = append(after, r)
		}
	}
	return append(after, before...)
}

// archiveNext writes the first piece that is due among replicas.
func (a *archiveWriter) archiveNext(replicas []*replica, pause time.Duration) {
	if len(replicas) == 0 {
		a.schedule(pause)
		return
	}
	r := replicas[0]
	r.queue.Do(func() {
		next := func() { a.manager.Clock.AfterFunc(0, func() { a.archiveNext(replicas[1:], pause) }) }
		l := r.leaderState
		if r.dropped || l == nil || !l.serving {
			next()
			return
		}
		if l.archiver == nil {
			l.archiver = &archiver{leader: l}
		}
		switch piece, build := l.archiver.nextWork(); {
		case piece != nil:
			a.append(l, *piece)
		case build != nil:
			a.buildPart(l, build, func() { a.archiveNext(replicas, pause) })
		default:
			next()
		}
	})
}

// buildPart makes a part off the shard's queue, adds it to the archiver on the
// queue, and then calls again.
func (a *archiveWriter) buildPart(l *leaderState, build func() (archivePart, error), again func()) {
	a.manager.Clock.AfterFunc(0, func() {
		part, err := build()
		l.queue.Do(func() {
			l.archiver.partBuilt(part, err)
			a.manager.Clock.AfterFunc(0, again)
		})
	})
}

func (a *archiveWriter) append(l *leaderState, piece archivePiece) {
	payload, err := json.Marshal(piece)
	if err != nil {
		l.logger.Error().Err(err).Msg("Archive piece cannot be encoded.")
		return
	}
	stream, operation := archiveStream(l.shard), piece.operation(l.shard)
	next := l.archiver.next
	l.Log.Append(stream, operation, payload, func(offset structs.LogOffset, err error) {
		if err == nil {
			a.appended(l, offset, len(payload))
			return
		}
		a.findLostAppend(l, stream, operation, next)
	})
}

// appended continues after the delay that the rate requires.
func (a *archiveWriter) appended(l *leaderState, offset structs.LogOffset, bytes int) {
	l.queue.Do(func() {
		l.archiver.pieceWritten(offset)
		turn := l.shard
		if len(l.archiver.pending) == 0 {
			turn++
		}
		a.mutex.Lock()
		a.nextShard, a.retryDelay = turn, 0
		a.mutex.Unlock()
		a.schedule(time.Duration(bytes) * time.Second / time.Duration(l.Settings.ArchiveRate))
	})
}

// findLostAppend searches for an append whose answer was lost. A piece before
// which no offset is known is written again instead, which is harmless.
func (a *archiveWriter) findLostAppend(l *leaderState, stream framework.StreamName, operation string, next structs.LogOffset) {
	if next == 0 {
		a.backOff()
		return
	}
	l.Log.Read(stream, next, lostAppendSearchEntries, func(entries []framework.LogEntry, err error) {
		found := slices.IndexFunc(entries, func(entry framework.LogEntry) bool { return entry.OperationID == operation })
		if err != nil || found < 0 {
			a.backOff()
			return
		}
		a.appended(l, entries[found].Offset, len(entries[found].Payload))
	})
}

// backOff doubles the delay each time that the log does not accept a piece.
func (a *archiveWriter) backOff() {
	a.mutex.Lock()
	a.retryDelay = min(max(2*a.retryDelay, a.manager.Settings.ArchiveInterval), maxArchiveRetryDelay)
	pause := a.retryDelay
	a.mutex.Unlock()
	a.schedule(pause)
}
