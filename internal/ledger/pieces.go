package ledger

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// maxTurnOverhead is the most that the record of a turn has, in bytes, besides the text: its
	// key, and a header in which each byte of an ID takes up to six.
	maxTurnOverhead = 2 << 10
	// pieceSeparator precedes the number of a piece in its ID. No turn's ID contains it, as a "%" in
	// an ID is escaped.
	pieceSeparator = "%p"
)

// maxTextBytes returns the most text of a turn that fits into a record; 0 for no bound.
func maxTextBytes(bounds store.Bounds) int {
	if bounds.RecordBytes <= 0 {
		return 0
	}
	return max(bounds.RecordBytes-maxTurnOverhead, 1)
}

// pieces divides a turn into a chain of turns with the same text, each of which has at most a number
// of bytes; 0 means no bound. The last piece has the turn's ID, so that the text is found whole or
// not at all.
func (t *KeptTurn) pieces(most int) []KeptTurn {
	if most <= 0 || len(t.Input)+len(t.Output) <= most {
		return []KeptTurn{*t}
	}
	var pieces []KeptTurn
	previous := t.Previous
	for text := range slices.Chunk(slices.Concat(t.Input, t.Output), most) {
		piece := KeptTurn{ID: fmt.Sprint(t.ID, pieceSeparator, len(pieces)+1), Previous: previous, Input: text}
		pieces = append(pieces, piece)
		previous = piece.ID
	}
	pieces[len(pieces)-1].ID = t.ID
	return pieces
}

// compareRecords orders the records of changes that are appended in several calls, of which a
// successor may find only the first ones. The allowance comes last: while it counts as open, it covers
// the programs whose accounts are missing. A piece of a turn comes before the turn.
func compareRecords(a, b store.Record) int {
	if rank := recordRank(a.Key) - recordRank(b.Key); rank != 0 {
		return rank
	}
	return strings.Compare(a.Key, b.Key)
}

func recordRank(key string) int {
	switch {
	case key == allowanceKey:
		return 2
	case strings.HasPrefix(key, turnPrefix) && strings.Contains(key, pieceSeparator):
		return 0
	}
	return 1
}
