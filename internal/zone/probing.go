package zone

import "time"

// StepInterval is the interval between calls of Reachability.Step.
const StepInterval = 50 * time.Millisecond

const (
	// firstProbes daemons of a zone are probed at first, and as many more after each
	// probeInterval, up to maxProbes. A running daemon answers within milliseconds, so a
	// few probes tell a failed rack or some busy machines from a zone that is cut off.
	firstProbes   = 3
	probeInterval = 100 * time.Millisecond
	maxProbes     = 9
	// controlProbes daemons of each other zone are probed at the same time: if these do not
	// answer either, this daemon itself may be isolated.
	controlProbes = 1
	// probePause is the minimum time between two rounds of probes to a zone: a burst of
	// load slows back ends down everywhere, and must not cause many probes.
	probePause = 500 * time.Millisecond
	// maxProbing limits how long a zone is probed that is not found cut off.
	maxProbing = time.Second
	// reprobes daemons of a zone are probed after each reprobeInterval once maxProbes were
	// sent or the zone was found cut off, so that its return is noticed soon.
	// storeProbeInterval is the interval between calls to the store meanwhile.
	reprobes           = 2
	reprobeInterval    = 200 * time.Millisecond
	storeProbeInterval = 300 * time.Millisecond
	// connectInterval is the interval between connection attempts to a back end of a zone
	// that is cut off. Its daemons show its return sooner, but none may be running.
	connectInterval = time.Second
	// suspicionTTL is for how long a suspicion or report counts.
	suspicionTTL = time.Second
	// maxStepDelay is the accepted delay of a step. If this daemon was paused for longer,
	// all others seem to have been silent.
	maxStepDelay = 100 * time.Millisecond
)

// Plan lists the actions that a step requires.
type Plan struct {
	// Probe is the number of daemons to probe in each zone, starting with those that were
	// not probed lately.
	Probe map[string]int
	// Suspected are the zones from which no reply has come yet; other daemons are to be
	// told, so that they probe them, too.
	Suspected []string
	// Connect are the zones in which to connect to a back end.
	Connect []string
	// ProbeStore requests a call to the store.
	ProbeStore bool
	Changes    []ReachabilityChange
}

func (p *Plan) addProbes(zone string, count int) {
	if p.Probe == nil {
		p.Probe = map[string]int{}
	}
	p.Probe[zone] += count
}

// Step updates the state of all zones and of this daemon from the counts of unresponsive
// back ends, and returns the actions to take.
func (r *Reachability) Step(unresponsive map[string]UnresponsiveBackends, now time.Time) Plan {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var plan Plan
	paused := !r.steppedAt.IsZero() && now.Sub(r.steppedAt) > StepInterval+maxStepDelay
	r.steppedAt = now
	for name, p := range r.paths {
		p.unresponsive = unresponsive[name]
		p.stopProbingIfDone(paused, r.isolation.cutSince, now)
	}
	for _, name := range r.otherZones {
		if p := r.paths[name]; p.daemons > 0 && p.probingSince.IsZero() && p.isSuspect(now) && now.Sub(p.probingEndedAt) >= probePause {
			r.startProbing(name, now, &plan)
		}
	}
	for name, p := range r.paths {
		p.continueProbing(name, now, &plan)
	}
	r.updateIsolation(now, &plan)
	for _, name := range r.otherZones {
		r.updateZone(name, now, &plan)
	}
	if len(plan.Changes) > 0 {
		r.publish()
	}
	return plan
}

// stopProbingIfDone ends the probing of a zone once a probe was answered. It also ends it,
// without a result, if neither the zone is cut off nor this daemon isolated, and this
// daemon was paused or maxProbing is over.
func (p *path) stopProbingIfDone(paused bool, isolatedSince, now time.Time) {
	if p.probingSince.IsZero() {
		return
	}
	foundCutOff := p.isCutOff() || !isolatedSince.IsZero()
	noResult := !foundCutOff && (paused || now.Sub(p.probingSince) >= maxProbing)
	if p.isUnanswered() && !noResult {
		return
	}
	p.probingSince, p.probes, p.suspicionSent = time.Time{}, 0, false
	p.probingEndedAt = now
}

// isUnanswered reports whether the zone is being probed and no daemon there has answered
// yet.
func (p *path) isUnanswered() bool {
	return !p.probingSince.IsZero() && !p.answeredAt.After(p.probingSince)
}

func (p *path) isSuspect(now time.Time) bool {
	return p.unresponsive.Overdue > 0 || now.Sub(p.suspectedAt) < suspicionTTL || now.Sub(p.reportedAt) < suspicionTTL
}

// startProbing starts to probe a zone, and sends control probes to all others.
func (r *Reachability) startProbing(zone string, now time.Time, plan *Plan) {
	for name, p := range r.paths {
		count := controlProbes
		if name == zone {
			count = firstProbes
		}
		if p.daemons == 0 {
			continue // no daemon to probe is known yet
		}
		if p.probingSince.IsZero() {
			p.probingSince = now
		}
		if !p.isCutOff() {
			p.probe(name, count, now, plan)
		}
	}
}

// probe adds probes of a zone's daemons to the plan.
func (p *path) probe(name string, count int, now time.Time, plan *Plan) {
	count = min(count, maxProbes-p.probes)
	p.probes += count
	p.probedAt = now
	plan.addProbes(name, count)
}

// continueProbing sends further probes while none is answered, and reports that to other
// daemons once. While the zone is cut off it also requests connections to its back ends.
func (p *path) continueProbing(name string, now time.Time, plan *Plan) {
	if p.probingSince.IsZero() {
		return
	}
	if !p.suspicionSent && p.unresponsive.Overdue > 0 && p.isUnanswered() && now.Sub(p.probingSince) >= probeInterval {
		p.suspicionSent = true
		plan.Suspected = append(plan.Suspected, name)
	}
	isCutOff := p.isCutOff()
	if isCutOff && now.Sub(p.connectedAt) >= connectInterval {
		p.connectedAt = now
		plan.Connect = append(plan.Connect, name)
	}
	switch waited := now.Sub(p.probedAt); {
	case isCutOff || p.probes >= maxProbes:
		if waited >= reprobeInterval {
			p.probedAt = now
			plan.addProbes(name, reprobes)
		}
	case waited >= probeInterval:
		p.probe(name, firstProbes, now, plan)
	}
}
