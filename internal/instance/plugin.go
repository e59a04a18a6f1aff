package instance

import "time"

// Filter keeps instances from getting requests. It is asked under the pool's lock
// for each instance of a request's service: it must not block, allocate or call the
// pool.
type Filter interface {
	// Reason names in logs why the filter turns instances down.
	Reason() string
	// Admits tells whether an instance may get a request.
	Admits(query *Query, candidate *Instance, now time.Time) bool
}

// TemporaryFilter is a Filter that turns an instance down for some seconds at most. A
// service all of whose instances it turns down is full, not gone.
type TemporaryFilter interface {
	Filter
	// IsTemporary marks the filter; it does nothing.
	IsTemporary()
}

// Scorer weighs instances that may get a request. It is asked like a Filter.
type Scorer interface {
	// Cost is what counts against an instance, or for it if it is negative, as a share
	// of its slots: 1 is as much as all slots taken.
	Cost(query *Query, candidate *Instance, now time.Time) float64
}

// Reserver has the last word on the instance that was chosen. It is asked like a
// Filter, once for each choice.
type Reserver interface {
	// Reserve takes what sending a request to the instance needs, or returns false:
	// then the instance is passed over and another is chosen. The request must have
	// begun to be sent by sendBy, unless that is zero.
	Reserve(candidate *Instance, now time.Time) (sendBy time.Time, reserved bool)
}

// Plugins are the parts that take part in the choice of instances. Any may be empty.
type Plugins struct {
	Filters   []Filter
	Scorers   []Scorer
	Reservers []Reserver
}

// filteredBy returns the filter that turns an instance down, nil if none does.
func (p *Plugins) filteredBy(query *Query, candidate *Instance, now time.Time) Filter {
	for _, filter := range p.Filters {
		if !filter.Admits(query, candidate, now) {
			return filter
		}
	}
	return nil
}

// cost is the sum of what all scorers say.
func (p *Plugins) cost(query *Query, candidate *Instance, now time.Time) float64 {
	sum := 0.0
	for _, scorer := range p.Scorers {
		sum += scorer.Cost(query, candidate, now)
	}
	return sum
}

// reserve asks all reservers; the first that says no ends it. sendBy is the earliest of
// theirs.
func (p *Plugins) reserve(candidate *Instance, now time.Time) (sendBy time.Time, reserved bool) {
	for _, reserver := range p.Reservers {
		bound, reserved := reserver.Reserve(candidate, now)
		if !reserved {
			return time.Time{}, false
		}
		if sendBy.IsZero() || (!bound.IsZero() && bound.Before(sendBy)) {
			sendBy = bound
		}
	}
	return sendBy, true
}
