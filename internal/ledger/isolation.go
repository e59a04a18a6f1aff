package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// An isolated daemon believes all others dead. When the network is back it may reach the
// store before it reaches them, and would take their shards. The loss of most daemons at
// once therefore counts as its own isolation and not as their deaths, with two exceptions:
// a daemon that could reach the store all along is not isolated if it lost a single other
// zone, or all daemons.

const (
	// observeInterval is the interval between checks of the members.
	observeInterval = 200 * time.Millisecond
	// lostDaemonTTL is how long a lost daemon is remembered. One that has been gone for
	// longer does not count as a sign of isolation.
	lostDaemonTTL = 30 * time.Second
	// remoteLostShare is the least part of the daemons in other zones that is lost to a
	// daemon whose zone is cut off. It allows for another one of four zones being cut off
	// with it.
	remoteLostShare = 0.6
	// localLostShare is the largest part of the daemons in its own zone that is lost to it.
	// If more are lost, many were killed at once and the zone was not cut off.
	localLostShare = 0.3
	// allLostShare is the least part of all daemons that is lost to a daemon which is cut
	// off alone.
	allLostShare = 0.9
	// minZonesLost is how many other zones must be lost to a daemon that reaches the store
	// before it counts as isolated: a fleet must survive the death of one zone.
	minZonesLost = 2
	// isolationDoubtPeriod is how long after its isolation, or after the store is back, a
	// daemon doubts its view of the others. It must exceed the interval at which peers
	// reconnect and a round of membership probes.
	isolationDoubtPeriod = 2 * time.Second
	// steadyPeriod is how long a daemon must have been alive without interruption until a
	// shard that could stay is handed over to it. Otherwise daemons that do not reach it
	// yet, or believe it dead, would take the shard from it. Connections and views are back
	// within 3 s.
	steadyPeriod = 5 * time.Second
)

// isolationDetector detects from recently alive daemons whether this one is isolated. It is
// safe for concurrent use; the zero value is ready.
type isolationDetector struct {
	mutex sync.Mutex
	seen  map[structs.DaemonID]seenDaemon
	// zones counts the seen daemons of each zone. It is a field so that its memory is
	// reused.
	zones map[structs.ZoneName]lossCount
	// storeLostAt is when this daemon last reached neither the store nor a daemon that
	// does; zero if it always did.
	storeLostAt time.Time
	// observedAt is when the members were last checked.
	observedAt time.Time
	// isolatedAt is when this daemon was last isolated; zero if it never was.
	isolatedAt time.Time
}

// seenDaemon is a daemon that has been alive.
type seenDaemon struct {
	zone structs.ZoneName
	// aliveAt is when it was last seen alive, and since the start of the uninterrupted time
	// until then.
	aliveAt, since time.Time
}

// lossCount counts daemons that were seen, and those of them that are lost.
type lossCount struct{ seen, lost int }

func (c lossCount) plus(other lossCount) lossCount {
	return lossCount{seen: c.seen + other.seen, lost: c.lost + other.lost}
}

// isLost reports whether at least a part of the daemons is lost.
func (c lossCount) isLost(part float64) bool {
	return c.seen > 0 && float64(c.lost) >= part*float64(c.seen)
}

// observe records the members as currently believed, and reports whether this daemon is
// isolated and whether that has just changed. storeLost means that it reaches neither the
// store nor a daemon that does.
func (d *isolationDetector) observe(self structs.DaemonID, members []membership.Member, storeLost bool, now time.Time) (isolated, changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if storeLost {
		d.storeLostAt = now
	}
	own := d.noteMembers(self, members, now)
	wasIsolated := !d.isolatedAt.IsZero() && now.Sub(d.isolatedAt) <= 2*observeInterval
	isolated = d.isIsolated(own, now)
	if isolated {
		d.isolatedAt = now
	}
	return isolated, isolated != wasIsolated
}

// noteMembers records the members that are alive now, and returns the zone of this daemon.
func (d *isolationDetector) noteMembers(self structs.DaemonID, members []membership.Member, now time.Time) (own structs.ZoneName) {
	if d.seen == nil {
		d.seen = map[structs.DaemonID]seenDaemon{}
	}
	for _, member := range members {
		switch {
		case member.Daemon.ID == self:
			own = member.Daemon.Zone
		case member.State == membership.StateAlive:
			since := now
			if before, known := d.seen[member.Daemon.ID]; known && before.aliveAt.Equal(d.observedAt) {
				since = before.since
			}
			d.seen[member.Daemon.ID] = seenDaemon{zone: member.Daemon.Zone, aliveAt: now, since: since}
		case member.State == membership.StateLeaving:
			delete(d.seen, member.Daemon.ID) // it left as planned and is not lost
		}
	}
	d.observedAt = now
	return own
}

// isIsolated reports whether the lost daemons indicate that this daemon is isolated.
func (d *isolationDetector) isIsolated(own structs.ZoneName, now time.Time) bool {
	remote := d.countLosses(own, now)
	local := d.zones[own]
	storeLost := !d.storeLostAt.IsZero() && now.Sub(d.storeLostAt) <= lostDaemonTTL
	if storeLost && local.plus(remote).isLost(allLostShare) {
		return true
	}
	zonesLost := 0
	for zone, count := range d.zones {
		if zone != own && count.isLost(remoteLostShare) {
			zonesLost++
		}
	}
	isOwnZoneWhole := float64(local.lost) <= localLostShare*float64(local.seen)
	return isOwnZoneWhole && remote.isLost(remoteLostShare) && (storeLost || zonesLost >= minZonesLost)
}

// countLosses counts the daemons of each zone and returns the sum of all zones but this
// daemon's. It forgets daemons that were lost long ago.
func (d *isolationDetector) countLosses(own structs.ZoneName, now time.Time) (remote lossCount) {
	if d.zones == nil {
		d.zones = map[structs.ZoneName]lossCount{}
	}
	clear(d.zones)
	for id, daemon := range d.seen {
		if now.Sub(daemon.aliveAt) > lostDaemonTTL {
			delete(d.seen, id)
			continue
		}
		one := lossCount{seen: 1}
		if daemon.aliveAt.Before(now) {
			one.lost = 1
		}
		d.zones[daemon.zone] = d.zones[daemon.zone].plus(one)
		if daemon.zone != own {
			remote = remote.plus(one)
		}
	}
	return remote
}

// wasIsolatedLately reports whether this daemon is or was recently isolated, so that its
// view of the others may be wrong.
func (d *isolationDetector) wasIsolatedLately(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.isolatedAt.IsZero() && now.Sub(d.isolatedAt) <= isolationDoubtPeriod
}

// isSteady reports whether a daemon has been alive for steadyPeriod without interruption.
func (d *isolationDetector) isSteady(id structs.DaemonID, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	seen, known := d.seen[id]
	return known && seen.aliveAt.Equal(d.observedAt) && now.Sub(seen.since) >= steadyPeriod
}

// watchIsolation checks the members until ctx ends.
func (s *Service) watchIsolation(ctx context.Context) {
	for ctx.Err() == nil {
		if isolated, changed := s.isolation.observe(s.Self, s.View.Members(), s.records.connectivity.IsIsolated(), time.Now()); changed {
			s.Logger.Info().Bool("isolated", isolated).Msg("Isolation from the other daemons changed.")
		}
		clock.Sleep(ctx, observeInterval)
	}
}
