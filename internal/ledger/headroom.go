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

// setHeadroom sets headroom aside in an account whose record is being written.
func (s *state) setHeadroom(entry *accountEntry) {
	entry.Headroom = entry.nextHeadroom()
	if s.returning {
		entry.Headroom = 0
	}
	entry.appending = entry.Headroom
	entry.isInAppend = true
	clear(entry.unrecorded)
	s.inAppend = append(s.inAppend, entry)
}

// confirmHeadroom takes note that all records on their way have arrived.
func (s *state) confirmHeadroom() {
	for _, entry := range s.inAppend {
		entry.headroom = entry.appending
		entry.isInAppend = false
	}
	s.inAppend = s.inAppend[:0]
}

// hasHeadroom tells whether an account's headroom has room for a turn.
func (e *accountEntry) hasHeadroom(most int64) bool {
	return e.headroom >= most && (!e.isInAppend || e.appending >= most)
}

// canGrant tells whether a turn can begin without an append. A chain that came
// from another shard need not be on record for that: the turn's end brings it
// along again.
func (s *state) canGrant(turn Turn, now time.Time) bool {
	entry := s.accounts[turn.Program]
	if entry == nil {
		return s.allowanceFor(turn, now) >= turn.MostTokens
	}
	return entry.hasHeadroom(turn.MostTokens)
}

// takeHeadroom grants a turn that was reserved from headroom, if there is room.
func (s *state) takeHeadroom(turn Turn) bool {
	entry := s.accounts[turn.Program]
	if _, granted := entry.unrecorded[turn.ID]; granted {
		return true // it is asked for again
	}
	if !entry.hasHeadroom(turn.MostTokens) {
		return false
	}
	entry.addHeadroom(-turn.MostTokens)
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
		e.addHeadroom(unused)
	}
}

func (e *accountEntry) addHeadroom(tokens int64) {
	e.headroom += tokens
	if e.isInAppend {
		e.appending += tokens
	}
}

// returnHeadroom makes all accounts that have headroom be written without it.
func (s *state) returnHeadroom() {
	s.returning = true
	s.returnAllowance()
	for id, entry := range s.accounts {
		if entry.Headroom > 0 {
			s.touch(accountPrefix + id)
		}
	}
}

// forfeitHeadroom counts the headroom of all accounts that were read as spent.
func (s *state) forfeitHeadroom() {
	for _, entry := range s.accounts {
		entry.forfeit()
	}
}
