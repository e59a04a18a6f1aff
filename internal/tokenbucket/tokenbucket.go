// Package tokenbucket counts what may be spent at a rate and in bursts. What a token is,
// a byte or a request, is the caller's matter.
package tokenbucket

import "time"

// Bucket fills at a rate up to a capacity. It has no clock, and is not safe for
// concurrent use.
type Bucket struct {
	// Rate is in tokens a second, Capacity in tokens.
	Rate, Capacity float64
	// Tokens is what was left at At, when it was last brought up to date.
	Tokens    float64
	UpdatedAt time.Time
}

// Full returns a full bucket; rate is in tokens a second.
func NewFull(rate, capacity float64) Bucket {
	return Bucket{Rate: rate, Capacity: capacity, Tokens: capacity}
}

// Refill brings Tokens up to date.
func (b *Bucket) Refill(now time.Time) {
	if passed := now.Sub(b.UpdatedAt).Seconds(); passed > 0 {
		b.Tokens = min(b.Tokens+b.Rate*passed, b.Capacity)
		b.UpdatedAt = now
	}
}

// Take takes up to so many whole tokens, 0 or more, and returns how many there were.
func (b *Bucket) Take(now time.Time, wanted int) int {
	b.Refill(now)
	taken := min(float64(wanted), b.Tokens)
	b.Tokens -= taken
	return int(taken)
}

// TimeToFill is how long the bucket takes for so many tokens; Rate must be above 0.
func (b *Bucket) TimeToFill(tokens float64) time.Duration {
	return time.Duration(tokens / b.Rate * float64(time.Second))
}
