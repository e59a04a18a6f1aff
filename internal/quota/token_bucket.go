package quota

import "time"

// tokenBucket fills at a rate, in tokens a second, up to a capacity.
type tokenBucket struct {
	rate     float64
	capacity float64
	tokens   float64
	// at is when tokens was last brought up to date.
	at time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.tokens = min(b.tokens+b.rate*passed, b.capacity)
		b.at = now
	}
}

// timeToFill is how long the bucket takes for so many tokens.
func (b *tokenBucket) timeToFill(tokens float64) time.Duration {
	return time.Duration(tokens / b.rate * float64(time.Second))
}
