package zone

import "time"

const (
	// probeTimeout is how long all daemons of a zone that were probed must have been silent,
	// and its back ends, too: ten times what a daemon with a busy processor takes.
	probeTimeout = 250 * time.Millisecond
	// minSilent is how many daemons and back ends of a zone must be silent.
	minSilent = 3
	// storeTimeout is how long the store must not have answered, and storeFailureTTL for
	// how long a call that failed counts.
	storeTimeout    = 500 * time.Millisecond
	storeFailureTTL = 1500 * time.Millisecond
)

// Evidence is what a belief rests on.
type Evidence struct {
	// Asked is how many daemons were probed and did not answer, for the time Unanswered.
	// Silent is how many back ends keep requests waiting; no back end of the zone has
	// sent anything for the time Unheard, 0 if none ever did.
	ProbedDaemons, SilentBackends          int
	ProbesUnansweredFor, BackendsSilentFor time.Duration
	// Told: another daemon found the zone cut off.
	ReportedByPeer bool
}

// BeliefChange is a change of what is believed.
type ReachabilityChange struct {
	// Zone is the zone; "" for this daemon itself.
	Zone string
	// Cut tells what is believed from now on, and Lasted for how long the contrary was,
	// 0 if always.
	CutOff   bool
	Lasted   time.Duration
	Evidence Evidence
}

// isLost tells whether the daemons probed in a zone had the time to answer, and none did.
func (p *path) isLost(now time.Time) bool {
	return p.isSilent() && p.daemons > 0 && now.Sub(p.probingSince) >= probeTimeout
}

// updateZone updates the belief whether a zone is cut off.
func (r *Reachability) updateZone(name string, now time.Time, plan *Plan) {
	p := r.paths[name]
	cut := p.isLost(now) && now.Sub(p.heardAt) >= probeTimeout
	if !p.isCut() {
		cut = cut && (r.isolation.isCut() || p.hasEvidence(now) && r.isAnyoneHeard(p.probingSince))
	}
	if lasted, changed := p.become(cut, now); changed {
		plan.Changes = append(plan.Changes, ReachabilityChange{Zone: name, CutOff: cut, Lasted: lasted, Evidence: p.evidence(now)})
	}
}

// hasEvidence tells whether more is silent in a zone than a few daemons that may have
// died: back ends, too.
func (p *path) hasEvidence(now time.Time) bool {
	silent := p.waiting.Silent
	if p.isReported(now) {
		silent = max(silent, 1)
	}
	return silent > 0 && silent+min(p.probes, p.daemons) >= minSilent
}

func (p *path) isReported(now time.Time) bool { return now.Sub(p.reportedAt) < suspicionTTL }

func (p *path) evidence(now time.Time) Evidence {
	return Evidence{
		ProbedDaemons: min(p.probes, p.daemons), SilentBackends: p.waiting.Silent, ReportedByPeer: p.isReported(now),
		ProbesUnansweredFor: since(p.probingSince, now), BackendsSilentFor: since(p.heardAt, now),
	}
}

// isAnyoneHeard tells whether this daemon heard from anybody after a time.
func (r *Reachability) isAnyoneHeard(after time.Time) bool {
	for _, p := range r.paths {
		if p.answeredAt.After(after) || p.heardAt.After(after) {
			return true
		}
	}
	return false
}

// updateIsolation updates the belief whether this daemon is cut off.
func (r *Reachability) updateIsolation(now time.Time, plan *Plan) {
	lost, soonLost, total := 0, 0, 0
	for name, p := range r.paths {
		daemons := p.daemons
		total += daemons
		if name == r.own {
			daemons-- // this one
		}
		if p.isSilent() && now.Sub(p.probingSince) >= probeInterval {
			soonLost += max(daemons, 0)
		}
		if p.isLost(now) {
			lost += max(daemons, 0)
		}
	}
	if total > 1 && 2*soonLost >= total && now.Sub(r.store.probedAt) >= storeProbeInterval {
		r.store.probedAt = now
		plan.ProbeStore = true
	}
	isolated := total > 1 && 2*lost >= total && r.store.isSilent(now)
	if lasted, changed := r.isolation.become(isolated, now); changed {
		evidence := Evidence{ProbedDaemons: lost, ProbesUnansweredFor: since(r.store.answeredAt, now)}
		plan.Changes = append(plan.Changes, ReachabilityChange{CutOff: isolated, Lasted: lasted, Evidence: evidence})
	}
}

// isSilent tells whether calls to the store fail, and none was answered lately.
func (s *storePath) isSilent(now time.Time) bool {
	return s.failedAt.After(s.answeredAt) && now.Sub(s.failedAt) < storeFailureTTL && now.Sub(s.answeredAt) >= storeTimeout
}

// since is how long ago something was; 0 if it never was.
func since(then, now time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
