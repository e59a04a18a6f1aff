package configuration

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// entriesBytes bounds the payloads of one Entries message.
	maximumEntriesBytes = 32 << 10
	// partBytes bounds the data of one SnapshotPart.
	snapshotPartBytes = 32 << 10
	// maximumParts bounds what a peer may claim of a snapshot.
	maximumSnapshotParts = maximumSnapshotBytes / snapshotPartBytes
	// aheadLimit bounds the peers remembered as being ahead.
	maximumAheadPeers = 16
)

// ahead is a peer that has folded further.
type aheadPeer struct {
	peer   structs.DaemonID
	offset structs.LogOffset
}

// exchange is the store's dealing with its peers.
type peerSync struct {
	// hasPeerOffset is set once any peer told its offset; highest is the highest told.
	hasPeerOffset bool
	highestOffset structs.LogOffset
	// ahead are peers that can hand over entries, the latest told last.
	ahead []aheadPeer
	// asked is the peer that a fetch is under way at, "" for none.
	fetchingFrom structs.DaemonID
	fetchTimer   clock.Timer
	// secondRound is set while another round of offers is to come.
	secondRoundPending bool
	// incoming gathers a snapshot; outgoing is the one being handed out.
	incoming incomingSnapshot
	outgoing outgoingSnapshot
}

func newPeerSync() peerSync { return peerSync{} }

// ReceiveNote takes a peer's word about itself from a heartbeat.
func (s *Store) ReceiveNote(from structs.DaemonID, note membership.Note) {
	s.queue.Do(func() { s.receiveOffset(from, note.ConfigurationOffset, note.ConfigurationDigest) })
}

// Receive handles the messages of this package; false for all others.
func (s *Store) Receive(from structs.DaemonID, message peer.Message) bool {
	switch m := message.(type) {
	case *Offer:
		s.queue.Do(func() { s.receiveOffer(from, m) })
	case *Fetch:
		s.queue.Do(func() { s.answerFetch(from, m) })
	case *Entries:
		s.queue.Do(func() { s.receiveEntries(from, m) })
	case *SnapshotPart:
		s.queue.Do(func() { s.receiveSnapshotPart(from, m) })
	default:
		return false
	}
	return true
}

func (s *Store) receiveOffer(from structs.DaemonID, offer *Offer) {
	if offer.ReplyWanted && !s.stopped && !s.Guards.SkipDissemination {
		s.Transport.Send(from, &Offer{Offset: s.state.Next, Digest: s.state.Digest()})
	}
	s.receiveOffset(from, offer.Offset, offer.Digest)
}

// receiveOffset notes how far a peer is and fetches what this store lacks.
func (s *Store) receiveOffset(from structs.DaemonID, offset structs.LogOffset, digest uint64) {
	if s.stopped || s.Guards.SkipDissemination || from == s.Self {
		return
	}
	s.peerSync.hasPeerOffset = true
	s.peerSync.highestOffset = max(s.peerSync.highestOffset, offset)
	if offset > s.state.Next {
		s.addAheadPeer(from, offset)
		s.fetch()
		return
	}
	s.compareDigest(from, offset, digest)
	s.startServingIfCaughtUp()
}

// compare finds out whether a peer folded other entries than this store.
func (s *Store) compareDigest(from structs.DaemonID, offset structs.LogOffset, digest uint64) {
	verdict, known := s.state.Verdict(offset - 1)
	if !known || verdict.Digest == digest {
		return
	}
	s.diverged++
	s.Logger.Error().Str("peer", string(from)).Int64("offset", int64(offset)).Msg("Configuration differs from a peer's.")
	s.publish()
}

// rememberAhead keeps a peer that is ahead.
func (s *Store) addAheadPeer(from structs.DaemonID, offset structs.LogOffset) {
	kept := slices.DeleteFunc(s.peerSync.ahead, func(entry aheadPeer) bool {
		return entry.peer == from || entry.offset <= s.state.Next
	})
	if len(kept) == maximumAheadPeers {
		kept = kept[1:]
	}
	s.peerSync.ahead = append(kept, aheadPeer{peer: from, offset: offset})
}

// fetch asks one peer at a time for what is missing.
func (s *Store) fetch() {
	if s.peerSync.fetchingFrom != "" || s.stopped {
		return
	}
	for len(s.peerSync.ahead) > 0 {
		last := s.peerSync.ahead[len(s.peerSync.ahead)-1]
		if last.offset > s.state.Next {
			s.sendFetch(last.peer, &Fetch{From: s.state.Next})
			return
		}
		s.peerSync.ahead = s.peerSync.ahead[:len(s.peerSync.ahead)-1]
	}
}

// ask sends a fetch and gives the peer up when it does not answer in time.
func (s *Store) sendFetch(daemon structs.DaemonID, request *Fetch) {
	s.peerSync.fetchingFrom = daemon
	s.Transport.Send(daemon, request)
	var timer clock.Timer
	timer = s.Clock.AfterFunc(s.Settings.FetchTimeout, func() {
		s.queue.Do(func() {
			if s.peerSync.fetchTimer != timer {
				return
			}
			s.peerSync.fetchingFrom = ""
			s.removeAheadPeer(daemon)
			s.fetch()
		})
	})
	s.peerSync.fetchTimer = timer
}

func (s *Store) removeAheadPeer(daemon structs.DaemonID) {
	s.peerSync.ahead = slices.DeleteFunc(s.peerSync.ahead, func(entry aheadPeer) bool { return entry.peer == daemon })
}

// endFetch ends the fetch that is under way at a peer.
func (s *Store) endFetch(from structs.DaemonID) {
	if s.peerSync.fetchingFrom != from {
		return
	}
	s.peerSync.fetchingFrom = ""
	s.peerSync.fetchTimer.Stop()
	s.peerSync.fetchTimer = nil
}

// answerFetch answers a peer's fetch.
func (s *Store) answerFetch(to structs.DaemonID, request *Fetch) {
	if s.stopped || s.Guards.SkipDissemination {
		return
	}
	if request.Part > 0 && request.SnapshotOffset == s.peerSync.outgoing.offset {
		s.sendSnapshotPart(to, request.Part)
		return
	}
	entries, kept := s.retained.entriesFrom(request.From, maximumEntriesBytes)
	if !kept && request.From < s.state.Next {
		s.prepareOutgoingSnapshot()
		s.sendSnapshotPart(to, 0)
		return
	}
	s.Transport.Send(to, &Entries{Entries: entries, Offset: s.state.Next, Digest: s.state.Digest()})
}

// receiveEntries folds what a peer handed over and asks for more.
func (s *Store) receiveEntries(from structs.DaemonID, message *Entries) {
	if s.stopped || s.Guards.SkipDissemination {
		return
	}
	s.endFetch(from)
	entries := make([]framework.LogEntry, 0, len(message.Entries))
	for _, entry := range message.Entries {
		entries = append(entries, framework.LogEntry{Offset: entry.Offset, Payload: entry.Payload})
	}
	if !s.fold(entries) && message.Offset > s.state.Next {
		s.removeAheadPeer(from)
		s.fetch()
		return
	}
	s.receiveOffset(from, message.Offset, message.Digest)
	s.fetch()
}
