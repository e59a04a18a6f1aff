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
// Most holders are lost while the store answers: then every program that began has its
// record within some milliseconds. So the allowance grants each program one turn alone
// until the latest append was sent firstTurnTime ago; from then on the store is out, or
// nothing went on. A daemon that is started again on the same machine knows by the
// machine's steady clock whether its former run can have come that far, and counts
// one turn, or else all that the allowance may have granted. A fleet that was killed
// whole then begins programs in an outage that follows, too.
//
// Most programs begin after the loss and have spent nothing before it. So that
// those whose budget has room for a turn or two are not ended by it, a part of one
// turn's most is not counted: a program that did begin before the loss may pass
// its budget by that much. It is the one case in which a budget is passed at all;
// users' rules bound it by the most of one turn.

const (
	// allowanceKey is the key of the allowance's record.
	allowanceKey = "allowance"
	// allowanceShare is the part of a program's budget that is granted at most without
	// a record of the program. Users' budgets are one and a half times the most of all
	// turns, of which they use a third: nine programs in ten end within half.
	allowanceShare = 0.5
	// keptShare is the part of a program's budget that no allowance takes: it is for
	// programs that begin after the last loss, of which so much ends eight in ten.
	keptShare = 0.42
	// uncountedShare is the part of a turn's most that is not counted of what was lost.
	uncountedShare = 0.5
	// firstTurnTime is how long after the latest append was sent the allowance grants
	// one turn alone. A process that was killed is started again within a second or
	// two; in an outage, programs of several turns are held up for so long.
	firstTurnTime = 2 * time.Second
	// turnLossesBorne is how many losses of one turn each may count at a time. After
	// so many, or one of all, the shard has no allowance until they are over.
	turnLossesBorne = 2
	// allowanceLife is how long a holder may grant from the allowance after the
	// store last confirmed that it holds the shard: longer than the outages that
	// fleets are to last through, and as short as that allows, as a lost allowance
	// counts for so long in addition to the programs' retention.
	allowanceLife = 30 * time.Second
)

// allowanceRecord is the value under allowanceKey.
type allowanceRecord struct {
	// Holder is who held the shard when the record was written, whether it grants from the
	// allowance or not: its successor asks it what it granted. The directory may still name
	// one before it.
	Holder holderRecord `json:"holder,omitzero"`
	// Epoch is that of the holder that grants from the allowance, 0 if none does.
	Epoch uint64 `json:"epoch,omitempty"`
	// LostAtMS is what the shard's clock showed when an allowance was last lost, in
	// milliseconds; 0 if none counts any more.
	LostAtMS int64 `json:"lost_at_ms,omitempty"`
	losses
	// Boot and Uptime tell by which machine's steady clock, and when, the record was
	// written.
	Boot   string        `json:"boot,omitempty"`
	Uptime time.Duration `json:"uptime,omitempty"`
	// RetentionMS is the longest retention of programs that may begin from it.
	RetentionMS int64 `json:"retention_ms,omitempty"`
}

// holderEpoch is the epoch of the holder that wrote the record. Records of before holders
// were named in it tell that of an allowance alone.
func (r *allowanceRecord) holderEpoch() uint64 {
	if r.Holder.Epoch != 0 {
		return r.Holder.Epoch
	}
	return r.Epoch
}

// losses counts lost allowances.
type losses struct {
	// OfOneTurn are those that granted each program one turn at most, and OfAll the
	// others, which came after them.
	OfOneTurn int `json:"turn_losses,omitempty"`
	OfAll     int `json:"losses,omitempty"`
}

// areBorne tells whether another allowance may be opened beside them.
func (l losses) areBorne() bool { return l.OfAll == 0 && l.OfOneTurn < turnLossesBorne }

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
	// sentAt is when the latest record of it was sent.
	sentAt time.Time
}

// loadAllowance takes the record that was read from the store.
func (s *state) loadAllowance(value []byte) error {
	return eris.Wrap(json.Unmarshal(value, &s.allowance.allowanceRecord), "ledger: the allowance")
}

// openAllowance counts the former holder's allowance as lost, if it did not give
// it back, and opens one for a holder unless too many count. It counts
// from its record on, which goes along with the next append. former is what was
// granted before, nil if that is not known.
func (s *state) openAllowance(holder holderRecord, former *formerState, now time.Time) {
	s.touch(allowanceKey)
	restored := s.restoreFormer(former, now) // looks at the holder before this one
	s.allowance.Holder = holder
	if restored {
		if s.allowance.Epoch != 0 {
			s.allowance.Epoch = holder.Epoch
		}
		return
	}
	if !s.isAllowanceLost(now) {
		s.allowance.LostAtMS = 0
		s.allowance.losses = losses{}
	}
	if s.allowance.Epoch != 0 {
		s.loseAllowance(now)
	}
	if s.allowance.areBorne() {
		s.allowance.Epoch = holder.Epoch
	}
}

// loseAllowance counts the former holder's allowance as lost.
func (s *state) loseAllowance(now time.Time) {
	if s.machine.isSoonAfter(s.allowance.allowanceRecord) {
		s.allowance.OfOneTurn++
	} else {
		s.allowance.OfAll++
	}
	s.allowance.LostAtMS = s.clock.showMS(now)
	s.allowance.Epoch = 0
	s.touch(allowanceKey)
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
		lost := turn.lostTo(s.allowance.losses)
		entry.Spent = max(lost-turn.uncounted(), 0)
		entry.Forfeited = entry.Spent
	}
	s.raiseAllowance(entry, turn, now)
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
	lost := turn.lostTo(confirmed.losses)
	if !s.isOut(now) {
		return turn.nextTurn(lost)
	}
	return turn.nextAllowance(lost)
}

// raiseAllowance gives an account that the store does not know what the allowance
// grants by now.
func (s *state) raiseAllowance(entry *accountEntry, turn Turn, now time.Time) {
	if entry.isOnRecord {
		return
	}
	if more := s.allowanceFor(turn, now) - entry.allowed; more > 0 {
		entry.allowed += more
		entry.headroom.near += more
	}
}

// lostTo is what lost allowances may have granted the turn's program.
func (t Turn) lostTo(l losses) int64 {
	if t.BudgetTokens == 0 {
		return 0
	}
	lost := int64(0)
	for range l.OfOneTurn {
		lost += t.nextTurn(lost)
	}
	for range l.OfAll {
		lost += t.nextAllowance(lost)
	}
	return lost
}

// nextAllowance is what may be granted to the turn's program without a record of it,
// after others were lost; 0 if there is no room for a turn.
func (t Turn) nextAllowance(lost int64) int64 {
	if t.BudgetTokens == 0 {
		return unboundedHeadroom
	}
	kept := max(int64(keptShare*float64(t.BudgetTokens)), t.MaxTokens)
	left := t.BudgetTokens + t.uncounted() - lost - kept
	next := min(max(int64(allowanceShare*float64(t.BudgetTokens)), t.MaxTokens), left, t.BudgetTokens)
	if next < t.MaxTokens {
		return 0
	}
	return next
}

// nextTurn is the same where one turn alone is granted.
func (t Turn) nextTurn(lost int64) int64 {
	next := t.nextAllowance(lost)
	if t.BudgetTokens == 0 {
		return next
	}
	return min(next, t.MaxTokens)
}

// uncounted is what is not counted of what lost allowances may have granted.
func (t Turn) uncounted() int64 { return int64(uncountedShare * float64(t.MaxTokens)) }

// coverRetention makes the allowance's record cover a program's retention.
func (s *state) coverRetention(retention time.Duration) {
	if retention.Milliseconds() > s.allowance.RetentionMS {
		s.allowance.RetentionMS = retention.Milliseconds()
		s.touch(allowanceKey)
	}
}

// encodeAllowance returns the record as it is to be appended.
func (s *state) encodeAllowance(now time.Time) ([]byte, error) {
	s.allowance.Boot, s.allowance.Uptime = s.machine.Boot, 0
	if s.machine.Now != nil {
		s.allowance.Uptime = s.machine.Now()
	}
	s.allowance.sentAt = now
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
