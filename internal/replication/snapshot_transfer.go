package replication

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// maxSnapshotBytes limits a decompressed snapshot.
const maxSnapshotBytes = 1 << 30

// errMalformedSnapshot is returned when a snapshot cannot be encoded or
// decoded.
var errMalformedSnapshot = eris.New("replication: malformed snapshot")

// The codec is shared, since its working memory is large compared to most
// snapshots. Its constructors fail only for options out of range, and the
// options are fixed.
var codec = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	return encoder, decoder
})

// packSnapshot compresses a state machine's snapshot.
func packSnapshot(machine StateMachine) ([]byte, error) {
	data, err := machine.Snapshot()
	if err != nil {
		return nil, eris.Wrap(errMalformedSnapshot, err.Error())
	}
	encoder, _ := codec()
	return encoder.EncodeAll(data, nil), nil
}

// unpackSnapshot restores a state machine from a compressed snapshot.
func unpackSnapshot(machine StateMachine, packed []byte) error {
	_, decoder := codec()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return eris.Wrap(errMalformedSnapshot, err.Error())
	}
	if err := machine.Restore(data); err != nil {
		return eris.Wrap(errMalformedSnapshot, err.Error())
	}
	return nil
}

// outgoingSnapshot is a snapshot being sent to one member, with one chunk in
// flight at a time.
type outgoingSnapshot struct {
	progress *progress
	index    structs.Index
	epoch    structs.Epoch
	group    Group
	data     []byte
	offset   int
}

// startTransfer sends the applied state to a member for which the log does not
// go back far enough. When all transfer slots are in use it waits for the next
// retry.
func (p *progress) startTransfer() {
	l := p.leader
	if !l.acquireTransferSlot() {
		return
	}
	data, err := packSnapshot(l.machine)
	if err != nil {
		l.logger.Error().Err(err).Msg("Snapshot cannot be encoded.")
		l.releaseTransferSlot()
		return
	}
	epoch, _ := l.log.epochAt(l.applied)
	p.transfer = &outgoingSnapshot{
		progress: p,
		index:    l.applied,
		epoch:    epoch,
		group:    l.log.groupAt(l.applied),
		data:     data,
	}
	l.logger.Debug().Str("member", string(p.member)).Int("bytes", len(data)).Msg("Snapshot transfer started.")
	p.transfer.sendChunk()
}

func (p *progress) endTransfer() {
	if p.transfer != nil {
		p.transfer = nil
		p.leader.releaseTransferSlot()
	}
}

// sendChunk sends the chunk at the current offset.
func (t *outgoingSnapshot) sendChunk() {
	l := t.progress.leader
	end := min(t.offset+l.Settings.SnapshotChunkBytes, len(t.data))
	l.replica.send(t.progress.member, &SnapshotChunk{
		Shard:      l.shard,
		Epoch:      l.epoch,
		Index:      t.index,
		IndexEpoch: t.epoch,
		Group:      t.group,
		Offset:     t.offset,
		Total:      len(t.data),
		Data:       t.data[t.offset:end],
		Round:      l.round,
	})
}

// continueAt sends the chunk at an offset. After an older reply, or when the
// member starts again, it waits for the retry: a duplicated reply must not
// duplicate the chunks.
func (t *outgoingSnapshot) continueAt(next int) {
	forward := next > t.offset
	t.offset = next
	if forward {
		t.progress.recordReply()
		t.sendChunk()
		t.progress.schedule()
	}
}

// receiveSnapshotChunkReply sends the next chunk, or ends the transfer.
func (r *replica) receiveSnapshotChunkReply(from structs.DaemonID, m *SnapshotChunkReply) {
	if m.Epoch > r.voteState.epoch {
		r.observe(m.Epoch)
		r.scheduleElection()
		return
	}
	if r.leaderState == nil || m.Epoch != r.voteState.epoch {
		return
	}
	p := r.leaderState.progress[from]
	if p == nil || p.transfer == nil || m.Round < p.firstRound || p.transfer.index != m.Index || m.Next < 0 || m.Next > len(p.transfer.data) {
		return
	}
	if m.Next < len(p.transfer.data) {
		p.transfer.continueAt(m.Next)
		return
	}
	p.recordReply()
	p.match = max(p.match, m.Index)
	p.next = p.match + 1
	p.inFlight = 0
	p.endTransfer()
	p.send(false)
	r.leaderState.commitMajority()
	if r.leaderState != nil {
		r.leaderState.advanceChange()
		r.leaderState.advanceLeadershipTransfer()
	}
}

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	from  structs.DaemonID
	epoch structs.Epoch
	index structs.Index
	data  []byte
}

// receiveSnapshotChunk adds a chunk, and installs the snapshot once it is complete.
func (r *replica) receiveSnapshotChunk(from structs.DaemonID, m *SnapshotChunk) {
	if !m.wellFormed() {
		r.logger.Warn().Str("from", string(from)).Msg("Malformed snapshot chunk refused.")
		return
	}
	if m.Epoch < r.voteState.epoch || (m.Epoch == r.voteState.epoch && r.leaderState != nil) {
		r.send(from, &SnapshotChunkReply{Shard: r.shard, Epoch: r.voteState.epoch, Index: m.Index})
		return
	}
	r.observe(m.Epoch)
	r.resetAfterClaim()
	r.follow(from)
	r.noteLeaderRound(m.Epoch, m.Round)
	if m.Index <= r.commit {
		r.incoming = nil
		r.send(from, &SnapshotChunkReply{Shard: r.shard, Epoch: m.Epoch, Index: m.Index, Next: m.Total, Round: m.Round})
		return
	}
	in := r.incoming
	if in == nil || in.from != from || in.epoch != m.Epoch || in.index != m.Index {
		in = &incomingSnapshot{from: from, epoch: m.Epoch, index: m.Index}
		r.incoming = in
	}
	if m.Offset == len(in.data) {
		in.data = append(in.data, m.Data...)
	}
	if len(in.data) == m.Total && !r.install(m, in.data) {
		in.data = nil
	}
	r.send(from, &SnapshotChunkReply{Shard: r.shard, Epoch: m.Epoch, Index: m.Index, Next: len(in.data), Round: m.Round})
}

// install replaces the state by a complete snapshot, and reports whether that was
// well-formed. Log entries that follow it and match it are kept.
func (r *replica) install(m *SnapshotChunk, data []byte) bool {
	machine := r.Application.NewStateMachine(r.shard)
	if err := unpackSnapshot(machine, data); err != nil {
		r.logger.Error().Err(err).Msg("Malformed snapshot refused.")
		return false
	}
	former := r.log
	r.machine.Discard()
	r.machine = machine
	r.log = newEntryLog(m.Index, m.IndexEpoch, m.Group)
	if epoch, known := former.epochAt(m.Index); known && epoch == m.IndexEpoch {
		for index := m.Index + 1; index <= former.last(); index++ {
			r.log.append(former.at(index))
		}
	}
	r.commit, r.applied = m.Index, m.Index
	r.incoming = nil
	r.publish()
	return true
}
