package zone

import "time"

const (
	// probeTimeout is for how long all probed daemons of a zone, and its back ends, must
	// have been silent. It must exceed the time that a daemon on a busy machine takes to
	// answer.
	probeTimeout = 250 * time.Millisecond
	// minSilent is the minimum number of silent daemons and back ends of a zone.
	minSilent = 3
	// storeTimeout is for how long the store must not have answered, and storeFailureTTL
	// for how long a failed call counts.
	storeTimeout    = 500 * time.Millisecond
	storeFailureTTL = 1500 * time.Millisecond
)

// Evidence is the evidence for a change of state, for logs.
type Evidence struct {
	// ProbedDaemons is the number of daemons that were probed and have not answered for
	// ProbesUnansweredFor. SilentBackends is the number of back ends that keep requests
	// waiting; no back end of the zone has sent anything for BackendsSilentFor, 0 if none
	// ever did.
	ProbedDaemons, SilentBackends          int
	ProbesUnansweredFor, BackendsSilentFor time.Duration
	// ReportedByPeer is set if another daemon reported the zone as cut off.
	ReportedByPeer bool
}

// ReachabilityChange is a change in the state of a zone or of this daemon.
type ReachabilityChange struct {
	// Zone is the zone, "" for this daemon itself.
	Zone string
	// CutOff is the new state, and Lasted for how long the former one lasted; 0 if since
	// the start.
	CutOff   bool
	Lasted   time.Duration
	Evidence Evidence
}

// isUnreachable reports whether the probed daemons of a zone had time to answer and none
// did.
func (p *path) isUnreachable(now time.Time) bool {
	return p.isUnanswered() && p.daemons > 0 && now.Sub(p.probingSince) >= probeTimeout
}

// updateZone updates the state of a zone.
func (r *Reachability) updateZone(name string, now time.Time, plan *Plan) {
	p := r.paths[name]
	cut := p.isUnreachable(now) && now.Sub(p.activeAt) >= probeTimeout
	if !p.isCutOff() {
		cut = cut && (r.isolation.isCutOff() || p.hasEvidence(now) && r.hasHeardFromAnyone(p.probingSince))
	}
	if lasted, changed := p.set(cut, now); changed {
		plan.Changes = append(plan.Changes, ReachabilityChange{Zone: name, CutOff: cut, Lasted: lasted, Evidence: p.evidence(now)})
	}
}

// hasEvidence reports whether enough of a zone is silent, including back ends, to rule out
// a few failed daemons.
func (p *path) hasEvidence(now time.Time) bool {
	silent := p.unresponsive.Silent
	if p.isReported(now) {
		silent = max(silent, 1)
	}
	return silent > 0 && silent+min(p.probes, p.daemons) >= minSilent
}

func (p *path) isReported(now time.Time) bool { return now.Sub(p.reportedAt) < suspicionTTL }

func (p *path) evidence(now time.Time) Evidence {
	return Evidence{
		ProbedDaemons: min(p.probes, p.daemons), SilentBackends: p.unresponsive.Silent, ReportedByPeer: p.isReported(now),
		ProbesUnansweredFor: elapsed(p.probingSince, now), BackendsSilentFor: elapsed(p.activeAt, now),
	}
}

// hasHeardFromAnyone reports whether anything was received from any zone after the given
// time.
func (r *Reachability) hasHeardFromAnyone(after time.Time) bool {
	for _, p := range r.paths {
		if p.answeredAt.After(after) || p.activeAt.After(after) {
			return true
		}
	}
	return false
}

// updateIsolation updates whether this daemon is isolated.
func (r *Reachability) updateIsolation(now time.Time, plan *Plan) {
	unreachable, unanswered, total := 0, 0, 0
	for name, p := range r.paths {
		daemons := p.daemons
		total += daemons
		if name == r.own {
			daemons-- // exclude this daemon
		}
		if p.isUnanswered() && now.Sub(p.probingSince) >= probeInterval {
			unanswered += max(daemons, 0)
		}
		if p.isUnreachable(now) {
			unreachable += max(daemons, 0)
		}
	}
	if total > 1 && 2*unanswered >= total && now.Sub(r.store.probedAt) >= storeProbeInterval {
		r.store.probedAt = now
		plan.ProbeStore = true
	}
	isolated := total > 1 && 2*unreachable >= total && r.store.isUnreachable(now)
	if lasted, changed := r.isolation.set(isolated, now); changed {
		evidence := Evidence{ProbedDaemons: unreachable, ProbesUnansweredFor: elapsed(r.store.answeredAt, now)}
		plan.Changes = append(plan.Changes, ReachabilityChange{CutOff: isolated, Lasted: lasted, Evidence: evidence})
	}
}

// isUnreachable reports whether calls to the store fail and none was answered lately.
func (s *storePath) isUnreachable(now time.Time) bool {
	return s.failedAt.After(s.answeredAt) && now.Sub(s.failedAt) < storeFailureTTL && now.Sub(s.answeredAt) >= storeTimeout
}

// elapsed returns the time since then; 0 if then is zero.
func elapsed(then, now time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
