// Package quota keeps the requests of a tenant within its limit, over all daemons
// of a fleet together, and spends what the limit allows on whole programs.
//
// Each tenant has an owner: the holder of a shard of the ledger, which the store
// fences. Every request of a limited tenant asks the owner (Gate), which decides by
// a bucket of tokens (Limiter). The owner forgets the bucket with its process. That
// is safe, whatever was spent before: a bucket lets at most its rate times the time
// plus what it began with pass, so two owners that follow each other never let more
// pass than one, but for what the second begins with, and that is set aside.
package quota

import "time"

// Terms are how the operators bound a tenant's requests: in every span of Window at
// most (rate x Window + burst) x (1 + Overage) + Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultTerms allow nothing beyond rate and burst.
func DefaultTolerance() Tolerance { return Tolerance{Window: 5 * time.Second} }

const (
	// takeoversBorne is how many owners may follow each other within a window: a
	// shard moves at a planned stop, and once more if its successor is lost.
	maxTakeovers = 2
	// rateShare is the part of what the terms allow beyond rate and burst that goes
	// into the rate. The rest lets a tenant of one request a second, whose programs
	// make four at once, begin one: half in the rate left it two tokens, a quarter
	// leaves it ten.
	rateShare = 0.25
	// startShare is the part of it that each new owner begins with. What is left is
	// for daemons that hear of no owner.
	startShare = 0.1
	// unaskedShare is that part.
	fallbackShare = 0.1
)

// Limit is what a tenant may make: PerSecond requests a second, Burst more at once.
type Limit struct {
	PerSecond float64 `json:"r"`
	Burst     float64 `json:"b"`
}

// bounds are what a limit makes of a bucket.
type bounds struct {
	// rate is in tokens a second; capacity is the most that the bucket holds, and
	// start what it holds at first where another may have been used up before.
	rate     float64
	capacity float64
	initial  float64
}

// most is what a window may hold at most.
func (t Tolerance) maxPerWindow(limit Limit) float64 {
	return (limit.PerSecond*t.Window.Seconds()+limit.Burst)*(1+t.Overage) + t.Slack
}

// boundsOf divides what a window may hold: rate x Window + capacity +
// takeoversBorne x start + the unasked part is exactly that.
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
