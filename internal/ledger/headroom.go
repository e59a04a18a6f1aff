package ledger

import "time"

// Headroom lets turns begin without waiting for the store. With each record of
// an account the holder sets a part of what is left aside and may grant it
// later without an append. Whoever takes the shard over counts all of it as
// spent, so a holder that is cut off, or does not know yet that it lost the
// shard, grants nothing twice.
//
// While a record is on its way it is not known whether the store has the old or
// the new one, so a grant must fit into the headroom of both.

// setAside is what is left of the headroom that stands in one version of an account's
// record: near may be granted at any time, and far only once the shard's latest append
// was sent firstTurnTime ago. A holder that is lost while the store answers leaves near
// alone behind it (see MachineClock), so near is small: a program that ends because of
// a loss has cost all that it used. In an outage programs have both.
type setAside struct{ near, far int64 }

// room is what may be granted, in an outage of the store or else.
func (a setAside) room(isOut bool) int64 {
	if isOut {
		return a.near + a.far
	}
	return a.near
}

// take takes a grant, or gives back what one did not use if tokens is negative.
func (a *setAside) take(tokens int64) {
	a.near -= tokens
	if a.near < 0 {
		a.far += a.near
		a.near = 0
	}
}

// setHeadroom sets headroom aside in an account whose record is being written.
func (s *state) setHeadroom(entry *accountEntry) {
	entry.Headroom, entry.Further = entry.nextHeadroom()
	if s.returning {
		entry.Headroom, entry.Further = 0, 0
	}
	entry.appending = setAside{entry.Headroom, entry.Further}
	entry.isInAppend = true
	clear(entry.unrecorded)
	s.inAppend = append(s.inAppend, entry)
}

// confirmHeadroom takes note that all records on their way have arrived.
func (s *state) confirmHeadroom() {
	for _, entry := range s.inAppend {
		entry.headroom = entry.appending
		entry.isInAppend = false
		entry.isOnRecord = true
	}
	s.inAppend = s.inAppend[:0]
}

// hasHeadroom tells whether an account's headroom has room for a turn.
func (e *accountEntry) hasHeadroom(most int64, isOut bool) bool {
	return e.headroom.room(isOut) >= most && (!e.isInAppend || e.appending.room(isOut) >= most)
}

// isOut tells whether nothing has been sent to the store for so long that the store
// may be out: by then a new holder counts all that is set aside as spent.
func (s *state) isOut(now time.Time) bool {
	return !s.allowance.sentAt.IsZero() && now.Sub(s.allowance.sentAt) >= firstTurnTime
}

// canGrant tells whether a turn can begin without an append. A chain that came
// from another shard need not be on record for that: the turn's end brings it
// along again.
func (s *state) canGrant(turn Turn, now time.Time) bool {
	entry := s.accounts[turn.Program]
	if entry == nil {
		return s.allowanceFor(turn, now) >= turn.MaxTokens
	}
	return entry.hasHeadroom(turn.MaxTokens, s.isOut(now))
}

// takeHeadroom grants a turn that was reserved from headroom, if there is room.
func (s *state) takeHeadroom(turn Turn, now time.Time) bool {
	entry := s.accounts[turn.Program]
	s.raiseAllowance(entry, turn, now)
	if _, granted := entry.unrecorded[turn.ID]; granted {
		return true // it is asked for again
	}
	if !entry.hasHeadroom(turn.MaxTokens, s.isOut(now)) {
		return false
	}
	entry.takeHeadroom(turn.MaxTokens)
	if entry.unrecorded == nil {
		entry.unrecorded = map[string]struct{}{}
	}
	entry.unrecorded[turn.ID] = struct{}{}
	return true
}

// creditHeadroom gives back what a turn that ended did not use of the headroom
// that it was granted from, so that programs go on for longer while the store is
// out. A turn that stands in a record is left out: whoever takes the shard over
// may settle it, too.
func (e *accountEntry) creditHeadroom(turn string, unused int64) {
	if _, granted := e.unrecorded[turn]; granted {
		delete(e.unrecorded, turn)
		e.takeHeadroom(-unused)
	}
}

func (e *accountEntry) takeHeadroom(tokens int64) {
	e.headroom.take(tokens)
	if e.isInAppend {
		e.appending.take(tokens)
	}
}

// returnHeadroom makes all accounts that have headroom be written without it.
func (s *state) returnHeadroom() {
	s.returning = true
	s.returnAllowance()
	for id, entry := range s.accounts {
		if entry.Headroom+entry.Further > 0 {
			s.touch(accountPrefix + id)
		}
	}
}

// forfeitHeadroom counts what the former holder may have granted of the headroom of
// all accounts that were read as spent.
func (s *state) forfeitHeadroom() {
	nearOnly := s.machine.isSoonAfter(s.allowance.allowanceRecord)
	for _, entry := range s.accounts {
		entry.forfeit(nearOnly)
	}
}
