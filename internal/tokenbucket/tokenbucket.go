// Package tokenbucket implements a token bucket. The caller defines what a token stands
// for, such as a byte or a request.
package tokenbucket

import "time"

// Bucket fills at a rate up to a capacity. It has no clock, and is not safe for concurrent
// use.
type Bucket struct {
	// Rate is in tokens per second, Capacity in tokens.
	Rate, Capacity float64
	// Tokens is the fill level as of UpdatedAt.
	Tokens    float64
	UpdatedAt time.Time
}

// NewFull returns a full bucket; rate is in tokens per second.
func NewFull(rate, capacity float64) Bucket {
	return Bucket{Rate: rate, Capacity: capacity, Tokens: capacity}
}

// Refill updates Tokens to the given time.
func (b *Bucket) Refill(now time.Time) {
	if passed := now.Sub(b.UpdatedAt).Seconds(); passed > 0 {
		b.Tokens = min(b.Tokens+b.Rate*passed, b.Capacity)
		b.UpdatedAt = now
	}
}

// Take removes up to the wanted number of tokens, 0 or more, and returns the number removed,
// rounded down.
func (b *Bucket) Take(now time.Time, wanted int) int {
	b.Refill(now)
	taken := min(float64(wanted), b.Tokens)
	b.Tokens -= taken
	return int(taken)
}

// TimeToFill returns how long the bucket takes to gain the tokens; Rate must be above 0.
func (b *Bucket) TimeToFill(tokens float64) time.Duration {
	return time.Duration(tokens / b.Rate * float64(time.Second))
}
