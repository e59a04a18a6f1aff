package ledger

import (
	"maps"
	"slices"
	"time"
)

// history concatenates the texts of a chain of turns, oldest first.
func (s *state) history(last string, now time.Time) ([]byte, error) {
	var chain []*turnEntry
	size := 0
	for id := last; id != ""; {
		entry := s.turns[id]
		if entry == nil || len(chain) >= chainLimit {
			return nil, errBrokenChain
		}
		chain = append(chain, entry)
		size += len(entry.Input) + len(entry.Output)
		id = entry.Previous
	}
	text := make([]byte, 0, size)
	for i := len(chain) - 1; i >= 0; i-- {
		chain[i].usedAt = now
		text = append(text, chain[i].Input...)
		text = append(text, chain[i].Output...)
	}
	return text, nil
}

// hasChain reports whether a turn and all turns before it are known.
func (s *state) hasChain(last string) bool {
	for count := 0; last != ""; count++ {
		entry := s.turns[last]
		if entry == nil || count >= chainLimit {
			return false
		}
		last = entry.Previous
	}
	return true
}

// restoreChains keeps each turn for as long as the turns that continue it.
func (s *state) restoreChains() {
	for _, entry := range slices.Collect(maps.Values(s.turns)) {
		s.extendChainRetention(entry)
	}
}
