package zone

import (
	"sync"
	"sync/atomic"
	"time"
)

// RampTime is the time over which a zone's weight rises to 1 after it is reached again.
const RampTime = time.Second

// UnresponsiveBackends counts the back ends of a zone that keep this daemon's requests
// waiting.
type UnresponsiveBackends struct {
	// Overdue back ends exceed their usual time by some margin, and Silent ones by a larger
	// one.
	Overdue, Silent int
}

// Reachability tracks which zones a daemon is cut off from, and whether the daemon is
// itself isolated.
//
// A zone is cut off if none of its probed daemons replies, its back ends keep requests
// waiting and send nothing on any connection, and somebody elsewhere does reply. Crashed
// machines and back ends that fail, hang or are slow do not look like that: somebody in the
// zone still replies.
//
// A daemon is isolated if at least half of the fleet's daemons do not reply and the store
// does not answer, directly or through other daemons. Whether back ends can be reached does
// not matter, as the daemon cannot reach the programs' records. As long as the store
// answers, the others may just as well have failed, and this daemon has to serve.
//
// Reachability does no I/O and has no clock. It is safe for concurrent use.
type Reachability struct {
	own     string
	current atomic.Pointer[snapshot]

	// mutex guards all fields below.
	mutex sync.Mutex
	paths map[string]*path
	// otherZones holds the names of all zones but the daemon's own, sorted.
	otherZones []string
	steppedAt  time.Time
	store      storePath
	// isolation is the state of this daemon itself.
	isolation cutState
}

// snapshot is the state that readers see. It is immutable and replaced as a whole.
type snapshot struct {
	zones         map[string]cutState
	isolatedSince time.Time
	// changed is closed when the snapshot is replaced.
	changed chan struct{}
}

// cutState is since when a zone has been cut off, or this daemon isolated; zero if it is
// not. restoredAt is when it last ceased to be.
type cutState struct{ cutSince, restoredAt time.Time }

func (s *cutState) isCutOff() bool { return !s.cutSince.IsZero() }

// set sets the state and reports whether that is a change, and for how long the former
// state lasted.
func (s *cutState) set(cut bool, now time.Time) (lasted time.Duration, changed bool) {
	switch {
	case cut == s.isCutOff():
		return 0, false
	case cut:
		s.cutSince = now
		return elapsed(s.restoredAt, now), true
	}
	lasted = elapsed(s.cutSince, now)
	s.cutSince, s.restoredAt = time.Time{}, now
	return lasted, true
}

// path is what is known of the reachability of one zone.
type path struct {
	cutState
	// daemons is the number of daemons in the zone.
	daemons int
	// activeAt is when a back end last sent something or accepted a connection, and
	// answeredAt when a daemon last answered a probe.
	activeAt, answeredAt time.Time
	// suspectedAt is when there was last a reason to probe the zone, and reportedAt when
	// another daemon last found it cut off.
	suspectedAt, reportedAt time.Time
	unresponsive            UnresponsiveBackends
	// probingSince is since when daemons of the zone are being probed; zero if they are
	// not. probes is the number of probes since then, and probedAt the time of the latest.
	probingSince, probedAt time.Time
	probes                 int
	// suspicionSent is set once other daemons were told that no probe was answered.
	suspicionSent bool
	// probingEndedAt is when the former round of probes ended.
	probingEndedAt time.Time
	// connectedAt is when a connection to a back end of the zone was last requested.
	connectedAt time.Time
}

// storePath holds when the store was last called, and when calls failed and were answered.
type storePath struct{ probedAt, failedAt, answeredAt time.Time }

// NewReachability returns the Reachability of a daemon that is cut off from no zone.
func NewReachability(topology Topology) *Reachability {
	r := &Reachability{own: topology.OwnZone(), paths: map[string]*path{}}
	for _, name := range topology.Zones() {
		r.paths[name] = &path{}
		if name != r.own {
			r.otherZones = append(r.otherZones, name)
		}
	}
	r.publish()
	return r
}

// IsCutOff reports whether this daemon is cut off from a zone.
func (r *Reachability) IsCutOff(zone string) bool {
	return !r.current.Load().zones[zone].cutSince.IsZero()
}

// Weight returns the fraction of its usual traffic that a zone is to get: 0 while it is cut
// off, then rising to 1 over RampTime.
func (r *Reachability) Weight(zone string, now time.Time) float64 {
	known := r.current.Load().zones[zone]
	switch {
	case !known.cutSince.IsZero():
		return 0
	case known.restoredAt.IsZero():
		return 1
	}
	return min(max(float64(now.Sub(known.restoredAt))/float64(RampTime), 0), 1)
}

// IsolatedSince returns since when this daemon has been isolated; false if it is not.
func (r *Reachability) IsolatedSince() (since time.Time, isolated bool) {
	since = r.current.Load().isolatedSince
	return since, !since.IsZero()
}

// ZoneCount returns the number of zones, including this daemon's own.
func (r *Reachability) ZoneCount() int { return len(r.otherZones) + 1 }

// Changed returns a channel that is closed at the next change of state.
func (r *Reachability) Changed() <-chan struct{} { return r.current.Load().changed }

// update calls change on the path to a zone with the mutex held, if the zone is known.
func (r *Reachability) update(zone string, change func(*path)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.paths[zone]; p != nil {
		change(p)
	}
}

// RecordActivity records that a back end of a zone sent something or accepted a connection.
func (r *Reachability) RecordActivity(zone string, now time.Time) {
	r.update(zone, func(p *path) { p.activeAt = now })
}

// RecordProbeReply records that a daemon of a zone answered a probe.
func (r *Reachability) RecordProbeReply(zone string, now time.Time) {
	r.update(zone, func(p *path) { p.answeredAt = now })
}

// Suspect records a reason to probe a zone's daemons: one of them is suspected to have
// failed, or other daemons get no replies from there.
func (r *Reachability) Suspect(zone string, now time.Time) {
	r.update(zone, func(p *path) { p.suspectedAt = now })
}

// RecordCutOffReport records another daemon's report, of the given age, that a zone is cut
// off. It replaces the evidence of unresponsive back ends, but not that of the daemons,
// which this daemon probes itself.
func (r *Reachability) RecordCutOffReport(zone string, age time.Duration, now time.Time) {
	r.update(zone, func(p *path) { p.reportedAt = now.Add(-age) })
}

// RecordStoreCall records the outcome of a call to the store that began at the given time.
func (r *Reachability) RecordStoreCall(answered bool, began, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if answered {
		r.store.answeredAt = now
	} else if began.After(r.store.failedAt) {
		r.store.failedAt = began
	}
}

// SetDaemonCount sets the number of daemons in a zone and reports whether the value was
// accepted. During probing it may only increase, as the zone's daemons may be taken for
// dead by then.
func (r *Reachability) SetDaemonCount(zone string, count int) bool {
	accepted := false
	r.update(zone, func(p *path) {
		if accepted = p.probingSince.IsZero() || count > p.daemons; accepted {
			p.daemons = count
		}
	})
	return accepted
}

// publish makes the current state visible to readers; the mutex must be held.
func (r *Reachability) publish() {
	next := &snapshot{zones: map[string]cutState{}, isolatedSince: r.isolation.cutSince, changed: make(chan struct{})}
	for name, p := range r.paths {
		next.zones[name] = p.cutState
	}
	if previous := r.current.Swap(next); previous != nil {
		close(previous.changed)
	}
}
