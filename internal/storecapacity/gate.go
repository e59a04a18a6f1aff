package storecapacity

import "time"

const (
	// burstTime is for how long a shard in which few programs begin may accumulate the base
	// rate.
	burstTime = 4 * time.Second
	// minRetryAfter is the least time after which a refused program is told to try again,
	// as a plan is valid for some hundred milliseconds.
	minRetryAfter = 200 * time.Millisecond
)

// Gate decides for one shard whether programs may begin there. It is a token bucket whose
// rate follows the plan. The zero value is ready.
type Gate struct {
	// balance is the number of bytes that may be admitted at once, negative for a debt.
	balance float64
	at      time.Time
}

// Admit reports whether a program may begin in one of a number of shards and, if not, when
// it should be tried again. Without a plan all programs may begin.
func (g *Gate) Admit(plan Plan, shards int, now time.Time) (admitted bool, retryAfter time.Duration) {
	passed := now.Sub(g.at)
	g.at = now
	baseRate, rate := plan.BaseRate/float64(shards), plan.Rate/float64(shards)
	if baseRate <= 0 {
		return true, 0
	}
	g.balance = min(g.balance+rate*passed.Seconds(), baseRate*burstTime.Seconds())
	if g.balance >= 0 && rate > 0 {
		g.balance -= plan.ProgramBytes
		return true, 0
	}
	if rate <= 0 {
		return false, burstTime // more was written than planned, and some of it must expire first
	}
	wait := time.Duration(-g.balance / rate * float64(time.Second))
	return false, min(max(wait, minRetryAfter), burstTime)
}
