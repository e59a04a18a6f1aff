package ledger

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// The allowance is headroom for programs that have no account in the store yet. Its record
// lets the shard's holder grant each such program a part of its budget without an append,
// so that programs can begin at once, even while the store is out. A daemon that takes the
// shard over without an answer from the former holder counts that part as spent for every
// program that it does not know, because the program may have begun at the former holder.
// This ends once any program that began there is past its retention.
//
// Most holders are lost while the store answers, when every program that began has its
// record within milliseconds. The allowance therefore grants each program only one turn
// until singleTurnPeriod has passed since the latest append was sent; after that the store
// is out, or the shard was idle. A daemon that restarts on the same machine knows from the
// machine's monotonic clock whether its former process can have reached that point, and
// counts either one turn or the whole allowance as lost. So a fleet that was killed as a
// whole can still begin programs in an outage that follows.
//
// Most programs begin after the loss and have spent nothing before it. To keep programs
// whose budget has room for only a turn or two running, a fraction of one turn's tokens is
// not counted as lost: a program that did begin before the loss may exceed its budget by
// that much. This is the only case in which a budget is exceeded, and by no more than the
// tokens of one turn, unless that turn is most of the budget: two holders may have granted the
// largest turn and laterAllowanceShare.

const (
	// allowanceKey is the key of the allowance's record.
	allowanceKey = "allowance"
	// allowanceShare is the largest part of a program's budget that is granted without a
	// record of the program.
	allowanceShare = 0.5
	// budgetReserveShare is the part of a program's budget that no allowance takes. It
	// remains for programs that begin after the last loss.
	budgetReserveShare = 0.42
	// lossToleranceShare is the part of a turn's most tokens that is not counted as lost.
	lossToleranceShare = 0.5
	// laterAllowanceShare is the largest part of a program's budget that an allowance grants after a loss.
	laterAllowanceShare = 0.375
	// singleTurnPeriod is how long after the latest append was sent the allowance grants
	// only one turn. It covers the restart of a killed process; in an outage, it delays
	// programs of several turns.
	singleTurnPeriod = 2 * time.Second
	// maxTurnLosses is how many losses of one turn each may count at a time. After that
	// many, or one loss of a whole allowance, the shard has no allowance until they expire.
	maxTurnLosses = 2
	// allowanceTTL is how long a holder may grant from the allowance after the store last
	// confirmed that it holds the shard. It must exceed the outages that a fleet should
	// bridge, but a lost allowance counts for this long in addition to the programs'
	// retention.
	allowanceTTL = 30 * time.Second
)

// allowanceRecord is the value of the record with allowanceKey.
type allowanceRecord struct {
	// Holder is the shard's holder when the record was written, whether it has an allowance
	// or not. Its successor asks it what it granted. The directory may still name an
	// earlier holder.
	Holder holderRecord `json:"holder,omitzero"`
	// Epoch is that of the holder that grants from the allowance, 0 if none does.
	Epoch uint64 `json:"epoch,omitempty"`
	// LostAtMS is the reading of the shard's clock when an allowance was last lost, in
	// milliseconds; 0 if no loss counts any more.
	LostAtMS int64 `json:"lost_at_ms,omitempty"`
	losses
	// Boot and Uptime identify the machine's boot and the monotonic clock's reading when
	// the record was written.
	Boot   string        `json:"boot,omitempty"`
	Uptime time.Duration `json:"uptime,omitempty"`
	// RetentionMS is the longest retention of programs that may begin from the allowance.
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// ClockMS is the reading of the shard's clock when the record was written, in milliseconds. Each
	// append has this record.
	ClockMS int64 `json:"clock_ms,omitempty"`
}

// holderEpoch returns the epoch of the holder that wrote the record. Older records do not
// name the holder, only the epoch of its allowance.
func (r *allowanceRecord) holderEpoch() uint64 {
	if r.Holder.Epoch != 0 {
		return r.Holder.Epoch
	}
	return r.Epoch
}

// losses counts lost allowances.
type losses struct {
	// OfOneTurn counts those that granted each program one turn at most, and OfAll the
	// others, which came after them.
	OfOneTurn int `json:"turn_losses,omitempty"`
	OfAll     int `json:"losses,omitempty"`
}

// allowAnother reports whether an allowance may be opened in spite of these losses.
func (l losses) allowAnother() bool { return l.OfAll == 0 && l.OfOneTurn < maxTurnLosses }

// allowance is a shard's allowance as kept by its holder.
type allowance struct {
	// allowanceRecord is the state that should be in the store.
	allowanceRecord
	// confirmed is the record that is known to be in the store, and appending the one under
	// way, nil if there is none.
	confirmed allowanceRecord
	appending *allowanceRecord
	// usableUntil is when the holder stops granting from the allowance unless the store
	// confirms another append.
	usableUntil time.Time
	// sentAt is when the latest record of the allowance was sent.
	sentAt time.Time
}

// loadAllowance loads the record that was read from the store.
func (s *state) loadAllowance(value []byte) error {
	return eris.Wrap(json.Unmarshal(value, &s.allowance.allowanceRecord), "ledger: decode the allowance's record")
}

// openAllowance counts the former holder's allowance as lost if it was not returned, and
// opens one for the new holder unless there are too many losses. The allowance takes effect
// with its record, which goes with the next append. former is the state reported by the
// former holder, nil if it is not known.
func (s *state) openAllowance(holder holderRecord, former *formerState, now time.Time) {
	s.markDirty(allowanceKey)
	restored := s.restoreFormer(former, now) // needs the former holder's epoch
	s.allowance.Holder = holder
	if restored {
		if s.allowance.Epoch != 0 {
			s.allowance.Epoch = holder.Epoch
		}
		return
	}
	if !s.hasLostAllowance(now) {
		s.allowance.LostAtMS = 0
		s.allowance.losses = losses{}
	}
	if s.allowance.Epoch != 0 {
		s.countLostAllowance(now)
	}
	if s.allowance.allowAnother() {
		s.allowance.Epoch = holder.Epoch
	}
}

// countLostAllowance counts the former holder's allowance as lost.
func (s *state) countLostAllowance(now time.Time) {
	if s.machine.startedSoonAfter(s.allowance.allowanceRecord) {
		s.allowance.OfOneTurn++
	} else {
		s.allowance.OfAll++
	}
	s.allowance.LostAtMS = s.clock.showMS(now)
	s.allowance.Epoch = 0
	s.markDirty(allowanceKey)
}

// hasLostAllowance reports whether an unknown program may have begun from a lost allowance.
func (s *state) hasLostAllowance(now time.Time) bool {
	if s.allowance.LostAtMS == 0 {
		return false
	}
	lostFor := now.Sub(s.clock.timeOf(s.allowance.LostAtMS)) - allowanceTTL
	return !isExpired(lostFor, s.allowance.RetentionMS)
}

// newAccount returns the account of an unknown program. What lost allowances may have
// granted counts as spent.
func (s *state) newAccount(turn Turn, now time.Time) *accountEntry {
	entry := &accountEntry{}
	if turn.BudgetTokens > 0 && s.hasLostAllowance(now) {
		entry.Spent = turn.forfeited(s.allowance.losses)
		entry.Forfeited = entry.Spent
	}
	return entry
}

// allowanceFor returns the tokens that the allowance grants an unknown program.
func (s *state) allowanceFor(turn Turn, now time.Time) int64 {
	confirmed := s.allowance.confirmed
	switch {
	case s.returningHeadroom, confirmed.Epoch == 0, !now.Before(s.allowance.usableUntil):
		return 0
	case turn.Retention.Milliseconds() > confirmed.RetentionMS:
		return 0
	}
	lost := turn.lostGrants(confirmed.losses)
	if !s.storeMayBeOut(now) {
		return turn.nextSingleTurn(lost)
	}
	return turn.nextAllowance(lost)
}

// allowanceRaise returns the tokens that the allowance can add now to what it has granted an account
// without a record. Until the store may be out it grants one turn, so it adds nothing to that.
func (s *state) allowanceRaise(entry *accountEntry, turn Turn, now time.Time) int64 {
	if entry.isOnRecord || entry.allowanceGranted > 0 && !s.storeMayBeOut(now) {
		return 0
	}
	return max(s.allowanceFor(turn, now)-entry.allowanceGranted, 0)
}

// lostGrants returns the tokens that lost allowances may have granted the turn's program.
func (t Turn) lostGrants(l losses) int64 {
	if t.BudgetTokens == 0 {
		return 0
	}
	lost := int64(0)
	for range l.OfOneTurn {
		lost += t.nextSingleTurn(lost)
	}
	for range l.OfAll {
		lost += t.nextAllowance(lost)
	}
	return lost
}

// forfeited returns the tokens that lost allowances may have granted the turn's program and that count
// as spent. A program of equal turns was granted what lostGrants returns at most. One of unequal turns may
// have been granted its largest turn by the first holder, which needs not be counted, and
// laterAllowance by the second, which is counted as far as it leaves room for the turn.
func (t Turn) forfeited(l losses) int64 {
	spent := max(t.lostGrants(l)-t.lossTolerance(), 0)
	if l.OfOneTurn+l.OfAll < 2 {
		return spent
	}
	return max(spent, min(t.laterAllowance(), t.BudgetTokens-t.MaxTokens))
}

// laterAllowance returns the most tokens that an allowance grants after a loss.
func (t Turn) laterAllowance() int64 { return int64(laterAllowanceShare * float64(t.BudgetTokens)) }

// nextAllowance returns the tokens that may be granted to the turn's program without a
// record of it, after others were lost; 0 if there is no room for a turn.
func (t Turn) nextAllowance(lost int64) int64 {
	if t.BudgetTokens == 0 {
		return unboundedHeadroom
	}
	kept := max(int64(budgetReserveShare*float64(t.BudgetTokens)), t.MaxTokens)
	left := t.BudgetTokens + t.lossTolerance() - lost - kept
	next := min(max(int64(allowanceShare*float64(t.BudgetTokens)), t.MaxTokens), left, t.BudgetTokens)
	if lost > 0 {
		next = min(next, t.laterAllowance())
	}
	if next < t.MaxTokens {
		return 0
	}
	return next
}

// nextSingleTurn is nextAllowance limited to one turn.
func (t Turn) nextSingleTurn(lost int64) int64 {
	next := t.nextAllowance(lost)
	if t.BudgetTokens == 0 {
		return next
	}
	return min(next, t.MaxTokens)
}

// lossTolerance returns the tokens that are not counted of what lost allowances may have
// granted.
func (t Turn) lossTolerance() int64 { return int64(lossToleranceShare * float64(t.MaxTokens)) }

// coverRetention extends the allowance's record to a program's retention.
func (s *state) coverRetention(retention time.Duration) {
	if retention.Milliseconds() > s.allowance.RetentionMS {
		s.allowance.RetentionMS = retention.Milliseconds()
		s.markDirty(allowanceKey)
	}
}

// encodeAllowance returns the record to append.
func (s *state) encodeAllowance(now time.Time) ([]byte, error) {
	s.allowance.Boot, s.allowance.Uptime = s.machine.Boot, 0
	if s.machine.Now != nil {
		s.allowance.Uptime = s.machine.Now()
	}
	s.allowance.ClockMS = s.clock.showMS(now)
	s.allowance.sentAt = now
	appending := s.allowance.allowanceRecord
	s.allowance.appending = &appending
	return json.Marshal(appending)
}

// confirmAllowance marks the appended record as durable. sentAt is when the append was
// first sent.
func (s *state) confirmAllowance(sentAt time.Time) {
	if s.allowance.appending != nil {
		s.allowance.confirmed = *s.allowance.appending
		s.allowance.appending = nil
	}
	s.allowance.usableUntil = sentAt.Add(allowanceTTL)
}

// returnAllowance makes the next append return the allowance; nothing is granted from it
// any more.
func (s *state) returnAllowance() {
	if s.allowance.Epoch != 0 {
		s.allowance.Epoch = 0
		s.markDirty(allowanceKey)
	}
}
