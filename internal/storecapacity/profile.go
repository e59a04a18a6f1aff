// Package storecapacity decides how much may be written to a store that holds a bounded
// number of bytes.
//
// The records of programs are kept for a retention and then dropped. Each shard reports the
// bytes it keeps and when they expire, a Profile. From the profiles of some shards an
// Estimate derives the usage of the whole fleet, and from that a Gate decides whether a
// program may begin. Programs can always begin at a base rate, whatever the load, and
// admitted ones can finish: a program is refused before the store is full, not after it
// began.
//
// The package has no clock, no goroutines and no network access of its own.
package storecapacity

import (
	"iter"
	"slices"
	"time"
)

// SlotLength is the duration that one entry of Profile.Expiring stands for.
const SlotLength = 5 * time.Second

// maxRetention bounds the retention in a profile.
const maxRetention = 366 * 24 * time.Hour

// slotsLimit bounds the entries of Profile.Expiring. The last one stands for everything
// that expires later, which PlanFor does not count on.
const slotsLimit = 60

// Profile is the bytes kept at some time, and when they expire. It is sent between daemons.
type Profile struct {
	// Expiring are the bytes that expire in each following SlotLength.
	Expiring []int64 `json:"leaving,omitempty"`
	// Rate is how many bytes per second were written recently, and RetentionMS for how many
	// milliseconds such bytes are kept.
	Rate        int64 `json:"rate,omitempty"`
	RetentionMS int64 `json:"life_ms,omitempty"`
	// ProgramBytes is how many bytes a program usually leaves behind, 0 if it is not known.
	ProgramBytes int64 `json:"program,omitempty"`
}

// Add adds bytes that expire after a duration.
func (p *Profile) Add(bytes int64, expiresIn time.Duration) {
	slot := int(min(max(expiresIn, 0)/SlotLength, slotsLimit-1))
	for len(p.Expiring) <= slot {
		p.Expiring = append(p.Expiring, 0)
	}
	p.Expiring[slot] += bytes
}

// IsValid reports whether a profile received from another daemon is within its bounds.
func (p Profile) IsValid() bool {
	return len(p.Expiring) <= slotsLimit && p.Rate >= 0 && p.ProgramBytes >= 0 &&
		p.RetentionMS > 0 && p.RetentionMS <= maxRetention.Milliseconds() &&
		!slices.ContainsFunc(p.Expiring, func(bytes int64) bool { return bytes < 0 })
}

// retention returns how long bytes are kept.
func (p Profile) retention() time.Duration { return time.Duration(p.RetentionMS) * time.Millisecond }

// Bytes returns the total of bytes kept.
func (p Profile) Bytes() int64 {
	sum := int64(0)
	for _, bytes := range p.Expiring {
		sum += bytes
	}
	return sum
}

// decline returns how many of the bytes are still kept at the end of each SlotLength, until
// bytes that are written now expire as well. Bytes in the last slot are never counted as
// expired.
func (p Profile) decline() iter.Seq2[time.Duration, float64] {
	return func(yield func(time.Duration, float64) bool) {
		kept, passed := float64(p.Bytes()), time.Duration(0)
		for _, expiring := range p.Expiring[:min(len(p.Expiring), slotsLimit-1)] {
			kept -= float64(expiring)
			passed += SlotLength
			if passed >= p.retention() || !yield(passed, kept) {
				return
			}
		}
	}
}

// TimeToFull returns the time until bound bytes are kept, if bytes are written and expire
// as before; 0 if that is not within the retention or the slots.
func (p Profile) TimeToFull(bound float64) time.Duration {
	retention := min(p.retention(), slotsLimit*SlotLength)
	for passed := time.Duration(0); passed < retention; passed += time.Second {
		if float64(p.after(passed).Bytes()) >= bound {
			return passed
		}
	}
	return 0
}

// after returns the profile some time later, if bytes are written and expire as before.
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
	later.Add(int64(float64(p.Rate)*passed.Seconds()), p.retention())
	return later
}

// include adds another shard's profile.
func (p *Profile) include(other Profile) {
	for slot, bytes := range other.Expiring {
		p.Add(bytes, time.Duration(slot)*SlotLength)
	}
	p.Rate += other.Rate
	p.RetentionMS = max(p.RetentionMS, other.RetentionMS)
	p.ProgramBytes += other.ProgramBytes
}

// scaledBy scales the bytes by a factor, but not those per program.
func (p Profile) scaledBy(factor float64) Profile {
	scaled := p
	scaled.Rate = int64(factor * float64(p.Rate))
	scaled.Expiring = make([]int64, len(p.Expiring))
	for slot, bytes := range p.Expiring {
		scaled.Expiring[slot] = int64(factor * float64(bytes))
	}
	return scaled
}
