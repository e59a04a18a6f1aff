package zone

import "time"

// StepInterval is the time between two calls of Reachability.Step.
const StepInterval = 50 * time.Millisecond

const (
	// firstProbes daemons of a zone are probed at first, and as many more each
	// probeInterval, up to maxProbes: a daemon that runs answers within some milliseconds,
	// which tells a failed rack or a few busy machines apart from a zone.
	firstProbes   = 3
	probeInterval = 100 * time.Millisecond
	maxProbes     = 9
	// controlProbes daemons of each other zone are probed at the same time: where these
	// do not answer either, it may be this daemon that is cut off.
	controlProbes = 1
	// probePause is how long a zone is not probed again: a burst makes back ends slow
	// everywhere, and is no time for many probes.
	probePause = 500 * time.Millisecond
	// maxProbing bounds how long a zone is probed that is not found cut off.
	maxProbing = time.Second
	// reprobes daemons of a zone are probed each reprobeInterval once maxProbes were sent or
	// the zone was found cut off, so that the end of a cut is noticed as soon.
	// storeProbeInterval is how often the store is called meanwhile.
	reprobes           = 2
	reprobeInterval    = 200 * time.Millisecond
	storeProbeInterval = 300 * time.Millisecond
	// connectInterval is how often a back end of a zone that is cut off is connected to. The
	// daemons there tell of the end of the cut sooner, but it may have none that runs.
	connectInterval = time.Second
	// suspicionTTL is for how long a reason to suspect a zone counts.
	suspicionTTL = time.Second
	// maxStepDelay is how late a step may come. After a longer pause of this daemon all
	// others seem to have been silent.
	maxStepDelay = 100 * time.Millisecond
)

// Plan is what a step asks for.
type Plan struct {
	// Probe is how many daemons of each zone are to be probed, those first that were not
	// probed lately.
	Probe map[string]int
	// Suspected are the zones of which nobody answers yet: other daemons had better probe
	// them, too.
	Suspected []string
	// Connect are the zones of which a back end is to be connected to.
	Connect []string
	// ProbeStore: the store is to be called.
	ProbeStore bool
	Changes    []ReachabilityChange
}

func (p *Plan) addProbes(zone string, count int) {
	if p.Probe == nil {
		p.Probe = map[string]int{}
	}
	p.Probe[zone] += count
}

// Step takes what this daemon's requests tell of each zone, updates what is believed,
// and returns what is to be probed.
func (r *Reachability) Step(waiting map[string]UnresponsiveBackends, now time.Time) Plan {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var plan Plan
	paused := !r.steppedAt.IsZero() && now.Sub(r.steppedAt) > StepInterval+maxStepDelay
	r.steppedAt = now
	for name, p := range r.paths {
		p.waiting = waiting[name]
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
// without a result, if neither the zone nor this daemon was found cut off and this daemon
// was paused or maxProbing is over.
func (p *path) stopProbingIfDone(paused bool, isolatedSince, now time.Time) {
	if p.probingSince.IsZero() {
		return
	}
	foundCut := p.isCut() || !isolatedSince.IsZero()
	noResult := !foundCut && (paused || now.Sub(p.probingSince) >= maxProbing)
	if p.isSilent() && !noResult {
		return
	}
	p.probingSince, p.probes, p.suspicionSent = time.Time{}, 0, false
	p.probingEndedAt = now
}

// isSilent tells whether the zone is being probed and no daemon there has answered since.
func (p *path) isSilent() bool {
	return !p.probingSince.IsZero() && !p.answeredAt.After(p.probingSince)
}

func (p *path) isSuspect(now time.Time) bool {
	return p.waiting.Overdue > 0 || now.Sub(p.suspectedAt) < suspicionTTL || now.Sub(p.reportedAt) < suspicionTTL
}

// startProbing begins to probe a zone, and some daemons of all others.
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
		if !p.isCut() {
			p.probe(name, count, now, plan)
		}
	}
}

// probe probes more daemons of a zone.
func (p *path) probe(name string, count int, now time.Time, plan *Plan) {
	count = min(count, maxProbes-p.probes)
	p.probes += count
	p.probedAt = now
	plan.addProbes(name, count)
}

// continueProbing sends further probes while nobody answers, and reports that to other
// daemons once. While the zone is cut off it also asks for connections to back ends.
func (p *path) continueProbing(name string, now time.Time, plan *Plan) {
	if p.probingSince.IsZero() {
		return
	}
	if !p.suspicionSent && p.waiting.Overdue > 0 && p.isSilent() && now.Sub(p.probingSince) >= probeInterval {
		p.suspicionSent = true
		plan.Suspected = append(plan.Suspected, name)
	}
	isCut := p.isCut()
	if isCut && now.Sub(p.connectedAt) >= connectInterval {
		p.connectedAt = now
		plan.Connect = append(plan.Connect, name)
	}
	switch waited := now.Sub(p.probedAt); {
	case isCut || p.probes >= maxProbes:
		if waited >= reprobeInterval {
			p.probedAt = now
			plan.addProbes(name, reprobes)
		}
	case waited >= probeInterval:
		p.probe(name, firstProbes, now, plan)
	}
}
