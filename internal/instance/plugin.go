package instance

import "time"

// Filter excludes instances from requests. It is called with the pool's lock held, for each
// instance of a request's service: it must not block, allocate or call the pool.
type Filter interface {
	// Reason returns a short word for logs that says why the filter rejects instances.
	Reason() string
	// Admits reports whether an instance may get a request.
	Admits(query *Query, candidate *Instance, now time.Time) bool
}

// TemporaryFilter is a Filter that rejects an instance only for some seconds. A service
// whose instances it all rejects is at capacity rather than unavailable.
type TemporaryFilter interface {
	Filter
	// IsTemporary marks the filter; it does nothing.
	IsTemporary()
}

// Scorer rates instances that may get a request. The constraints on a Filter apply.
type Scorer interface {
	// Cost returns the cost of choosing an instance, as a fraction of its slots: 1 counts
	// as much as all slots in use. A negative cost makes the instance more likely to be
	// chosen.
	Cost(query *Query, candidate *Instance, now time.Time) float64
}

// Reserver confirms the chosen instance. It is called once for each choice. The constraints
// on a Filter apply.
type Reserver interface {
	// Reserve reserves what sending a request to the instance requires. If it returns
	// false, another instance is chosen. The request must have begun to be sent by sendBy,
	// unless that is zero.
	Reserve(candidate *Instance, now time.Time) (sendBy time.Time, reserved bool)
}

// Plugins are the extensions that take part in the choice of an instance. Each list may be
// empty.
type Plugins struct {
	Filters   []Filter
	Scorers   []Scorer
	Reservers []Reserver
}

// filteredBy returns the filter that rejects an instance, nil if none does.
func (p *Plugins) filteredBy(query *Query, candidate *Instance, now time.Time) Filter {
	for _, filter := range p.Filters {
		if !filter.Admits(query, candidate, now) {
			return filter
		}
	}
	return nil
}

// cost returns the sum of all scorers' costs.
func (p *Plugins) cost(query *Query, candidate *Instance, now time.Time) float64 {
	sum := 0.0
	for _, scorer := range p.Scorers {
		sum += scorer.Cost(query, candidate, now)
	}
	return sum
}

// reserve calls all reservers until one refuses. sendBy is the earliest that they return.
func (p *Plugins) reserve(candidate *Instance, now time.Time) (sendBy time.Time, reserved bool) {
	for _, reserver := range p.Reservers {
		deadline, reserved := reserver.Reserve(candidate, now)
		if !reserved {
			return time.Time{}, false
		}
		if sendBy.IsZero() || (!deadline.IsZero() && deadline.Before(sendBy)) {
			sendBy = deadline
		}
	}
	return sendBy, true
}
