package ledger

import (
	"maps"
	"slices"
	"time"
)

// A turn's text is part of the history of every turn that continues it. So a turn is needed until the
// retentions of itself and of all those are over, and routes may keep their turns for different times.

// retention is how long the turn is kept after its last use, as its own route has it.
func (e *turnEntry) retention() time.Duration { return time.Duration(e.RetentionMS) * time.Millisecond }

// use records a use of the turn, which is needed for a time after it, and reports whether that
// changed anything.
func (e *turnEntry) use(at time.Time, neededFor time.Duration) (changed bool) {
	until := at.Add(neededFor)
	changed = at.After(e.usedAt) || until.After(e.neededUntil)
	e.usedAt = later(e.usedAt, at)
	e.neededUntil = later(e.neededUntil, until)
	return changed
}

// chain returns a turn and all turns before it, latest first.
func (s *state) chain(last string) ([]*turnEntry, error) {
	var chain []*turnEntry
	for id := last; id != ""; {
		entry := s.turns[id]
		if entry == nil || len(chain) >= chainLimit {
			return nil, errBrokenChain
		}
		chain = append(chain, entry)
		id = entry.Previous
	}
	return chain, nil
}

// useChain records that a turn with a retention uses a chain, and returns the chain, latest turn
// first. No turn of the chain is dropped before a later one.
func (s *state) useChain(last string, retention time.Duration, at time.Time) ([]*turnEntry, error) {
	chain, err := s.chain(last)
	for _, entry := range chain {
		retention = max(retention, entry.retention())
		entry.use(at, retention)
	}
	return chain, err
}

// textOf concatenates the texts of a chain, oldest first. The chain is given latest turn first.
func textOf(chain []*turnEntry) []byte {
	size := 0
	for _, entry := range chain {
		size += len(entry.Input) + len(entry.Output)
	}
	text := make([]byte, 0, size)
	for _, entry := range slices.Backward(chain) {
		text = append(text, entry.Input...)
		text = append(text, entry.Output...)
	}
	return text
}

// hasChain reports whether a turn and all turns before it are known.
func (s *state) hasChain(last string) bool {
	_, err := s.chain(last)
	return err == nil
}

// restoreUse sets when a turn was last used, according to its record, and until when it is needed.
func (s *state) restoreUse(entry *turnEntry) {
	entry.usedAt = s.clock.timeOf(entry.UsedAtMS)
	entry.neededUntil = entry.usedAt.Add(entry.retention())
}

// restoreChains keeps each turn for as long as the turns that continue it: its own record does not
// name them.
func (s *state) restoreChains() {
	for _, entry := range slices.Collect(maps.Values(s.turns)) {
		s.restoreChainBefore(entry)
	}
}

// restoreChainBefore applies the last use of a turn to the turns before it.
func (s *state) restoreChainBefore(entry *turnEntry) {
	at, retention := entry.usedAt, entry.retention()
	for before := s.turns[entry.Previous]; before != nil; before = s.turns[before.Previous] {
		retention = max(retention, before.retention())
		if !before.use(at, retention) {
			return
		}
	}
}
