package instance

// A back end may restart under the same name. Its entry then has a higher incarnation and
// the former run is over: its requests are lost, and its sequence numbers do not compare
// with those of the new run. An entry with a lower incarnation than the known one is either
// a delayed write of a former run, or from a run on a host whose clock was set back. Only
// the latter is followed by further writes.

// latestRun is the latest known run of a back end's name.
type latestRun struct {
	id          string
	incarnation int64
	// lowerIncarnation and lowerSequence are those of the last rejected entry with a lower
	// incarnation; noIncarnation if there was none.
	lowerIncarnation, lowerSequence int64
}

// newLatestRun returns the latestRun for an entry.
func newLatestRun(instance *Instance) latestRun {
	return latestRun{id: instance.ID, incarnation: instance.Incarnation(), lowerIncarnation: noIncarnation}
}

// noIncarnation is a value that no run has.
const noIncarnation = -1

// accepts reports whether an entry belongs to the latest run or replaces it.
func (r *latestRun) accepts(instance *Instance) bool {
	incarnation := instance.Incarnation()
	if incarnation >= r.incarnation {
		return true
	}
	if incarnation == r.lowerIncarnation && instance.Sequence > r.lowerSequence {
		return true // the run keeps writing
	}
	r.lowerIncarnation, r.lowerSequence = incarnation, instance.Sequence
	return false
}

// resolveRun returns the ID of the run that an entry counts for. If the entry starts a new
// run, it also returns the entry of the run that ended, which the caller removes. A rejected
// entry counts for the latest run.
func (p *Pool) resolveRun(instance *Instance) (id string, ended *entry) {
	latest := p.latestRuns[instance.Name()]
	if latest == nil {
		first := newLatestRun(instance)
		p.latestRuns[instance.Name()] = &first
		return instance.ID, nil
	}
	if instance.ID == latest.id || !latest.accepts(instance) {
		return latest.id, nil
	}
	ended = p.byID[latest.id]
	*latest = newLatestRun(instance)
	return instance.ID, ended
}

// IsSuperseded reports whether another run of the same back end is known as the latest.
// This is no proof that the run is over: a draining run finishes its requests while its
// successor starts elsewhere, and if two runs keep writing, the one that wrote last is
// taken as the latest.
func (p *Pool) IsSuperseded(id string) bool {
	run := Instance{ID: id}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest := p.latestRuns[run.Name()]
	return latest != nil && latest.id != id
}

// IsListed reports whether a run has an entry.
func (p *Pool) IsListed(id string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.byID[id]
	return known != nil && known.unlistedSince.IsZero()
}

// IsDraining reports whether a run has announced that it shuts down as planned.
func (p *Pool) IsDraining(id string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.byID[id]
	return known != nil && known.State == StateDraining
}

// IsReplaced reports whether a run is certainly over: a later one has its address.
func (p *Pool) IsReplaced(run Instance) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest := p.latestRuns[run.Name()]
	if latest == nil || latest.incarnation <= run.Incarnation() {
		return false
	}
	successor := p.byID[latest.id]
	return successor != nil && successor.Address == run.Address
}

// forgetRun removes an instance from latestRuns if it is the latest run of its name.
func (p *Pool) forgetRun(known *entry) {
	if latest := p.latestRuns[known.Name()]; latest != nil && latest.id == known.ID {
		delete(p.latestRuns, known.Name())
	}
}
