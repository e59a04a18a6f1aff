package instance

// A back end may start again under the name that it had. Its entry then tells a higher
// incarnation, and the run before is over: nothing is held there any more, its sequence says
// nothing of the new one, and what it was working on is lost. An entry that tells a lower
// incarnation than the one known is a write of an earlier run that was done late, or that of a
// run whose machine's clock went back. Only the second one writes again.

// latestRun is the latest run that is known of a name.
type latestRun struct {
	id          string
	incarnation int64
	// doubted is the entry of a lower incarnation that was read last; its incarnation is
	// noIncarnation if there was none.
	doubted, doubtedSequence int64
}

func newLatestRun(instance *Instance) latestRun {
	return latestRun{id: instance.ID, incarnation: instance.incarnation(), doubted: noIncarnation}
}

// noIncarnation is that of no run.
const noIncarnation = -1

// supersedes tells whether an entry is that of the latest run, or of a later one.
func (r *latestRun) supersedes(instance *Instance) bool {
	incarnation := instance.incarnation()
	if incarnation >= r.incarnation {
		return true
	}
	if incarnation == r.doubted && instance.Sequence > r.doubtedSequence {
		return true // it goes on to write
	}
	r.doubted, r.doubtedSequence = incarnation, instance.Sequence
	return false
}

// noteRun takes note of the run that an entry is of. It returns the run's ID, whose entry it
// counts as, and the run that ended with that, nil if none did. An entry that is not believed
// counts as one of the latest run.
func (p *Pool) noteRun(instance *Instance) (id string, ended *entry) {
	latest := p.latestRuns[instance.Name()]
	if latest == nil {
		first := newLatestRun(instance)
		p.latestRuns[instance.Name()] = &first
		return instance.ID, nil
	}
	if instance.ID == latest.id || !latest.supersedes(instance) {
		return latest.id, nil
	}
	ended = p.byID[latest.id]
	delete(p.byID, latest.id)
	*latest = newLatestRun(instance)
	return instance.ID, ended
}

// HasEnded tells whether another run of a run's name is believed. That is an entry's word, and no
// proof: a run that leaves goes on with what it has while its successor begins elsewhere, and of two
// that both write, the one that wrote last may be believed.
func (p *Pool) IsSuperseded(id string) bool {
	run := Instance{ID: id}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest := p.latestRuns[run.Name()]
	return latest != nil && latest.id != id
}

// IsReplaced tells whether a run is over for certain: a later one has its address.
func (p *Pool) IsReplaced(run Instance) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest := p.latestRuns[run.Name()]
	if latest == nil || latest.incarnation <= run.incarnation() {
		return false
	}
	successor := p.byID[latest.id]
	return successor != nil && successor.Address == run.Address
}

// forgetRun forgets that an instance is the latest run of its name.
func (p *Pool) forgetRun(known *entry) {
	if latest := p.latestRuns[known.Name()]; latest != nil && latest.id == known.ID {
		delete(p.latestRuns, known.Name())
	}
}
