package storecapacity

import "time"

const (
	// reservedShare is the part of the store that programs' newest records leave free: for
	// claims, the dropping of records, history (4 in 100: two seconds of what is written and
	// 128 KB for each of 48 shards), programs that are admitted by reports that are a second
	// old, and the error of the estimate (6% with reports of 16 of 48 shards).
	reservedShare = 0.15
	// tightShare is the fill level from which on data of the least value is dropped at
	// once. The usual load of the busiest known deployment fills the store a little further.
	tightShare = 0.5
	// exhaustedShare is the fill level from which on nothing more may be written, even by
	// programs under way: the rest is for what makes room.
	exhaustedShare = 0.96
	// baseRateShare is the base rate, at which programs may usually begin, as a part of the
	// rate that the store can sustain. More programs may begin only while the base rate can
	// still be granted until the current content has expired; the rest of the store is for
	// bursts. A higher base rate leaves less for bursts; with a lower one, a lasting load uses
	// up more at first and more of it is refused afterwards.
	baseRateShare = 0.9
	// crowdedShare: with less than this part of the store to spare it counts as crowded.
	crowdedShare = 0.03
	// correctionTime is the time within which usage beyond the plan is corrected. It must
	// exceed the age of reports several times, or admission oscillates.
	correctionTime = 2 * SlotLength
	// spendTime is the time over which bytes beyond the base rate may be spent: several
	// times the age of reports. If they were spent at once, admission would oscillate under
	// a load beyond the base rate.
	spendTime = 5 * time.Second
)

// Plan is what a store of a given size can still take in addition to its content.
type Plan struct {
	// Spare is the number of bytes beyond the base rate that could be written now, negative
	// if the base rate cannot be granted at all times to come.
	Spare float64
	// BaseRate is how many bytes per second may usually be written at any time, and Rate how
	// many now: what can be written from now on without end, and a part of what is to spare.
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
	spare := kept.spare(usable, baseRate)
	return Plan{
		Spare: spare, BaseRate: baseRate, Rate: kept.lastingRate(usable) + max(spare, 0)/spendTime.Seconds(),
		ProgramBytes: float64(kept.ProgramBytes),
		IsTight:      bytes >= tightShare*bound, IsCrowded: spare < crowdedShare*usable, IsExhausted: bytes >= exhaustedShare*bound,
	}
}

// spare returns how many bytes could be written now so that a rate in bytes per second can
// still be granted at all times to come; negative if it cannot.
func (p Profile) spare(usable, rate float64) float64 {
	spare := min(usable-float64(p.Bytes()), usable-rate*p.retention().Seconds())
	for passed, kept := range p.decline() {
		spare = min(spare, usable-kept-rate*passed.Seconds())
	}
	return spare
}

// lastingRate returns the highest rate in bytes per second that can be written from now on
// without end. Usage beyond usable is corrected within correctionTime.
func (p Profile) lastingRate(usable float64) float64 {
	rate := usable / p.retention().Seconds()
	for passed, kept := range p.decline() {
		if passed >= correctionTime {
			rate = min(rate, (usable-kept)/passed.Seconds())
		}
	}
	return max(rate, 0)
}
