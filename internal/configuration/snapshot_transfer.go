package configuration

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

type incomingSnapshot struct {
	offset structs.LogOffset
	digest uint64
	parts  int
	next   int
	data   []byte
}

type outgoingSnapshot struct {
	offset structs.LogOffset
	digest uint64
	data   []byte
}

// prepareOutgoingSnapshot encodes a snapshot to send to peers. It reuses the
// previous one while the entries after it are retained, so that a transfer is
// not interrupted by changes made meanwhile.
func (s *Store) prepareOutgoingSnapshot() {
	out := &s.peerSync.outgoing
	if out.data != nil {
		if _, kept := s.retained.entriesFrom(out.offset, 0); kept || out.offset == s.state.Next {
			return
		}
	}
	data, err := EncodeSnapshot(s.state)
	if err != nil {
		s.Logger.Error().Err(err).Msg("Configuration snapshot could not be encoded.")
		return
	}
	*out = outgoingSnapshot{offset: s.state.Next, digest: s.state.Digest(), data: data}
}

func (s *Store) sendSnapshotPart(to structs.DaemonID, part int) {
	out := &s.peerSync.outgoing
	first := part * snapshotPartBytes
	if first >= len(out.data) {
		return
	}
	end := min(first+snapshotPartBytes, len(out.data))
	s.Transport.Send(to, &SnapshotPart{
		Offset: out.offset,
		Digest: out.digest,
		Part:   part,
		Parts:  (len(out.data) + snapshotPartBytes - 1) / snapshotPartBytes,
		Data:   out.data[first:end],
	})
}

// receiveSnapshotPart adds a part to the incoming snapshot. It fetches the next
// part, or adopts the snapshot once it is complete.
func (s *Store) receiveSnapshotPart(from structs.DaemonID, part *SnapshotPart) {
	if s.stopped || s.peerSync.fetchingFrom != from {
		return
	}
	s.endFetch(from)
	incoming := &s.peerSync.incoming
	if part.Part == 0 {
		*incoming = incomingSnapshot{offset: part.Offset, digest: part.Digest, parts: min(part.Parts, maximumSnapshotParts)}
	}
	if part.Offset != incoming.offset || part.Digest != incoming.digest || part.Part != incoming.next || part.Offset <= s.state.Next {
		*incoming = incomingSnapshot{}
		s.removeAheadPeer(from)
		s.fetch()
		return
	}
	incoming.data = append(incoming.data, part.Data...)
	incoming.next++
	if incoming.next < incoming.parts {
		s.sendFetch(from, &Fetch{From: s.state.Next, SnapshotOffset: incoming.offset, Part: incoming.next})
		return
	}
	s.adoptIncomingSnapshot(from)
}

func (s *Store) adoptIncomingSnapshot(from structs.DaemonID) {
	incoming := s.peerSync.incoming
	s.peerSync.incoming = incomingSnapshot{}
	state, err := DecodeSnapshot(incoming.data, incoming.digest)
	if err != nil {
		s.Logger.Error().Err(err).Str("peer", string(from)).Msg("Configuration snapshot from a peer rejected.")
		s.removeAheadPeer(from)
		s.fetch()
		return
	}
	s.adopt(state)
	s.fetch()
}
