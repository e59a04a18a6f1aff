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
	entriesBytes = 32 << 10
	// partBytes bounds the data of one SnapshotPart.
	partBytes = 32 << 10
	// maximumParts bounds what a peer may claim of a snapshot.
	maximumParts = snapshotMemory / partBytes
	// aheadLimit bounds the peers remembered as being ahead.
	aheadLimit = 16
)

// ahead is a peer that has folded further.
type ahead struct {
	peer   structs.DaemonID
	offset structs.LogOffset
}

// exchange is the store's dealing with its peers.
type exchange struct {
	// hasPeerOffset is set once any peer told its offset; highest is the highest told.
	hasPeerOffset bool
	highest       structs.LogOffset
	// ahead are peers that can hand over entries, the latest told last.
	ahead []ahead
	// asked is the peer that a fetch is under way at, "" for none.
	asked   structs.DaemonID
	timeout clock.Timer
	// secondRound is set while another round of offers is to come.
	secondRound bool
	// incoming gathers a snapshot; outgoing is the one being handed out.
	incoming incomingSnapshot
	outgoing outgoingSnapshot
}

func newExchange() exchange { return exchange{} }

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
	s.exchange.hasPeerOffset = true
	s.exchange.highest = max(s.exchange.highest, offset)
	if offset > s.state.Next {
		s.rememberAhead(from, offset)
		s.fetch()
		return
	}
	s.compare(from, offset, digest)
	s.considerServing()
}

// compare finds out whether a peer folded other entries than this store.
func (s *Store) compare(from structs.DaemonID, offset structs.LogOffset, digest uint64) {
	verdict, known := s.state.Verdict(offset - 1)
	if !known || verdict.Digest == digest {
		return
	}
	s.diverged++
	s.Logger.Error().Str("peer", string(from)).Int64("offset", int64(offset)).Msg("Configuration differs from a peer's.")
	s.publish()
}

// rememberAhead keeps a peer that is ahead.
func (s *Store) rememberAhead(from structs.DaemonID, offset structs.LogOffset) {
	kept := slices.DeleteFunc(s.exchange.ahead, func(entry ahead) bool {
		return entry.peer == from || entry.offset <= s.state.Next
	})
	if len(kept) == aheadLimit {
		kept = kept[1:]
	}
	s.exchange.ahead = append(kept, ahead{peer: from, offset: offset})
}

// fetch asks one peer at a time for what is missing.
func (s *Store) fetch() {
	if s.exchange.asked != "" || s.stopped {
		return
	}
	for len(s.exchange.ahead) > 0 {
		last := s.exchange.ahead[len(s.exchange.ahead)-1]
		if last.offset > s.state.Next {
			s.ask(last.peer, &Fetch{From: s.state.Next})
			return
		}
		s.exchange.ahead = s.exchange.ahead[:len(s.exchange.ahead)-1]
	}
}

// ask sends a fetch and gives the peer up when it does not answer in time.
func (s *Store) ask(daemon structs.DaemonID, request *Fetch) {
	s.exchange.asked = daemon
	s.Transport.Send(daemon, request)
	var timer clock.Timer
	timer = s.Clock.AfterFunc(s.Settings.FetchTimeout, func() {
		s.queue.Do(func() {
			if s.exchange.timeout != timer {
				return
			}
			s.exchange.asked = ""
			s.dropAhead(daemon)
			s.fetch()
		})
	})
	s.exchange.timeout = timer
}

func (s *Store) dropAhead(daemon structs.DaemonID) {
	s.exchange.ahead = slices.DeleteFunc(s.exchange.ahead, func(entry ahead) bool { return entry.peer == daemon })
}

// endFetch ends the fetch that is under way at a peer.
func (s *Store) endFetch(from structs.DaemonID) {
	if s.exchange.asked != from {
		return
	}
	s.exchange.asked = ""
	s.exchange.timeout.Stop()
	s.exchange.timeout = nil
}

// answerFetch answers a peer's fetch.
func (s *Store) answerFetch(to structs.DaemonID, request *Fetch) {
	if s.stopped || s.Guards.SkipDissemination {
		return
	}
	if request.Part > 0 && request.SnapshotOffset == s.exchange.outgoing.offset {
		s.sendPart(to, request.Part)
		return
	}
	entries, kept := s.retained.from(request.From, entriesBytes)
	if !kept && request.From < s.state.Next {
		s.packOutgoing()
		s.sendPart(to, 0)
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
		s.dropAhead(from)
		s.fetch()
		return
	}
	s.receiveOffset(from, message.Offset, message.Digest)
	s.fetch()
}
