package configuration

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// offerToPeers offers the present offset to random peers in two rounds, since
// one round of gossip misses some daemons of a large fleet. Peers fetch what
// they lack and send offers in turn; heartbeats reach those that got no offer.
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

// requestPeerOffsets requests the offset of random peers, without waiting for
// heartbeats. It repeats until the grace is over, since the list of peers may be
// empty at first.
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

// offsetRequestsPerGrace is how often a starting daemon requests offsets within
// Settings.PeerGrace.
const offsetRequestsPerGrace = 4

// randomPeers returns up to Settings.Fanout peers drawn at random.
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
