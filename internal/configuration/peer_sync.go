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
	// maximumEntriesBytes bounds the payloads of one Entries message.
	maximumEntriesBytes = 32 << 10
	// snapshotPartBytes bounds the data of one SnapshotPart.
	snapshotPartBytes = 32 << 10
	// maximumSnapshotParts bounds the number of parts that a peer may announce.
	maximumSnapshotParts = maximumSnapshotBytes / snapshotPartBytes
	// maximumAheadPeers bounds the list of peers that are ahead.
	maximumAheadPeers = 16
)

// aheadPeer is a peer with a higher offset than this store.
type aheadPeer struct {
	peer   structs.DaemonID
	offset structs.LogOffset
}

// peerSync is the state of the exchange with peers.
type peerSync struct {
	// hasPeerOffset is set once any peer has reported its offset;
	// highestOffset is the highest one reported.
	hasPeerOffset bool
	highestOffset structs.LogOffset
	// ahead lists the peers to fetch entries from, in the order in which they
	// reported their offset.
	ahead []aheadPeer
	// fetchingFrom is the peer with a fetch in flight, "" for none; fetchTimer
	// is the timeout of that fetch.
	fetchingFrom structs.DaemonID
	fetchTimer   clock.Timer
	// secondRoundPending is set while the second round of offers is scheduled.
	secondRoundPending bool
	// incoming is the snapshot being received, outgoing the one being sent.
	incoming incomingSnapshot
	outgoing outgoingSnapshot
}

func newPeerSync() peerSync { return peerSync{} }

// ReceiveNote handles the offset and digest of a peer's heartbeat.
func (s *Store) ReceiveNote(from structs.DaemonID, note membership.Note) {
	s.queue.Do(func() { s.receiveOffset(from, note.ConfigurationOffset, note.ConfigurationDigest) })
}

// Receive handles a message of this package and reports whether it was one.
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

// receiveOffset records a peer's offset, and fetches the missing entries if the
// peer is ahead.
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

// compareDigest counts a divergence if a peer has another digest than this store
// at the same offset.
func (s *Store) compareDigest(from structs.DaemonID, offset structs.LogOffset, digest uint64) {
	verdict, known := s.state.Verdict(offset - 1)
	if !known || verdict.Digest == digest {
		return
	}
	s.diverged++
	s.Logger.Error().Str("peer", string(from)).Int64("offset", int64(offset)).Msg("Configuration differs from a peer's.")
	s.publish()
}

// addAheadPeer records a peer that is ahead, and drops those that no longer are.
func (s *Store) addAheadPeer(from structs.DaemonID, offset structs.LogOffset) {
	kept := slices.DeleteFunc(s.peerSync.ahead, func(entry aheadPeer) bool {
		return entry.peer == from || entry.offset <= s.state.Next
	})
	if len(kept) == maximumAheadPeers {
		kept = kept[1:]
	}
	s.peerSync.ahead = append(kept, aheadPeer{peer: from, offset: offset})
}

// fetch requests missing entries from one peer at a time.
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

// sendFetch sends a fetch, and tries another peer if it is not answered in time.
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

// endFetch ends the fetch in flight at a peer, if there is one.
func (s *Store) endFetch(from structs.DaemonID) {
	if s.peerSync.fetchingFrom != from {
		return
	}
	s.peerSync.fetchingFrom = ""
	s.peerSync.fetchTimer.Stop()
	s.peerSync.fetchTimer = nil
}

// answerFetch answers with a snapshot part or with entries. A peer whose offset
// is no longer retained gets the first part of a snapshot.
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

// receiveEntries folds the entries of a peer and fetches more if needed.
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
