// Package quota enforces tenants' request limits over all daemons of a fleet, and
// favours requests of running programs over new programs.
//
// Each tenant has an owner: the holder of a shard of the ledger, with fencing by the
// store. Every request of a limited tenant asks the owner (Gate), which decides with a
// token bucket (Limiter). The bucket is kept in memory only. That is safe: a bucket
// admits at most its rate times the elapsed time plus its initial tokens, so a new
// owner can exceed the limit only by its initial tokens, for which boundsOf sets aside
// a share of the tolerance.
package quota

import "time"

// Tolerance bounds a tenant's requests: in every span of Window there are at most
// (rate x Window + burst) x (1 + Overage) + Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultTolerance allows nothing beyond rate and burst.
func DefaultTolerance() Tolerance { return Tolerance{Window: 5 * time.Second} }

const (
	// maxTakeovers is how many owners may follow each other within a window: a shard
	// moves at a planned shutdown, and once more if its successor is lost.
	maxTakeovers = 2
	// rateShare is the part of the tolerance beyond rate and burst that is added to
	// the rate. Most of the rest goes to the burst, so that a program of a tenant with
	// a low rate can make several requests at once.
	rateShare = 0.25
	// startShare is the part of the tolerance that each new owner's bucket starts
	// with.
	startShare = 0.2
	// fallbackShare is the part reserved for daemons that reach no owner.
	fallbackShare = 0.1
)

// OwnerOverlap is how long an owner that was replaced without hearing of it may go on deciding.
const OwnerOverlap = 350 * time.Millisecond

// Limit is a tenant's limit: PerSecond requests a second, and Burst more at once.
type Limit struct {
	PerSecond float64 `json:"r"`
	Burst     float64 `json:"b"`
}

// bounds are the parameters of a bucket for a limit.
type bounds struct {
	// rate is in tokens per second, capacity the most tokens that the bucket holds,
	// and initial what it holds at first when a former owner may have admitted
	// requests.
	rate     float64
	capacity float64
	initial  float64
}

// maxPerWindow is the most requests that a window may contain.
func (t Tolerance) maxPerWindow(limit Limit) float64 {
	return (limit.PerSecond*t.Window.Seconds()+limit.Burst)*(1+t.Overage) + t.Slack
}

// boundsOf divides the requests that a window may contain: rate x Window + capacity +
// maxTakeovers x initial + the fallback's share add up to maxPerWindow.
func (t Tolerance) boundsOf(limit Limit) bounds {
	usual := limit.PerSecond*t.Window.Seconds() + limit.Burst
	spare := t.maxPerWindow(limit) - usual
	b := bounds{
		rate:    limit.PerSecond + rateShare*spare/t.Window.Seconds(),
		initial: startShare * spare,
	}
	b.capacity = t.maxPerWindow(limit) - b.rate*t.Window.Seconds() - maxTakeovers*b.initial - fallbackShare*spare
	return b
}
