package ledger

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
func (s *state) canGrant(turn Turn) bool {
	entry := s.accounts[turn.Program]
	return entry != nil && entry.hasHeadroom(turn.MostTokens)
}

// takeHeadroom grants a turn that was reserved from headroom, if there is room.
func (s *state) takeHeadroom(turn Turn) bool {
	if !s.canGrant(turn) {
		return false
	}
	entry := s.accounts[turn.Program]
	entry.headroom -= turn.MostTokens
	if entry.isInAppend {
		entry.appending -= turn.MostTokens
	}
	return true
}

// returnHeadroom makes all accounts that have headroom be written without it.
func (s *state) returnHeadroom() {
	s.returning = true
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
