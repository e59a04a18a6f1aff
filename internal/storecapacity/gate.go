package storecapacity

import "time"

const (
	// reservedShare is the part of the store that programs' newest records leave free: for
	// claims, for the dropping of records, for history (two seconds of what is kept and 128 KB
	// for each of 48 shards: 4 in 100), for what is let in by reports that are a second old, and
	// for the error of the estimate (6% by 16 of 48 shards).
	reservedShare = 0.15
	// tightShare is the part of the store from which on what is of least value goes at once: the
	// usual load of the busiest deployment measured keeps just above that.
	tightShare = 0.5
	// lastShare is the part of the store from which on nothing more is kept, also of programs
	// that are under way: the rest is for what makes room.
	lastShare = 0.96
	// floorShare is the part of what the store can keep in the long run at which programs may
	// always begin. More begin only while that can still be granted for as long as what is kept
	// now stays: a quarter of the store is for bursts. A higher floor turns away in shorter
	// bursts, a lower one more of a lasting load.
	floorShare = 0.75
	// correctionShare is by which part of the store what is kept may pass the plan until no
	// program begins any more, and with how much less than that to spare it counts as crowded.
	correctionShare = 0.08
	// spendTime is over what time the bytes beyond the floor may be kept: several times the age
	// of reports. At once, loads beyond the floor would be let in and turned away by turns.
	spendTime = 5 * time.Second
	// burstTime is for how long the floor may be saved up by a part in which few programs begin.
	burstTime = 4 * time.Second
	// leastReturn is the least time after which a program that was turned away is told to come
	// back: plans are some hundred milliseconds old.
	leastReturn = 200 * time.Millisecond
)

// Plan is what a store of a bound can still take beside what is kept.
type Plan struct {
	// Spare are the bytes that could be kept now beyond the floor, less than 0 if the floor
	// could not be granted at some time to come.
	Spare float64
	// BaseRate is how many bytes a second may be kept at any time, and Rate how many now: more
	// while there is something to spare, less if more was kept than planned.
	BaseRate, Rate float64
	// ProgramBytes is how many bytes a program usually leaves behind.
	ProgramBytes float64
	// IsTight: what can be done without goes. IsCrowded: not much more than the floor may be
	// kept. IsExhausted: nothing at all.
	IsTight, IsCrowded, IsExhausted bool
}

// PlanFor weighs what is kept against the bound of the store, in bytes. Where nothing was ever
// kept it plans nothing.
func PlanFor(kept Profile, bound float64) Plan {
	if kept.RetentionMS <= 0 {
		return Plan{}
	}
	usable := bound * (1 - reservedShare)
	bytes := float64(kept.Bytes())
	floor := floorShare * usable / kept.life().Seconds()
	spare := usable - bytes
	left := spare
	for _, leaving := range kept.Expiring[:min(len(kept.Expiring), slotsLimit-1)] {
		left += float64(leaving) - floor*SlotLength.Seconds()
		spare = min(spare, left)
	}
	pace := floor + spare/spendTime.Seconds()
	if spare < 0 {
		pace = floor * max(1+spare/(correctionShare*usable), 0)
	}
	return Plan{
		Spare: spare, BaseRate: floor, Rate: pace, ProgramBytes: float64(kept.ProgramBytes),
		IsTight: bytes >= tightShare*bound, IsCrowded: spare < correctionShare*usable, IsExhausted: bytes >= lastShare*bound,
	}
}

// Gate decides for one part of the fleet whether programs begin there. The zero value is ready.
type Gate struct {
	// saved are the bytes that may be let in at once, less than 0 for a debt.
	saved float64
	at    time.Time
}

// Admit tells whether a program may begin in one of so many parts, and if not, when it had
// better come back. Without a plan all may.
func (g *Gate) Admit(plan Plan, parts int, now time.Time) (admitted bool, back time.Duration) {
	passed := now.Sub(g.at)
	g.at = now
	floor, pace := plan.BaseRate/float64(parts), plan.Rate/float64(parts)
	if floor <= 0 {
		return true, 0
	}
	g.saved = min(g.saved+pace*passed.Seconds(), floor*burstTime.Seconds())
	if g.saved >= 0 && pace > 0 {
		g.saved -= plan.ProgramBytes
		return true, 0
	}
	if pace <= 0 {
		return false, burstTime // more was kept than planned, and some of it must be dropped first
	}
	wait := time.Duration(-g.saved / pace * float64(time.Second))
	return false, min(max(wait, leastReturn), burstTime)
}
