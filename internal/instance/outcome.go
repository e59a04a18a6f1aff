package instance

import (
	"time"
)

// fullPause is how long an instance that said it is full is passed over
// where another can be had.
const fullPause = 60 * time.Millisecond

// Outcome is what became of a request at an instance.
type Outcome int

// Outcomes.
const (
	// OutcomeAnswered: it answered as it should.
	OutcomeAnswered Outcome = iota
	// OutcomeFull: it took no more requests.
	OutcomeFull
	// OutcomeFailed: it could not be reached or broke off.
	OutcomeFailed
	// OutcomeGone: another instance has its address, or it is leaving.
	OutcomeGone
	// OutcomeSilent: it said nothing for all the time that the request had.
	OutcomeTimeout
	// OutcomeGivenUp: this side ended the request.
	OutcomeCanceled
)

// Release ends a request that Take counted.
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
		e.pauseUntil(now.Add(fullPause))
	case OutcomeFailed, OutcomeTimeout:
		e.pauseUntil(now.Add(e.health.fail(now)))
	case OutcomeGone:
		e.State = StateDraining
	}
}

// PassOver passes an instance over for a while where another can be had.
func (p *Pool) BackOff(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e := p.byID[id]; e != nil {
		e.pauseUntil(time.Now().Add(failurePause))
	}
}

// pauseUntil passes the instance over until then, or later if it is anyhow.
func (e *entry) pauseUntil(until time.Time) {
	if until.After(e.paused) {
		e.paused = until
	}
}
