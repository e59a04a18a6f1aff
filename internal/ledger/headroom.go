package ledger

import "time"

// Headroom lets turns begin without waiting for the store. With each record of an account
// the holder sets aside a part of the remaining budget, which it may grant later without an
// append. A daemon that takes the shard over counts all of it as spent. So a holder that is
// isolated, or does not know yet that it lost the shard, grants nothing twice.
//
// While a record is under way it is not known whether the store has the old or the new one,
// so a grant must fit into the headroom of both.

// headroomBalance is the rest of the headroom in one version of an account's record.
// immediate may be granted at any time, outageOnly only once singleTurnPeriod has passed
// since the shard's latest append was sent. If a holder is lost while the store answers,
// only the immediate part may have been granted (see MachineClock). It is small, because
// what is forfeited may end a program. In an outage programs may use both.
type headroomBalance struct{ immediate, outageOnly int64 }

// available returns the tokens that may be granted, in an outage of the store or otherwise.
func (a headroomBalance) available(inOutage bool) int64 {
	if inOutage {
		return a.immediate + a.outageOnly
	}
	return a.immediate
}

// debit deducts a grant. Negative tokens return what a grant did not use.
func (a *headroomBalance) debit(tokens int64) {
	a.immediate -= tokens
	if a.immediate < 0 {
		a.outageOnly += a.immediate
		a.immediate = 0
	}
}

// setHeadroom sets headroom aside in an account whose record is being written.
func (s *state) setHeadroom(entry *accountEntry) {
	entry.Headroom, entry.OutageHeadroom = entry.nextHeadroom()
	if s.returningHeadroom {
		entry.Headroom, entry.OutageHeadroom = 0, 0
	}
	entry.appending = headroomBalance{entry.Headroom, entry.OutageHeadroom}
	entry.isInAppend = true
	clear(entry.unrecorded)
	s.inAppend = append(s.inAppend, entry)
}

// confirmHeadroom marks all records under way as durable.
func (s *state) confirmHeadroom() {
	for _, entry := range s.inAppend {
		entry.headroom = entry.appending
		entry.isInAppend = false
		entry.isOnRecord = true
	}
	s.inAppend = s.inAppend[:0]
}

// hasHeadroom reports whether an account's headroom, raised by some tokens of the allowance, has room for
// a turn.
func (e *accountEntry) hasHeadroom(most, raise int64, inOutage bool) bool {
	return e.headroom.available(inOutage)+raise >= most && (!e.isInAppend || e.appending.available(inOutage) >= most)
}

// storeMayBeOut reports whether nothing has been sent to the store for so long that it may
// be out. From then on a new holder counts all headroom as spent.
func (s *state) storeMayBeOut(now time.Time) bool {
	return !s.allowance.sentAt.IsZero() && now.Sub(s.allowance.sentAt) >= singleTurnPeriod
}

// canGrant reports whether a turn can begin without an append. A chain imported from
// another shard does not have to be durable for that, since the turn's end brings it again.
func (s *state) canGrant(turn Turn, now time.Time) bool {
	entry := s.accounts[turn.Program]
	if entry == nil {
		return s.allowanceFor(turn, now) >= turn.MaxTokens
	}
	return entry.hasHeadroom(turn.MaxTokens, s.allowanceRaise(entry, turn, now), s.storeMayBeOut(now))
}

// takeHeadroom grants a turn that is reserved from headroom, if there is room.
func (s *state) takeHeadroom(turn Turn, now time.Time) bool {
	entry := s.accounts[turn.Program]
	if _, granted := entry.unrecorded[turn.ID]; granted {
		return true // it is a repeated request
	}
	raise := s.allowanceRaise(entry, turn, now)
	if !entry.hasHeadroom(turn.MaxTokens, raise, s.storeMayBeOut(now)) {
		return false
	}
	entry.allowanceGranted += raise
	entry.headroom.immediate += raise
	entry.takeHeadroom(turn.MaxTokens)
	if entry.unrecorded == nil {
		entry.unrecorded = map[string]struct{}{}
	}
	entry.unrecorded[turn.ID] = struct{}{}
	return true
}

// creditHeadroom returns the tokens that a turn did not use to the headroom it was granted
// from, so that programs can go on for longer in an outage. It leaves out turns with a
// durable reservation: a daemon that takes the shard over may settle those as well.
func (e *accountEntry) creditHeadroom(turn string, unused int64) {
	if _, granted := e.unrecorded[turn]; granted {
		delete(e.unrecorded, turn)
		e.takeHeadroom(-unused)
	}
}

func (e *accountEntry) takeHeadroom(tokens int64) {
	e.headroom.debit(tokens)
	if e.isInAppend {
		e.appending.debit(tokens)
	}
}

// returnHeadroom makes the next append remove the headroom from all accounts.
func (s *state) returnHeadroom() {
	s.returningHeadroom = true
	s.returnAllowance()
	for id, entry := range s.accounts {
		if entry.Headroom+entry.OutageHeadroom > 0 {
			s.markDirty(accountPrefix + id)
		}
	}
}

// forfeitHeadroom counts as spent what the former holder may have granted from the headroom
// of the accounts that were read.
func (s *state) forfeitHeadroom() {
	immediateOnly := s.machine.startedSoonAfter(s.allowance.allowanceRecord)
	for _, entry := range s.accounts {
		entry.forfeit(immediateOnly)
	}
}
