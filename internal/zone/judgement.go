package zone

import "time"

// StepInterval is the time between two calls of Reachability.Step.
const StepInterval = 50 * time.Millisecond

const (
	// firstAsked daemons of a zone are asked at first, and as many more each
	// askMoreAfter, up to mostAsked: one that runs answers within some milliseconds, so
	// that a rack that died, or some machines that are busy, are told apart from a
	// zone.
	firstAsked   = 3
	askMoreAfter = 100 * time.Millisecond
	mostAsked    = 9
	// controlAsked daemons of each other zone are asked at the same time: where these
	// do not answer either, it may be this daemon that is cut off.
	controlAsked = 1
	// answerTime is how long all daemons of a zone that were asked must have said
	// nothing, ten times what one with a full processor takes, and its back ends, too.
	answerTime = 250 * time.Millisecond
	// leastEvidence is how many daemons and back ends of a zone must be silent.
	leastEvidence = 3
	// askRest is how long a zone is left alone after its daemons were asked: a burst
	// makes back ends slow everywhere, and is no time for many questions.
	askRest = 500 * time.Millisecond
	// groundLife is for how long a ground to suspect a zone counts.
	groundLife = time.Second
	// openTime bounds how long a zone is asked that is not found cut off.
	openTime = time.Second
	// askOnEvery is how often askedOn daemons of a zone are asked that is silent by
	// then, and askStoreEvery is the same for the store: the end of a cut, or of a
	// herd's restart, is noticed as soon.
	askOnEvery = 200 * time.Millisecond
	// tryEvery is how often a back end of a zone that is cut off is connected to. The
	// daemons there tell of the end of the cut sooner, but it may have none that runs.
	tryEvery      = time.Second
	askedOn       = 2
	askStoreEvery = 300 * time.Millisecond
	// storeSilence is how long the store must not have answered, and storeMemory for how
	// long a call that failed counts.
	storeSilence = 500 * time.Millisecond
	storeMemory  = 1500 * time.Millisecond
	// lateStep is how late a step may come. After a longer pause of this daemon all
	// others seem to have been silent.
	lateStep = 100 * time.Millisecond
)

// Evidence is what a belief rests on.
type Evidence struct {
	// Asked daemons did not answer, for the time Unanswered; Silent back ends keep
	// requests waiting, and none there has sent anything for the time Unheard, 0 if
	// none ever did.
	Asked, Silent       int
	Unanswered, Unheard time.Duration
	// Told: another daemon found the zone cut off.
	Told bool
}

// BeliefChange is a change of what is believed.
type BeliefChange struct {
	// Zone is which one; "" for this daemon itself.
	Zone string
	// Cut tells what is believed from now on, and Lasted for how long the contrary was,
	// 0 if always.
	Cut      bool
	Lasted   time.Duration
	Evidence Evidence
}

// Plan is what a step asks for.
type Plan struct {
	// Ask is how many daemons of each zone are to be asked, those first that were not
	// asked since the zone was last left alone.
	Ask map[string]int
	// Suspected are the zones of which nobody answers yet: other daemons had better ask
	// them, too.
	Suspected []string
	// Try are the zones of which a back end is to be connected to.
	Try []string
	// AskStore: the store is to be called.
	AskStore bool
	Changes  []BeliefChange
}

func (p *Plan) ask(zone string, count int) {
	if p.Ask == nil {
		p.Ask = map[string]int{}
	}
	p.Ask[zone] += count
}

// Step takes what this daemon's requests tell of each zone, and decides what is
// believed and what is to be asked.
func (r *Reachability) Step(waiting map[string]Waiting, now time.Time) Plan {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var plan Plan
	paused := !r.stepped.IsZero() && now.Sub(r.stepped) > StepInterval+lateStep
	r.stepped = now
	for name, p := range r.paths {
		p.waiting = waiting[name]
		p.close(paused, r.isolatedSince, now)
	}
	for _, name := range r.others {
		if p := r.paths[name]; p.daemons > 0 && p.openSince.IsZero() && p.isSuspect(now) && now.Sub(p.closedAt) >= askRest {
			r.open(name, now, &plan)
		}
	}
	for name, p := range r.paths {
		p.askMore(name, now, &plan)
	}
	r.judgeSelf(now, &plan)
	for _, name := range r.others {
		r.judge(name, now, &plan)
	}
	if len(plan.Changes) > 0 {
		r.publish()
	}
	return plan
}

// close ends the questions to a zone once one was answered. They end in vain if this
// daemon was paused, or after a while if nothing follows from them.
func (p *path) close(paused bool, isolatedSince, now time.Time) {
	if p.openSince.IsZero() {
		return
	}
	follows := !p.cutSince.IsZero() || !isolatedSince.IsZero()
	inVain := !follows && (paused || now.Sub(p.openSince) >= openTime)
	if p.isSilent() && !inVain {
		return
	}
	p.openSince, p.asked, p.shared = time.Time{}, 0, false
	p.closedAt = now
}

// isSilent tells whether no daemon of the zone has answered since they are being asked.
func (p *path) isSilent() bool {
	return !p.openSince.IsZero() && !p.answeredAt.After(p.openSince)
}

func (p *path) isSuspect(now time.Time) bool {
	return p.waiting.Overdue > 0 || now.Sub(p.suspectedAt) < groundLife || now.Sub(p.toldAt) < groundLife
}

// open begins to ask a zone, and some daemons of all others.
func (r *Reachability) open(zone string, now time.Time, plan *Plan) {
	for name, p := range r.paths {
		count := controlAsked
		if name == zone {
			count = firstAsked
		}
		if p.daemons == 0 {
			continue // nobody to ask is known yet
		}
		if p.openSince.IsZero() {
			p.openSince = now
		}
		if p.cutSince.IsZero() {
			p.put(name, count, now, plan)
		}
	}
}

// put asks more daemons of a zone.
func (p *path) put(name string, count int, now time.Time, plan *Plan) {
	count = min(count, mostAsked-p.asked)
	p.asked += count
	p.askedAt = now
	plan.ask(name, count)
}

// askMore asks on while nobody answers, tells that once, and tries on while the zone is
// cut off.
func (p *path) askMore(name string, now time.Time, plan *Plan) {
	if p.openSince.IsZero() {
		return
	}
	if !p.shared && p.waiting.Overdue > 0 && p.isSilent() && now.Sub(p.openSince) >= askMoreAfter {
		p.shared = true
		plan.Suspected = append(plan.Suspected, name)
	}
	isCut := !p.cutSince.IsZero()
	if isCut && now.Sub(p.triedAt) >= tryEvery {
		p.triedAt = now
		plan.Try = append(plan.Try, name)
	}
	switch asked := now.Sub(p.askedAt); {
	case isCut || p.asked >= mostAsked:
		if asked >= askOnEvery {
			p.askedAt = now
			plan.ask(name, askedOn)
		}
	case asked >= askMoreAfter:
		p.put(name, firstAsked, now, plan)
	}
}

// isLost tells whether the daemons asked in a zone had the time to answer, and none did.
func (p *path) isLost(now time.Time) bool {
	return p.isSilent() && p.daemons > 0 && now.Sub(p.openSince) >= answerTime
}

// judge decides whether a zone is cut off.
func (r *Reachability) judge(name string, now time.Time, plan *Plan) {
	p := r.paths[name]
	cut := p.isLost(now) && now.Sub(p.heardAt) >= answerTime
	if p.cutSince.IsZero() {
		cut = cut && (!r.isolatedSince.IsZero() || p.hasEvidence(now) && r.isAnyoneHeard(p.openSince))
	}
	if cut == !p.cutSince.IsZero() {
		return
	}
	change := BeliefChange{Zone: name, Cut: cut, Evidence: p.evidence(now)}
	if cut {
		change.Lasted = since(p.endedAt, now)
		p.cutSince = now
	} else {
		change.Lasted = since(p.cutSince, now)
		p.cutSince, p.endedAt = time.Time{}, now
	}
	plan.Changes = append(plan.Changes, change)
}

// hasEvidence tells whether more is silent in a zone than a few daemons that may have
// died: back ends, too.
func (p *path) hasEvidence(now time.Time) bool {
	silent := p.waiting.Silent
	if p.isTold(now) {
		silent = max(silent, 1)
	}
	return silent > 0 && silent+min(p.asked, p.daemons) >= leastEvidence
}

func (p *path) isTold(now time.Time) bool { return now.Sub(p.toldAt) < groundLife }

func (p *path) evidence(now time.Time) Evidence {
	return Evidence{
		Asked: min(p.asked, p.daemons), Silent: p.waiting.Silent, Told: p.isTold(now),
		Unanswered: since(p.openSince, now), Unheard: since(p.heardAt, now),
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

// judgeSelf decides whether this daemon is cut off.
func (r *Reachability) judgeSelf(now time.Time, plan *Plan) {
	lost, soonLost, total := 0, 0, 0
	for name, p := range r.paths {
		daemons := p.daemons
		total += daemons
		if name == r.own {
			daemons-- // this one
		}
		if p.isSilent() && now.Sub(p.openSince) >= askMoreAfter {
			soonLost += max(daemons, 0)
		}
		if p.isLost(now) {
			lost += max(daemons, 0)
		}
	}
	if total > 1 && 2*soonLost >= total && now.Sub(r.store.askedAt) >= askStoreEvery {
		r.store.askedAt = now
		plan.AskStore = true
	}
	isolated := total > 1 && 2*lost >= total && r.store.isSilent(now)
	if isolated == !r.isolatedSince.IsZero() {
		return
	}
	change := BeliefChange{Cut: isolated, Evidence: Evidence{Asked: lost, Unanswered: since(r.store.answeredAt, now)}}
	if isolated {
		change.Lasted = since(r.endedAt, now)
		r.isolatedSince = now
	} else {
		change.Lasted = since(r.isolatedSince, now)
		r.isolatedSince, r.endedAt = time.Time{}, now
	}
	plan.Changes = append(plan.Changes, change)
}

// isSilent tells whether calls to the store fail, and none was answered lately.
func (s *storePath) isSilent(now time.Time) bool {
	return s.failedAt.After(s.answeredAt) && now.Sub(s.failedAt) < storeMemory && now.Sub(s.answeredAt) >= storeSilence
}

// since is how long ago something was; 0 if it never was.
func since(then, now time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}
