package ledger

import (
	"time"

	"github.com/rs/zerolog"
)

// restoredAccounts describes the accounts that a holder has right after it took a shard,
// for the log. An age is the time since an account was last used; a takeover must not
// reduce it.
type restoredAccounts struct {
	// recorded is the number of accounts that were read, and oldestRecorded the highest age
	// among them.
	recorded       int
	oldestRecorded time.Duration
	// reported is the number of accounts that the former holder reported, unrecorded how
	// many of them have no record, and oldestReported the highest age among them.
	reported, unrecorded int
	oldestReported       time.Duration
}

// describeRestored describes the accounts that were read and those that the former holder
// reported, nil if it did not report.
func (s *state) describeRestored(former *formerState, now time.Time) restoredAccounts {
	var restored restoredAccounts
	for _, entry := range s.accounts {
		restored.recorded++
		restored.oldestRecorded = max(restored.oldestRecorded, now.Sub(entry.usedAt))
	}
	if former == nil {
		return restored
	}
	for id, entry := range former.accounts {
		restored.reported++
		restored.oldestReported = max(restored.oldestReported, now.Sub(entry.usedAt))
		if s.accounts[id] == nil {
			restored.unrecorded++
		}
	}
	return restored
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r restoredAccounts) MarshalZerologObject(event *zerolog.Event) {
	event.Int("accounts", r.recorded).Dur("oldest", r.oldestRecorded).
		Int("reported", r.reported).Int("unrecorded", r.unrecorded).Dur("oldest_reported", r.oldestReported)
}
