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
// lost at once is news of its own isolation, not of their deaths. So many may have died
// all the same: whose store answered all along is not cut off by the loss of one other
// zone, or of all others.

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
	// zonesAtOnce is how many other zones are lost together by one that is cut off
	// though its store answers: fleets are to bear the death of one.
	zonesAtOnce = 2
	// sightBack is how long after its isolation a daemon still doubts what it then
	// came to believe: peers dial again each 1.2 s at most, and membership takes a
	// round of probes to hear of all.
	sightBack = 2 * time.Second
	// steadyTime is how long a daemon must have been alive without a break until a shard
	// is passed on to it that could stay: others that do not reach it yet, or have it for
	// dead, would take the shard from it. Connections and views are back within 3 s.
	steadyTime = 5 * time.Second
)

// sight remembers which daemons were heard of lately, and so whether this one is cut
// off. It is safe for concurrent use; the zero value is ready.
type sight struct {
	mutex sync.Mutex
	seen  map[structs.DaemonID]seenDaemon
	// zones counts those of each zone in one look.
	zones map[structs.ZoneName]zoneCount
	// storeLostAt is when this daemon last reached neither the store nor a daemon that
	// does; zero if it always did.
	storeLostAt time.Time
	// lookedAt is when the members were looked at last.
	lookedAt time.Time
	// isolatedAt is when this daemon was last cut off; zero if it never was.
	isolatedAt time.Time
}

// seenDaemon is a daemon that was alive at a time.
type seenDaemon struct {
	zone structs.ZoneName
	// aliveAt is when it was alive last, and since when without a break.
	aliveAt, since time.Time
}

// zoneCount is how many daemons of a zone were seen, and how many of them are lost.
type zoneCount struct{ seen, lost int }

func (c zoneCount) isLost(part float64) bool {
	return c.seen > 0 && float64(c.lost) >= part*float64(c.seen)
}

// look takes the members as they are believed to be now, and tells whether the daemon
// has just become isolated, or ceased to be. storeLost tells that it reaches neither the
// store nor a daemon that does.
func (s *sight) look(self structs.DaemonID, members []membership.Member, storeLost bool, now time.Time) (isolated, changed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.seen == nil {
		s.seen = map[structs.DaemonID]seenDaemon{}
		s.zones = map[structs.ZoneName]zoneCount{}
	}
	if storeLost {
		s.storeLostAt = now
	}
	var zone structs.ZoneName
	for _, member := range members {
		switch {
		case member.Daemon.ID == self:
			zone = member.Daemon.Zone
		case member.State == membership.StateAlive:
			since := now
			if before, known := s.seen[member.Daemon.ID]; known && before.aliveAt.Equal(s.lookedAt) {
				since = before.since
			}
			s.seen[member.Daemon.ID] = seenDaemon{zone: member.Daemon.Zone, aliveAt: now, since: since}
		case member.State == membership.StateLeaving:
			delete(s.seen, member.Daemon.ID) // it is not lost
		}
	}
	s.lookedAt = now
	was := s.isolatedAt
	if s.isCutOff(zone, now) {
		s.isolatedAt = now
		return true, was.IsZero() || now.Sub(was) > 2*sightPause
	}
	return false, now.Sub(was) <= 2*sightPause
}

// isCutOff tells whether those that were lost tell of this daemon's isolation.
func (s *sight) isCutOff(own structs.ZoneName, now time.Time) bool {
	clear(s.zones)
	var far, all zoneCount
	for id, daemon := range s.seen {
		if now.Sub(daemon.aliveAt) > sightLife {
			delete(s.seen, id)
			continue
		}
		one := zoneCount{seen: 1}
		if daemon.aliveAt.Before(now) {
			one.lost = 1
		}
		zone := s.zones[daemon.zone]
		s.zones[daemon.zone] = zoneCount{zone.seen + one.seen, zone.lost + one.lost}
		all = zoneCount{all.seen + one.seen, all.lost + one.lost}
		if daemon.zone != own {
			far = zoneCount{far.seen + one.seen, far.lost + one.lost}
		}
	}
	storeLost := !s.storeLostAt.IsZero() && now.Sub(s.storeLostAt) <= sightLife
	if storeLost && all.isLost(isolatedAlone) {
		return true
	}
	near, zonesLost := s.zones[own], 0
	for zone, count := range s.zones {
		if zone != own && count.isLost(isolatedBeyond) {
			zonesLost++
		}
	}
	isWhole := float64(near.lost) <= isolatedWithin*float64(near.seen)
	return isWhole && far.isLost(isolatedBeyond) && (storeLost || zonesLost >= zonesAtOnce)
}

// isDoubtful tells whether what this daemon believes of others is news of its own
// isolation.
func (s *sight) isDoubtful(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.isolatedAt.IsZero() && now.Sub(s.isolatedAt) <= sightBack
}

// isSteady tells whether a daemon has been alive for long without a break.
func (s *sight) isSteady(id structs.DaemonID, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen, known := s.seen[id]
	return known && seen.aliveAt.Equal(s.lookedAt) && now.Sub(seen.since) >= steadyTime
}

// watchSight looks at the members until ctx ends.
func (s *Service) watchSight(ctx context.Context) {
	for ctx.Err() == nil {
		if isolated, changed := s.sight.look(s.Self, s.View.Members(), s.records.contact.IsIsolated(), time.Now()); changed {
			s.Logger.Info().Bool("isolated", isolated).Msg("Sight of the other daemons changed.")
		}
		clock.Sleep(ctx, sightPause)
	}
}
