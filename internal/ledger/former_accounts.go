package ledger

import "time"

// FormerAccounts are the accounts of a shard's programs as its holder knew them when it
// lost the shard.
type FormerAccounts struct {
	Epoch    uint64             `json:"epoch"`
	Accounts map[string]account `json:"accounts"`
	// ClockMS is the reading of the shard's clock at the time of the answer, in
	// milliseconds. 0 means that the last uses of the accounts may be outdated.
	ClockMS int64 `json:"clock_ms,omitempty"`
}

// report returns the accounts with the times of their last uses.
func (f *formerState) report(now time.Time) *FormerAccounts {
	reported := &FormerAccounts{Epoch: f.epoch, Accounts: map[string]account{}, ClockMS: f.clock.showMS(now)}
	for id, entry := range f.accounts {
		known := entry.account
		known.UsedAtMS = f.clock.showMS(entry.usedAt)
		reported.Accounts[id] = known
	}
	return reported
}

// restore returns the state that was reported. The retention of an account does not start
// over, as its age is that at its former holder; one of unknown age counts as used now.
func (r *FormerAccounts) restore(now time.Time) *formerState {
	former := &formerState{epoch: r.Epoch, lostAt: now, accounts: map[string]*accountEntry{}}
	if r.ClockMS > 0 {
		former.clock = shardClock{shown: time.Duration(r.ClockMS) * time.Millisecond, since: now}
	}
	for id, known := range r.Accounts {
		entry := &accountEntry{account: known, usedAt: now}
		if former.clock.isSet() && known.UsedAtMS > 0 {
			entry.usedAt = earlier(former.clock.timeOf(known.UsedAtMS), now)
		}
		former.accounts[id] = entry
	}
	return former
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
