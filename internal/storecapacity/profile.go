// Package storecapacity decides how much may be kept in a store that holds a bounded number of bytes.
//
// What programs leave behind is kept for a while and dropped then. Each part of the fleet
// reports what it keeps and when that is dropped, a Profile; the profiles of some parts are an
// estimate of the whole, an Estimate. From that a Gate decides whether a program may begin. The
// rate at which programs begin at any load is never pressed below a floor, and programs that
// were let in go on: a program is turned away before the store is full, and not after.
//
// The package is pure: it has no clock, no goroutine and no network.
package storecapacity

import (
	"slices"
	"time"
)

// SlotLength is the length of time that one entry of Profile.Expiring stands for: a twelfth of
// the shortest retention that users ask for.
const SlotLength = 5 * time.Second

// longestLife bounds for how long anything is said to be kept.
const longestLife = 366 * 24 * time.Hour

// slotsLimit bounds the entries of Profile.Expiring. The last one stands for all that is dropped
// later, of which PlanFor takes nothing to be dropped.
const slotsLimit = 60

// Profile is what is kept at some moment, and when it is dropped. It travels between daemons.
type Profile struct {
	// Expiring are the bytes that are dropped within each SlotLength from then on.
	Expiring []int64 `json:"leaving,omitempty"`
	// Rate is how many bytes a second were kept lately, and RetentionMS for how many milliseconds
	// such bytes are kept.
	Rate        int64 `json:"rate,omitempty"`
	RetentionMS int64 `json:"life_ms,omitempty"`
	// ProgramBytes is how many bytes a program usually leaves behind, 0 if that is not known.
	ProgramBytes int64 `json:"program,omitempty"`
}

// Add adds bytes that are dropped after a while.
func (p *Profile) Add(bytes int64, dropped time.Duration) {
	slot := int(min(max(dropped, 0)/SlotLength, slotsLimit-1))
	for len(p.Expiring) <= slot {
		p.Expiring = append(p.Expiring, 0)
	}
	p.Expiring[slot] += bytes
}

// IsValid tells whether a profile that came from another daemon can be reckoned with.
func (p Profile) IsValid() bool {
	return len(p.Expiring) <= slotsLimit && p.Rate >= 0 && p.ProgramBytes >= 0 &&
		p.RetentionMS > 0 && p.RetentionMS <= longestLife.Milliseconds() &&
		!slices.ContainsFunc(p.Expiring, func(bytes int64) bool { return bytes < 0 })
}

// life is for how long bytes are kept.
func (p Profile) life() time.Duration { return time.Duration(p.RetentionMS) * time.Millisecond }

// Bytes returns all bytes that are kept.
func (p Profile) Bytes() int64 {
	sum := int64(0)
	for _, bytes := range p.Expiring {
		sum += bytes
	}
	return sum
}

// TimeToFull is when so many bytes are kept, if bytes are kept and dropped on as they were; 0 if that
// is not within the life of what is kept now, or within all slots.
func (p Profile) TimeToFull(bound float64) time.Duration {
	life := min(p.life(), slotsLimit*SlotLength)
	for passed := time.Duration(0); passed < life; passed += time.Second {
		if float64(p.after(passed).Bytes()) >= bound {
			return passed
		}
	}
	return 0
}

// after returns the profile as it is some time later, if bytes are kept and dropped on as
// they were.
func (p Profile) after(passed time.Duration) Profile {
	later := p
	later.Expiring = make([]int64, len(p.Expiring))
	whole, part := int(passed/SlotLength), float64(passed%SlotLength)/float64(SlotLength)
	for slot, bytes := range p.Expiring {
		moved := int64(part * float64(bytes))
		if to := slot - whole; to >= 0 {
			later.Expiring[to] += bytes - moved
		}
		if to := slot - whole - 1; to >= 0 {
			later.Expiring[to] += moved
		}
	}
	later.Add(int64(float64(p.Rate)*passed.Seconds()), p.life())
	return later
}

// include adds another part's profile.
func (p *Profile) include(other Profile) {
	for slot, bytes := range other.Expiring {
		p.Add(bytes, time.Duration(slot)*SlotLength)
	}
	p.Rate += other.Rate
	p.RetentionMS = max(p.RetentionMS, other.RetentionMS)
	p.ProgramBytes += other.ProgramBytes
}

// times multiplies the bytes of all programs.
func (p Profile) times(factor float64) Profile {
	scaled := p
	scaled.Rate = int64(factor * float64(p.Rate))
	scaled.Expiring = make([]int64, len(p.Expiring))
	for slot, bytes := range p.Expiring {
		scaled.Expiring[slot] = int64(factor * float64(bytes))
	}
	return scaled
}
