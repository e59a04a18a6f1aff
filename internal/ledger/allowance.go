package ledger

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// An allowance is headroom for programs that the store has no account of. Its
// record tells that the shard's holder may grant each such program a part of its
// budget without an append, so that programs begin at once, also while the store
// is out. Who takes the shard over without the holder's word counts that part as
// spent by each program that it does not know: it may have begun there. That ends
// once a program that began there is past its retention.
//
// While a lost allowance counts, the shard has no other: a program's budget is
// never cut twice.
//
// Most programs begin after the loss and have spent nothing before it. So that
// those whose budget has room for a turn or two are not ended by it, half of one
// turn's most is not counted: a program that did begin before the loss may pass
// its budget by that much. It is the one case in which a budget is passed at all;
// users' rules bound it by the most of one turn.

const (
	// allowanceKey is the key of the allowance's record.
	allowanceKey = "allowance"
	// allowanceDivisor is the part of a program's budget that is granted without a
	// record of the program, if that has room for a turn. The rest is left to those
	// that begin after a loss.
	allowanceDivisor = 2
	// uncountedDivisor is the part of a turn's most that is not counted of an
	// allowance that was lost.
	uncountedDivisor = 2
	// allowanceLife is how long a holder may grant from the allowance after the
	// store last confirmed that it holds the shard: longer than the outages that
	// fleets are to last through, and as short as that allows, as a lost allowance
	// counts for so long in addition to the programs' retention.
	allowanceLife = 30 * time.Second
)

// allowanceRecord is the value under allowanceKey.
type allowanceRecord struct {
	// Epoch is that of the holder that grants from the allowance, 0 if none does.
	Epoch uint64 `json:"epoch,omitempty"`
	// LostAtMS is what the shard's clock showed when an allowance was last lost, in
	// milliseconds; 0 if none counts any more.
	LostAtMS int64 `json:"lost_at_ms,omitempty"`
	// RetentionMS is the longest retention of programs that may begin from it.
	RetentionMS int64 `json:"retention_ms,omitempty"`
}

// allowance is a shard's allowance as its holder keeps it.
type allowance struct {
	// allowanceRecord is what is to stand in the store.
	allowanceRecord
	// confirmed stands there by the store's word, and appending is on its way, nil
	// if nothing is.
	confirmed allowanceRecord
	appending *allowanceRecord
	// usableUntil is when the holder stops granting from it unless the store
	// confirms another append.
	usableUntil time.Time
}

// loadAllowance takes the record that was read from the store.
func (s *state) loadAllowance(value []byte) error {
	return eris.Wrap(json.Unmarshal(value, &s.allowance.allowanceRecord), "ledger: the allowance")
}

// openAllowance counts the former holder's allowance as lost, if it did not give
// it back, or else opens one for the holder of an epoch. It counts from its record
// on, which goes along with the next append.
func (s *state) openAllowance(epoch uint64, now time.Time) {
	if s.allowance.Epoch != 0 {
		s.allowance.LostAtMS = s.clock.showMS(now)
		s.allowance.Epoch = 0
		s.touch(allowanceKey)
	}
	if !s.isAllowanceLost(now) {
		s.allowance.LostAtMS = 0
		s.allowance.Epoch = epoch
		s.touch(allowanceKey)
	}
}

// isAllowanceLost tells whether a program that is not known may have begun from an
// allowance that was lost.
func (s *state) isAllowanceLost(now time.Time) bool {
	if s.allowance.LostAtMS == 0 {
		return false
	}
	lostFor := now.Sub(s.clock.timeOf(s.allowance.LostAtMS)) - allowanceLife
	return !isOver(lostFor, s.allowance.RetentionMS)
}

// newAccount returns the account of a program that is not known: what a lost
// allowance may have granted counts as spent, and what this holder's allowance
// grants is headroom.
func (s *state) newAccount(turn Turn, now time.Time) *accountEntry {
	entry := &accountEntry{}
	if turn.BudgetTokens > 0 && s.isAllowanceLost(now) {
		entry.Spent = max(turn.allowance()-turn.MostTokens/uncountedDivisor, 0)
		entry.Forfeited = entry.Spent
	}
	entry.headroom = s.allowanceFor(turn, now)
	return entry
}

// allowanceFor is what the allowance grants a program that is not known.
func (s *state) allowanceFor(turn Turn, now time.Time) int64 {
	confirmed := s.allowance.confirmed
	switch {
	case s.returning, confirmed.Epoch == 0, !now.Before(s.allowance.usableUntil):
		return 0
	case turn.Retention.Milliseconds() > confirmed.RetentionMS:
		return 0
	}
	return turn.allowance()
}

// allowance is what may be granted to the turn's program without a record of it.
func (t Turn) allowance() int64 {
	if t.BudgetTokens == 0 {
		return unboundedHeadroom
	}
	return min(max(t.BudgetTokens/allowanceDivisor, t.MostTokens), t.BudgetTokens)
}

// coverRetention makes the allowance's record cover a program's retention.
func (s *state) coverRetention(retention time.Duration) {
	if retention.Milliseconds() > s.allowance.RetentionMS {
		s.allowance.RetentionMS = retention.Milliseconds()
		s.touch(allowanceKey)
	}
}

// encodeAllowance returns the record as it is to be appended.
func (s *state) encodeAllowance() ([]byte, error) {
	appending := s.allowance.allowanceRecord
	s.allowance.appending = &appending
	return json.Marshal(appending)
}

// confirmAllowance takes note that an append that began at a time has arrived with
// all that went along.
func (s *state) confirmAllowance(sentAt time.Time) {
	if s.allowance.appending != nil {
		s.allowance.confirmed = *s.allowance.appending
		s.allowance.appending = nil
	}
	s.allowance.usableUntil = sentAt.Add(allowanceLife)
}

// returnAllowance makes the allowance be given back with the next append: nothing
// is granted from it any more.
func (s *state) returnAllowance() {
	if s.allowance.Epoch != 0 {
		s.allowance.Epoch = 0
		s.touch(allowanceKey)
	}
}
