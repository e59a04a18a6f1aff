package ledger

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChangesOfATurn measures what a holder does for the records of an ordinary turn.
func BenchmarkChangesOfATurn(b *testing.B) {
	now := time.Now()
	s := newState(now)
	text := make([]byte, 4<<10)
	for i := range 1000 {
		s.begin(Turn{ID: fmt.Sprint("t", i), Program: fmt.Sprint("p", i), BudgetTokens: 1000, MaxTokens: 10, Retention: time.Minute}, now)
	}
	if _, err := s.takeDirty(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("n", i)
		s.end(Outcome{Turn: id, Program: fmt.Sprint("p", i%1000), Retention: time.Minute, Kept: &KeptTurn{ID: id, Input: text}}, now)
		if _, err := s.takeDirty(); err != nil {
			b.Fatal(err)
		}
		s.confirmHeadroom()
		delete(s.turns, id)
	}
}
