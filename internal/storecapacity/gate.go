package storecapacity

import "time"

const (
	// reservedShare is the part of the store that programs' newest records leave free: for
	// claims, the dropping of records, history, programs that are admitted by outdated
	// reports, and the error of the estimate.
	reservedShare = 0.15
	// tightShare is the fill level from which on data of the least value is dropped at
	// once.
	tightShare = 0.5
	// exhaustedShare is the fill level from which on nothing more may be written, even by
	// programs under way: the rest is for what makes room.
	exhaustedShare = 0.96
	// baseRateShare is the base rate, at which programs may always begin, as a part of the
	// rate that the store can sustain. More programs may begin only while the base rate can
	// still be granted until the current content has expired; the rest of the store is for
	// bursts. A higher base rate leaves less for bursts, a lower one refuses more of a
	// lasting load.
	baseRateShare = 0.75
	// correctionShare is by which part of the store the usage may exceed the plan until no
	// program may begin any more. With less than that to spare the store counts as crowded.
	correctionShare = 0.08
	// spendTime is the time over which bytes beyond the base rate may be spent: several
	// times the age of reports. If they were spent at once, admission would oscillate under
	// a load beyond the base rate.
	spendTime = 5 * time.Second
	// burstTime is for how long a shard in which few programs begin may accumulate the base
	// rate.
	burstTime = 4 * time.Second
	// minRetryAfter is the least time after which a refused program is told to try again,
	// as a plan is valid for some hundred milliseconds.
	minRetryAfter = 200 * time.Millisecond
)

// Plan is what a store of a given size can still take in addition to its content.
type Plan struct {
	// Spare is the number of bytes beyond the base rate that could be written now, negative
	// if the base rate cannot be granted at all times to come.
	Spare float64
	// BaseRate is how many bytes per second may be written at any time, and Rate how many
	// now: more while there is something to spare, fewer if more was written than planned.
	BaseRate, Rate float64
	// ProgramBytes is how many bytes a program usually leaves behind.
	ProgramBytes float64
	// IsTight: dispensable data should be dropped. IsCrowded: not much more than the base
	// rate may be written. IsExhausted: nothing may be written.
	IsTight, IsCrowded, IsExhausted bool
}

// PlanFor derives a plan from the usage and the bound of the store, in bytes. Without any
// usage it returns no plan.
func PlanFor(kept Profile, bound float64) Plan {
	if kept.RetentionMS <= 0 {
		return Plan{}
	}
	usable := bound * (1 - reservedShare)
	bytes := float64(kept.Bytes())
	baseRate := baseRateShare * usable / kept.retention().Seconds()
	spare := usable - bytes
	left := spare
	for _, expiring := range kept.Expiring[:min(len(kept.Expiring), slotsLimit-1)] {
		left += float64(expiring) - baseRate*SlotLength.Seconds()
		spare = min(spare, left)
	}
	rate := baseRate + spare/spendTime.Seconds()
	if spare < 0 {
		rate = baseRate * max(1+spare/(correctionShare*usable), 0)
	}
	return Plan{
		Spare: spare, BaseRate: baseRate, Rate: rate, ProgramBytes: float64(kept.ProgramBytes),
		IsTight: bytes >= tightShare*bound, IsCrowded: spare < correctionShare*usable, IsExhausted: bytes >= exhaustedShare*bound,
	}
}

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
