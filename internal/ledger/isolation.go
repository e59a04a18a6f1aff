package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// A daemon that is cut off believes all others dead. When the network is back it reaches
// the store first and the others after, and would take their shards. So many lost at once
// are a sign of its own isolation, not of their deaths, with two exceptions: a daemon whose
// store answered all along is not cut off if it lost one other zone, or all daemons.

const (
	// observeInterval separates looks at the members.
	observeInterval = 200 * time.Millisecond
	// lostLife is how long a daemon that was lost is remembered: one that is gone
	// for longer tells nothing of this daemon's isolation.
	lostLife = 30 * time.Second
	// farLostShare is the least part of the daemons in other zones that is lost to a
	// daemon which is cut off with its zone: with it, one more of four zones.
	farLostShare = 0.6
	// nearLostShare is the largest part of its own zone's daemons that is lost to it:
	// where more died, many were killed at once, and the zone was not cut off.
	nearLostShare = 0.3
	// allLostShare is the least part of all daemons that is lost to one which is cut off
	// alone.
	allLostShare = 0.9
	// zonesLostTogether is how many other zones a daemon has lost at least that is cut off
	// though its store answers: a fleet must survive the death of one zone.
	zonesLostTogether = 2
	// isolationDoubt is how long after its isolation, or the store's return, a daemon still
	// doubts what it came to believe meanwhile: peers dial again each 1.2 s at most, and
	// membership takes a round of probes to hear of all.
	isolationDoubt = 2 * time.Second
	// steadyTime is how long a daemon must have been alive without a break until a shard
	// is passed on to it that could stay: others that do not reach it yet, or believe it
	// dead, would take the shard from it. Connections and views are back within 3 s.
	steadyTime = 5 * time.Second
)

// isolationDetector remembers which daemons were alive lately, and so tells whether this
// one is cut off. It is safe for concurrent use; the zero value is ready.
type isolationDetector struct {
	mutex sync.Mutex
	seen  map[structs.DaemonID]seenDaemon
	// zones counts the seen daemons of each zone. It is kept to be reused.
	zones map[structs.ZoneName]lossCount
	// storeLostAt is when this daemon last reached neither the store nor a daemon that
	// does; zero if it always did.
	storeLostAt time.Time
	// observedAt is when the members were looked at last.
	observedAt time.Time
	// isolatedAt is when this daemon was last cut off; zero if it never was.
	isolatedAt time.Time
}

// seenDaemon is a daemon that was alive at a time.
type seenDaemon struct {
	zone structs.ZoneName
	// aliveAt is when it was alive last, and since when without a break.
	aliveAt, since time.Time
}

// lossCount is how many daemons were seen, and how many of them are lost.
type lossCount struct{ seen, lost int }

func (c lossCount) plus(other lossCount) lossCount {
	return lossCount{seen: c.seen + other.seen, lost: c.lost + other.lost}
}

// isLost tells whether at least a part of the daemons is lost.
func (c lossCount) isLost(part float64) bool {
	return c.seen > 0 && float64(c.lost) >= part*float64(c.seen)
}

// observe takes the members as they are believed to be now, and tells whether the daemon
// is isolated, and whether that has just changed. storeLost tells that it reaches neither
// the store nor a daemon that does.
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

// noteMembers takes note of the members that are alive now, and returns the zone of this
// daemon.
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
			delete(d.seen, member.Daemon.ID) // it is not lost
		}
	}
	d.observedAt = now
	return own
}

// isIsolated tells whether the daemons that were lost are a sign of this daemon's
// isolation.
func (d *isolationDetector) isIsolated(own structs.ZoneName, now time.Time) bool {
	far := d.countLosses(own, now)
	near := d.zones[own]
	storeLost := !d.storeLostAt.IsZero() && now.Sub(d.storeLostAt) <= lostLife
	if storeLost && near.plus(far).isLost(allLostShare) {
		return true
	}
	zonesLost := 0
	for zone, count := range d.zones {
		if zone != own && count.isLost(farLostShare) {
			zonesLost++
		}
	}
	isOwnZoneWhole := float64(near.lost) <= nearLostShare*float64(near.seen)
	return isOwnZoneWhole && far.isLost(farLostShare) && (storeLost || zonesLost >= zonesLostTogether)
}

// countLosses counts the daemons of each zone, and returns those of all but the own one.
// It forgets daemons that were lost long ago.
func (d *isolationDetector) countLosses(own structs.ZoneName, now time.Time) (far lossCount) {
	if d.zones == nil {
		d.zones = map[structs.ZoneName]lossCount{}
	}
	clear(d.zones)
	for id, daemon := range d.seen {
		if now.Sub(daemon.aliveAt) > lostLife {
			delete(d.seen, id)
			continue
		}
		one := lossCount{seen: 1}
		if daemon.aliveAt.Before(now) {
			one.lost = 1
		}
		d.zones[daemon.zone] = d.zones[daemon.zone].plus(one)
		if daemon.zone != own {
			far = far.plus(one)
		}
	}
	return far
}

// wasIsolatedLately tells whether this daemon is or was lately cut off, so that what it
// believes of others may rest on that.
func (d *isolationDetector) wasIsolatedLately(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.isolatedAt.IsZero() && now.Sub(d.isolatedAt) <= isolationDoubt
}

// isSteady tells whether a daemon has been alive for steadyTime without a break.
func (d *isolationDetector) isSteady(id structs.DaemonID, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	seen, known := d.seen[id]
	return known && seen.aliveAt.Equal(d.observedAt) && now.Sub(seen.since) >= steadyTime
}

// watchIsolation looks at the members until ctx ends.
func (s *Service) watchIsolation(ctx context.Context) {
	for ctx.Err() == nil {
		if isolated, changed := s.isolation.observe(s.Self, s.View.Members(), s.records.contact.IsIsolated(), time.Now()); changed {
			s.Logger.Info().Bool("isolated", isolated).Msg("Isolation from the other daemons changed.")
		}
		clock.Sleep(ctx, observeInterval)
	}
}
