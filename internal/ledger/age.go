package ledger

import "time"

// Records are dropped when nobody used them for their retention, whoever holds
// the shard meanwhile. Daemons share no clock, so a shard has one of its own: it
// goes on while the shard is held, and each record tells what it showed when the
// record was last used. Who takes the shard over goes on from the latest record,
// so the shard's clock never runs ahead of time, and nothing is dropped early.

// shardClock is a shard's clock as its holder keeps it.
type shardClock struct {
	// shown is what the clock showed at since, the start of the holder's time.
	shown time.Duration
	since time.Time
}

// clockStart is what the clock of a new shard shows: 0 in a record means that
// its age is not known.
const clockStart = time.Millisecond

func newShardClock(now time.Time) shardClock { return shardClock{shown: clockStart, since: now} }

// showMS returns what the clock shows at a time, in milliseconds.
func (c shardClock) showMS(at time.Time) int64 {
	return max(c.shown+at.Sub(c.since), clockStart).Milliseconds()
}

// timeOf returns when the clock showed so many milliseconds; a record of unknown
// age counts as used at the start of the holder's time.
func (c shardClock) timeOf(shownMS int64) time.Time {
	if shownMS == 0 {
		return c.since
	}
	return c.since.Add(time.Duration(shownMS)*time.Millisecond - c.shown)
}

// restoreAges sets the clock, and when each record was last used, after all
// records were loaded.
func (s *state) restoreAges(now time.Time) {
	latest := max(clockStart.Milliseconds(), s.allowance.LostAtMS)
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
		entry.usedAt = s.clock.timeOf(entry.UsedAtMS)
	}
	for _, entry := range s.turns {
		s.keepChainOf(entry)
	}
}

// keepChainOf makes the turns before one be kept for as long as it is: their own
// records do not tell of it.
func (s *state) keepChainOf(entry *turnEntry) {
	for before := s.turns[entry.Previous]; before != nil; before = s.turns[before.Previous] {
		if !before.usedAt.Before(entry.usedAt) {
			return
		}
		before.usedAt = entry.usedAt
	}
}
