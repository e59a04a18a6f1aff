package zone

import (
	"sync"
	"sync/atomic"
	"time"
)

// RampTime is how long after a cut's end the zone gets less than its share.
const RampTime = time.Second

// Waiting is what a daemon's own requests tell of the back ends of a zone.
type Waiting struct {
	// Overdue back ends keep a request waiting for somewhat longer than they usually
	// do, and Silent ones for much longer.
	Overdue, Silent int
}

// Reachability is a daemon's belief which zones it is cut off from, and whether it
// is cut off itself.
//
// A zone is taken to be cut off when none of the daemons that were asked there
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
	// others are the names of the paths but the daemon's own, in order.
	others  []string
	stepped time.Time
	store   storePath
	// isolatedSince is zero while this daemon is not cut off, and endedAt is when it
	// last ceased to be.
	isolatedSince, endedAt time.Time
}

// beliefs is what readers see. It is replaced as a whole.
type beliefs struct {
	zones         map[string]belief
	isolatedSince time.Time
	// changed is closed when it is replaced.
	changed chan struct{}
}

// belief is since when a zone has been cut off, zero if it is not, and when it last
// was.
type belief struct{ cutSince, endedAt time.Time }

// path is what is known of the way to one zone.
type path struct {
	belief
	// daemons is how many there are.
	daemons int
	// heardAt is when a back end sent something last, and answeredAt when a daemon
	// answered a question.
	heardAt, answeredAt time.Time
	// suspectedAt is when there was a ground to ask last, and toldAt when another
	// daemon found the zone cut off.
	suspectedAt, toldAt time.Time
	waiting             Waiting
	// openSince is since when daemons of the zone are being asked; zero if none is.
	// asked counts the questions, and askedAt is when the latest was put.
	openSince, askedAt time.Time
	asked              int
	// shared: other daemons were told that none has answered.
	shared bool
	// closedAt is when the questions before ended.
	closedAt time.Time
	// triedAt is when a back end of the zone was last to be connected to.
	triedAt time.Time
}

// storePath is what is known of the way to the store.
type storePath struct{ askedAt, failedAt, answeredAt time.Time }

// NewReachability returns the belief of a daemon that is cut off from no zone.
func NewReachability(topology Topology) *Reachability {
	r := &Reachability{own: topology.Own(), paths: map[string]*path{}}
	for _, name := range topology.Zones() {
		r.paths[name] = &path{}
		if name != r.own {
			r.others = append(r.others, name)
		}
	}
	r.publish()
	return r
}

// IsCut tells whether this daemon is taken to be cut off from a zone.
func (r *Reachability) IsCut(zone string) bool {
	return !r.beliefs.Load().zones[zone].cutSince.IsZero()
}

// Share is which part of its share of requests a zone is to get: 0 while it is cut
// off, rising to 1 within RampTime after.
func (r *Reachability) Share(zone string, now time.Time) float64 {
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
func (r *Reachability) Isolated() (since time.Time, isolated bool) {
	since = r.beliefs.Load().isolatedSince
	return since, !since.IsZero()
}

// Zones returns how many zones there are, this daemon's own included.
func (r *Reachability) Zones() int { return len(r.others) + 1 }

// Changed returns a channel that is closed at the next change of a belief.
func (r *Reachability) Changed() <-chan struct{} { return r.beliefs.Load().changed }

// with calls change with the path to a zone, if the zone is known.
func (r *Reachability) with(zone string, change func(*path)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.paths[zone]; p != nil {
		change(p)
	}
}

// Heard takes note that a back end of a zone sent something, or could be connected to.
func (r *Reachability) Heard(zone string, now time.Time) {
	r.with(zone, func(p *path) { p.heardAt = now })
}

// Answered takes note that a daemon of a zone answered a question.
func (r *Reachability) Answered(zone string, now time.Time) {
	r.with(zone, func(p *path) { p.answeredAt = now })
}

// Suspect takes note of a ground to ask a zone's daemons, such as that one of them
// is suspected to have failed, or that others hear nothing of them.
func (r *Reachability) Suspect(zone string, now time.Time) {
	r.with(zone, func(p *path) { p.suspectedAt = now })
}

// Told takes another daemon's word of some age that a zone is cut off. It stands
// for the silence of the back ends there, not for that of the daemons: this daemon
// asks these itself.
func (r *Reachability) Told(zone string, age time.Duration, now time.Time) {
	r.with(zone, func(p *path) { p.toldAt = now.Add(-age) })
}

// StoreAsked takes the outcome of a call to the store that began at a time.
func (r *Reachability) StoreAsked(answered bool, began, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if answered {
		r.store.answeredAt = now
	} else if began.After(r.store.failedAt) {
		r.store.failedAt = began
	}
}

// NoteDaemons takes how many daemons a zone has, and tells whether that counts: a
// zone that is being asked keeps its number unless that grows, as its daemons may be
// taken for dead by now.
func (r *Reachability) NoteDaemons(zone string, count int) bool {
	counts := false
	r.with(zone, func(p *path) {
		if counts = p.openSince.IsZero() || count > p.daemons; counts {
			p.daemons = count
		}
	})
	return counts
}

// publish makes the beliefs known to readers; the mutex must be held.
func (r *Reachability) publish() {
	next := &beliefs{zones: map[string]belief{}, isolatedSince: r.isolatedSince, changed: make(chan struct{})}
	for name, p := range r.paths {
		next.zones[name] = p.belief
	}
	if former := r.beliefs.Swap(next); former != nil {
		close(former.changed)
	}
}
