package zone

import (
	"sync"
	"sync/atomic"
	"time"
)

// RampTime is how long after a cut's end the zone gets less than its share.
const RampTime = time.Second

// Waiting is what a daemon's own requests tell of the back ends of a zone.
type UnresponsiveBackends struct {
	// Overdue back ends keep a request waiting for somewhat longer than they usually
	// do, and Silent ones for much longer.
	Overdue, Silent int
}

// Reachability is a daemon's belief which zones it is cut off from, and whether it
// is cut off itself.
//
// A zone is taken to be cut off when none of the daemons that were probed there
// answers, its back ends keep requests waiting and send nothing on any connection,
// and somebody elsewhere does answer. Neither machines that died nor back ends that
// fail, hang or are slow look like that: in these cases somebody of the zone answers.
//
// A daemon takes itself to be cut off when the daemons of half of the fleet are
// silent, and the store does not answer in any way, whether or not back ends can be
// reached: it has no programs' records. Where the store answers, the others may as well
// have died, and somebody has to serve.
//
// It is pure: it sends nothing and has no clock. It is safe for concurrent use.
type Reachability struct {
	own     string
	beliefs atomic.Pointer[beliefs]

	// mutex guards all below.
	mutex sync.Mutex
	paths map[string]*path
	// otherZones are the names of the paths but the daemon's own, in order.
	otherZones []string
	steppedAt  time.Time
	store      storePath
	// isolation is the belief that this daemon is cut off.
	isolation belief
}

// beliefs is what readers see. It is replaced as a whole.
type beliefs struct {
	zones         map[string]belief
	isolatedSince time.Time
	// changed is closed when it is replaced.
	changed chan struct{}
}

// belief is since when a zone, or this daemon, has been cut off, zero if it is not, and when it
// last was.
type belief struct{ cutSince, endedAt time.Time }

func (b *belief) isCut() bool { return !b.cutSince.IsZero() }

// become changes the belief, and tells whether that is a change, and for how long the contrary
// was believed.
func (b *belief) become(cut bool, now time.Time) (lasted time.Duration, changed bool) {
	switch {
	case cut == b.isCut():
		return 0, false
	case cut:
		b.cutSince = now
		return since(b.endedAt, now), true
	}
	lasted = since(b.cutSince, now)
	b.cutSince, b.endedAt = time.Time{}, now
	return lasted, true
}

// path is what is known of the way to one zone.
type path struct {
	belief
	// daemons is how many there are.
	daemons int
	// heardAt is when a back end sent something last, and answeredAt when a daemon
	// answered a probe.
	heardAt, answeredAt time.Time
	// suspectedAt is when there was last a reason to probe the zone, and reportedAt when
	// another daemon found it cut off.
	suspectedAt, reportedAt time.Time
	waiting                 UnresponsiveBackends
	// probingSince is since when daemons of the zone are being probed; zero if none is.
	// probes counts the probes sent since then, and probedAt is when the latest was sent.
	probingSince, probedAt time.Time
	probes                 int
	// suspicionSent: other daemons were told that no probe was answered.
	suspicionSent bool
	// probingEndedAt is when the zone was last probed before.
	probingEndedAt time.Time
	// connectedAt is when a connection to a back end of the zone was last asked for.
	connectedAt time.Time
}

// storePath is what is known of the way to the store.
type storePath struct{ probedAt, failedAt, answeredAt time.Time }

// NewReachability returns the belief of a daemon that is cut off from no zone.
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

// IsCut tells whether this daemon is taken to be cut off from a zone.
func (r *Reachability) IsCutOff(zone string) bool {
	return !r.beliefs.Load().zones[zone].cutSince.IsZero()
}

// Share is which part of its share of requests a zone is to get: 0 while it is cut
// off, rising to 1 within RampTime after.
func (r *Reachability) Weight(zone string, now time.Time) float64 {
	known := r.beliefs.Load().zones[zone]
	switch {
	case !known.cutSince.IsZero():
		return 0
	case known.endedAt.IsZero():
		return 1
	}
	return min(max(float64(now.Sub(known.endedAt))/float64(RampTime), 0), 1)
}

// Isolated tells since when this daemon takes itself to be cut off from the store
// and most of the fleet; false if it does not.
func (r *Reachability) IsolatedSince() (since time.Time, isolated bool) {
	since = r.beliefs.Load().isolatedSince
	return since, !since.IsZero()
}

// Zones returns how many zones there are, this daemon's own included.
func (r *Reachability) ZoneCount() int { return len(r.otherZones) + 1 }

// Changed returns a channel that is closed at the next change of a belief.
func (r *Reachability) Changed() <-chan struct{} { return r.beliefs.Load().changed }

// update changes the path to a zone under the mutex, if the zone is known.
func (r *Reachability) update(zone string, change func(*path)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.paths[zone]; p != nil {
		change(p)
	}
}

// Heard takes note that a back end of a zone sent something, or could be connected to.
func (r *Reachability) RecordActivity(zone string, now time.Time) {
	r.update(zone, func(p *path) { p.heardAt = now })
}

// Answered takes note that a daemon of a zone answered a probe.
func (r *Reachability) RecordProbeReply(zone string, now time.Time) {
	r.update(zone, func(p *path) { p.answeredAt = now })
}

// Suspect takes note of a reason to probe a zone's daemons, such as that one of them
// is suspected to have failed, or that other daemons hear nothing of them.
func (r *Reachability) Suspect(zone string, now time.Time) {
	r.update(zone, func(p *path) { p.suspectedAt = now })
}

// Told takes another daemon's word of some age that a zone is cut off. It
// stands for the silence of the back ends there, not for that of the daemons: this
// daemon probes these itself.
func (r *Reachability) RecordCutOffReport(zone string, age time.Duration, now time.Time) {
	r.update(zone, func(p *path) { p.reportedAt = now.Add(-age) })
}

// StoreAsked takes the outcome of a call to the store that began at a time.
func (r *Reachability) RecordStoreCall(answered bool, began, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if answered {
		r.store.answeredAt = now
	} else if began.After(r.store.failedAt) {
		r.store.failedAt = began
	}
}

// NoteDaemons sets how many daemons a zone has, and tells whether the number was taken:
// that of a zone that is being probed may only grow, as its daemons may be taken for
// dead by now.
func (r *Reachability) SetDaemonCount(zone string, count int) bool {
	taken := false
	r.update(zone, func(p *path) {
		if taken = p.probingSince.IsZero() || count > p.daemons; taken {
			p.daemons = count
		}
	})
	return taken
}

// publish makes the beliefs known to readers; the mutex must be held.
func (r *Reachability) publish() {
	next := &beliefs{zones: map[string]belief{}, isolatedSince: r.isolation.cutSince, changed: make(chan struct{})}
	for name, p := range r.paths {
		next.zones[name] = p.belief
	}
	if former := r.beliefs.Swap(next); former != nil {
		close(former.changed)
	}
}
