package instance

import (
	"time"
)

// fullBackoff is for how long an instance that refused a request for lack of capacity is
// chosen only if no other is available.
const fullBackoff = 60 * time.Millisecond

// Outcome is the result of a request to an instance.
type Outcome int

const (
	// OutcomeAnswered: the instance answered as expected.
	OutcomeAnswered Outcome = iota
	// OutcomeFull: the instance has no capacity for the request.
	OutcomeFull
	// OutcomeFailed: the instance could not be reached, or the connection broke.
	OutcomeFailed
	// OutcomeGone: another instance has the address, or the instance is draining.
	OutcomeGone
	// OutcomeTimeout: the instance had been silent for long when this side ended the
	// request.
	OutcomeTimeout
	// OutcomeCanceled: this side ended the request, or its failure does not count against
	// the instance.
	OutcomeCanceled
)

// Release ends a request that was counted by Take.
func (p *Pool) Release(id string, outcome Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.byID[id]
	if e == nil {
		return
	}
	e.inFlight--
	now := time.Now()
	switch outcome {
	case OutcomeFull:
		e.extendBackoff(now.Add(fullBackoff))
	case OutcomeFailed, OutcomeTimeout:
		e.extendBackoff(now.Add(e.health.recordFailure(now)))
	case OutcomeGone:
		p.presumeGone(e)
	}
}

// BackOff makes an instance a last resort for failureBackoff.
func (p *Pool) BackOff(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e := p.byID[id]; e != nil {
		e.extendBackoff(time.Now().Add(failureBackoff))
	}
}

// extendBackoff makes the instance a last resort until the given time, or longer if it
// already is.
func (e *entry) extendBackoff(until time.Time) {
	if until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
}
