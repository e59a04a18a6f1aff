package replication

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// snapshotLimit bounds an unpacked snapshot in bytes.
const maxSnapshotBytes = 1 << 30

// errSnapshot: a snapshot could not be packed or read.
var errMalformedSnapshot = eris.New("replication: malformed snapshot")

// The codec is shared: its working memory is large beside most snapshots. Making
// it fails for options out of range alone, and these are fixed.
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

// outgoingSnapshot is a snapshot on its way to one member. One piece at a time
// is under way, so that a transfer never holds more than that in the network.
type outgoingSnapshot struct {
	progress *progress
	index    structs.Index
	epoch    structs.Epoch
	group    Group
	data     []byte
	offset   int
}

// startTransfer sends the applied state to a member for which the log does not
// go back far enough. With too many transfers under way it waits for the next
// retry.
func (p *progress) startTransfer() {
	l := p.leader
	if !l.acquireTransferSlot() {
		return
	}
	data, err := packSnapshot(l.machine)
	if err != nil {
		l.logger.Error().Err(err).Msg("Snapshot not made.")
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

// repeat sends the piece that the member wants next.
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

// taken goes on with the piece at an offset. Old news, and a member that starts
// anew, wait for the retry: a doubled answer must not double the pieces.
func (t *outgoingSnapshot) continueAt(next int) {
	forward := next > t.offset
	t.offset = next
	if forward {
		t.progress.recordReply()
		t.sendChunk()
		t.progress.schedule()
	}
}

// receiveChunkTaken sends the next piece.
func (r *replica) receiveChunkTaken(from structs.DaemonID, m *SnapshotChunkReply) {
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

// incomingSnapshot is a snapshot of which a part has arrived.
type incomingSnapshot struct {
	from  structs.DaemonID
	epoch structs.Epoch
	index structs.Index
	data  []byte
}

// receiveChunk takes a piece, and the state once all are there.
func (r *replica) receiveChunk(from structs.DaemonID, m *SnapshotChunk) {
	if !m.wellFormed() {
		r.logger.Warn().Str("from", string(from)).Msg("Piece of a snapshot refused.")
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

// install puts a whole snapshot in the place of the state. Entries that follow
// it and agree with it are kept.
func (r *replica) install(m *SnapshotChunk, data []byte) bool {
	machine := r.Application.NewStateMachine(r.shard)
	if err := unpackSnapshot(machine, data); err != nil {
		r.logger.Error().Err(err).Msg("Snapshot refused.")
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
