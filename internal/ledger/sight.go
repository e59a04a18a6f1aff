package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// A daemon that is cut off believes all others dead. When it comes back it reaches
// the store first and the others after, and would take their shards. That many are
// lost at once is news of its own isolation, not of their deaths.

const (
	// sightPause separates looks at the members.
	sightPause = 200 * time.Millisecond
	// sightLife is how long a daemon that was lost is remembered: one that is gone
	// for longer tells nothing of this daemon's isolation.
	sightLife = 30 * time.Second
	// isolatedBeyond is the part of the daemons in other zones that a daemon which is
	// cut off with its zone has lost at least: with it, one more of four zones.
	isolatedBeyond = 0.6
	// isolatedWithin is the part of its own zone's daemons that it has lost at most:
	// where they died as well, many were killed at once, and the zone was not cut off.
	isolatedWithin = 0.3
	// isolatedAlone is the part of all daemons that one which is cut off alone has
	// lost at least.
	isolatedAlone = 0.9
	// sightBack is how long after its isolation a daemon still doubts what it then
	// came to believe: peers dial again each 1.2 s at most, and membership takes a
	// round of probes to hear of all.
	sightBack = 2 * time.Second
)

// sight remembers which daemons were heard of lately, and so whether this one is cut
// off. It is safe for concurrent use; the zero value is ready.
type sight struct {
	mutex sync.Mutex
	seen  map[structs.DaemonID]seenDaemon
	// isolatedAt is when this daemon was last cut off; zero if it never was.
	isolatedAt time.Time
}

// seenDaemon is a daemon that was alive at a time.
type seenDaemon struct {
	zone    structs.ZoneName
	aliveAt time.Time
}

// look takes the members as they are believed to be now, and tells whether the daemon
// has just become isolated, or ceased to be.
func (s *sight) look(self structs.DaemonID, members []membership.Member, now time.Time) (isolated, changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.seen == nil {
		s.seen = map[structs.DaemonID]seenDaemon{}
	}
	var zone structs.ZoneName
	for _, member := range members {
		switch {
		case member.Daemon.ID == self:
			zone = member.Daemon.Zone
		case member.State == membership.StateAlive:
			s.seen[member.Daemon.ID] = seenDaemon{zone: member.Daemon.Zone, aliveAt: now}
		case member.State == membership.StateLeaving:
			delete(s.seen, member.Daemon.ID) // it is not lost
		}
	}
	was := s.isolatedAt
	if s.isCutOff(zone, now) {
		s.isolatedAt = now
		return true, was.IsZero() || now.Sub(was) > 2*sightPause
	}
	return false, now.Sub(was) <= 2*sightPause
}

// isCutOff tells whether those that were lost tell of this daemon's isolation.
func (s *sight) isCutOff(own structs.ZoneName, now time.Time) bool {
	var near, nearLost, far, farLost int
	for id, daemon := range s.seen {
		lost := 0
		if daemon.aliveAt.Before(now) {
			lost = 1
		}
		switch {
		case now.Sub(daemon.aliveAt) > sightLife:
			delete(s.seen, id)
		case daemon.zone == own:
			near++
			nearLost += lost
		default:
			far++
			farLost += lost
		}
	}
	if near+far > 1 && float64(nearLost+farLost) >= isolatedAlone*float64(near+far) {
		return true
	}
	return far > 1 && float64(farLost) >= isolatedBeyond*float64(far) && float64(nearLost) <= isolatedWithin*float64(near)
}

// isDoubtful tells whether what this daemon believes of others is news of its own
// isolation.
func (s *sight) isDoubtful(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.isolatedAt.IsZero() && now.Sub(s.isolatedAt) <= sightBack
}

// watchSight looks at the members until ctx ends.
func (s *Service) watchSight(ctx context.Context) {
	for ctx.Err() == nil {
		if isolated, changed := s.sight.look(s.Self, s.View.Members(), time.Now()); changed {
			s.Logger.Info().Bool("isolated", isolated).Msg("Sight of the other daemons changed.")
		}
		clock.Sleep(ctx, sightPause)
	}
}
