package configuration

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// offerToPeers offers a new entry to a few peers at once, and to others a little
// later: one round alone leaves out a few daemons of a large fleet. They ask
// for what they lack, and tell others in turn; heartbeats reach whom the offers
// missed.
func (s *Store) offerToPeers() {
	if s.Guards.SkipDissemination {
		return
	}
	s.offerToRandomPeers()
	if s.peerSync.secondRoundPending {
		return
	}
	s.peerSync.secondRoundPending = true
	s.after(s.Settings.SecondRoundDelay, func() {
		s.peerSync.secondRoundPending = false
		s.offerToRandomPeers()
	})
}

func (s *Store) offerToRandomPeers() {
	for _, daemon := range s.randomPeers() {
		s.Transport.Send(daemon, &Offer{Offset: s.state.Next, Digest: s.state.Digest()})
	}
}

// askPeers asks a few peers how far they are, without waiting for heartbeats,
// and others again until the grace is over: at first the list may be empty.
func (s *Store) requestPeerOffsets() {
	if s.Guards.SkipDissemination {
		return
	}
	for _, daemon := range s.randomPeers() {
		s.Transport.Send(daemon, &Offer{Offset: s.state.Next, Digest: s.state.Digest(), ReplyWanted: true})
	}
	if !s.graceOver {
		s.after(s.Settings.PeerGrace/offsetRequestsPerGrace, s.requestPeerOffsets)
	}
}

// askDivisor is how many times within its grace a starting daemon asks.
const offsetRequestsPerGrace = 4

// somePeers draws Fanout peers at random.
func (s *Store) randomPeers() []structs.DaemonID {
	peers := s.Peers()
	if s.Transport == nil {
		return nil
	}
	count := min(s.Settings.Fanout, len(peers))
	drawn := make([]structs.DaemonID, 0, count)
	for _, i := range s.random.Perm(len(peers))[:count] {
		drawn = append(drawn, peers[i])
	}
	return drawn
}
