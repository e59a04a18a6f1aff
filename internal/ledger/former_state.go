package ledger

import "time"

// formerLife is how long a daemon remembers what it knew of a shard that it lost: a
// store that is out is back by then, or the shard is another's.
const formerLife = 30 * time.Second

// formerState is what a daemon knew of a shard when it lost it, most often because an
// append's answer did: all that was granted, whether on record or not.
type formerState struct {
	epoch    uint64
	lostAt   time.Time
	accounts map[string]*accountEntry
}

// takeUp puts what this daemon granted before it lost the shard in the place of what
// the records tell, if nobody else held the shard since, and returns whether it did.
func (s *state) takeUp(former *formerState, now time.Time) bool {
	if former == nil || former.epoch != s.allowance.Epoch || now.Sub(former.lostAt) > formerLife {
		return false
	}
	for id, entry := range former.accounts {
		s.accounts[id] = &accountEntry{account: entry.account, usedAt: entry.usedAt, allowed: unboundedHeadroom}
		s.touch(accountPrefix + id)
	}
	return true
}
