package ledger

import "time"

// Records are dropped once they were not used for their retention, regardless of which
// daemon holds the shard. Daemons share no clock, so a shard has a logical clock of its
// own: it advances while the shard is held, each record contains its reading when the record
// was last used, and the allowance's record the reading at the latest append. A daemon that takes
// the shard over continues from the latest reading in the records, or from that of the former
// holder if it reports its clock. So the shard's clock never runs ahead of real time, and nothing
// is dropped early.

// shardClock is a shard's logical clock as kept by its holder.
type shardClock struct {
	// shown is the clock's reading at since, when this holder took the shard.
	shown time.Duration
	since time.Time
}

// clockStart is the reading of a new shard's clock. It is not 0, because 0 in a record
// means that its age is not known.
const clockStart = time.Millisecond

func newShardClock(now time.Time) shardClock { return shardClock{shown: clockStart, since: now} }

// isSet reports whether the clock has a reading.
func (c shardClock) isSet() bool { return !c.since.IsZero() }

// showMS returns the clock's reading at a time, in milliseconds.
func (c shardClock) showMS(at time.Time) int64 {
	return max(c.shown+at.Sub(c.since), clockStart).Milliseconds()
}

// timeOf returns the time of a reading in milliseconds. A record of unknown age counts as
// used when this holder took the shard.
func (c shardClock) timeOf(shownMS int64) time.Time {
	if shownMS == 0 {
		return c.since
	}
	return c.since.Add(time.Duration(shownMS)*time.Millisecond - c.shown)
}

// restoreAges sets the clock and the time when each record was last used, after all records
// but the turns that are read later were loaded. Without the clock of the former holder, the time
// since the latest append would be lost, and with it a part of each age. former is nil if its
// state is not known.
func (s *state) restoreAges(former *formerState, now time.Time) {
	latest := max(clockStart.Milliseconds(), s.allowance.LostAtMS, s.allowance.ClockMS)
	if s.isLatest(former, now) && former.clock.isSet() {
		latest = max(latest, former.clock.showMS(now))
	}
	for _, entry := range s.accounts {
		latest = max(latest, entry.UsedAtMS)
	}
	for _, entry := range s.turns {
		latest = max(latest, entry.UsedAtMS)
	}
	s.clock = shardClock{shown: time.Duration(latest) * time.Millisecond, since: now}
	for _, entry := range s.accounts {
		entry.usedAt = s.clock.timeOf(entry.UsedAtMS)
	}
	for _, entry := range s.turns {
		s.restoreUse(entry)
	}
	s.restoreChains()
}
