package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func TestAccountNeverCommitsMoreThanItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Int64Range(1, 500).Draw(t, "budget")
		var a account
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "turn"))
			if rapid.Bool().Draw(t, "settles") {
				used := rapid.Int64Range(0, a.Reserved[id]).Draw(t, "used")
				a.settle(id, used)
			} else {
				most := rapid.Int64Range(0, 100).Draw(t, "most")
				a.reserve(Turn{ID: id, BudgetTokens: budget, MaxTokens: most})
			}
			if a.committed() > budget {
				t.Fatalf("step %d: %d committed of %d", i, a.committed(), budget)
			}
		}
	})
}

func TestTurnThatEndedIsNotReservedLater(t *testing.T) {
	s := newState(time.Now())
	now := time.Now()
	s.end(Outcome{Turn: "a", Program: "p"}, now)
	if _, got := s.begin(Turn{ID: "a", Program: "p", MaxTokens: 5}, now); got != resultEnded {
		t.Errorf("got %q, want %q", got, resultEnded)
	}
}

func TestRecordsAreDroppedAfterTheirRetention(t *testing.T) {
	s := newState(time.Now())
	start := time.Now()
	s.begin(Turn{ID: "a", Program: "p", Retention: time.Minute}, start)
	s.end(Outcome{Turn: "a", Program: "p", Kept: &KeptTurn{ID: "a", Input: []byte("x")}}, start)
	s.begin(Turn{ID: "b", Program: "p", Previous: "a"}, start.Add(50*time.Second))
	s.expire(start.Add(time.Minute+RetentionMargin+time.Second), 100)
	if s.turns["a"] == nil || s.accounts["p"] == nil {
		t.Fatal("a record was dropped that was used 21 s ago")
	}
	s.expire(start.Add(50*time.Second+time.Minute+RetentionMargin+time.Second), 100)
	if s.turns["a"] != nil || s.accounts["p"] != nil {
		t.Error("a record was kept beyond its retention")
	}
	records, err := s.takeDirty()
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range records {
		if record.Key != allowanceKey && len(record.Value) > 0 {
			t.Errorf("%s is not dropped in the store", record.Key)
		}
	}
}

func FuzzDecodeTurn(f *testing.F) {
	sample, err := encodeTurn(&turnEntry{KeptTurn: KeptTurn{ID: "a", Previous: "b", Input: []byte("in\n"), Output: []byte("out")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sample)
	f.Add([]byte("{}"))
	f.Add([]byte(`{"input":-1,"output":2}` + "\nx"))
	f.Fuzz(func(t *testing.T, record []byte) {
		entry, err := decodeTurn("a", record)
		if err != nil {
			return
		}
		again, err := encodeTurn(entry)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodeTurn("a", again)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(entry.KeptTurn, second.KeptTurn, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("(-first +second):\n%s", diff)
		}
	})
}

// TestAccountIsKeptFromTheEndOfATurnThatIsNotReservedThere: the holder may have died with
// the reservation. The program's budget must not start over.
func TestAccountIsKeptFromTheEndOfATurnThatIsNotReservedThere(t *testing.T) {
	s := newState(time.Now())
	start := time.Now()
	s.begin(Turn{ID: "a", Program: "p", Retention: time.Minute, BudgetTokens: 100, MaxTokens: 75}, start)
	late := start.Add(time.Minute)
	s.end(Outcome{Turn: "b", Program: "p", UsedTokens: 5}, late)
	s.expire(late.Add(time.Minute), 100)
	if s.accounts["p"] == nil {
		t.Error("an account was dropped within the retention of its last use")
	}
}

// Guards against a budget that starts over while a turn of the program is kept: the account was dropped
// by the retention of the program's earlier turns if its holder died with the later one's reservation.
func TestAccountIsKeptAsLongAsATurnThatIsNotReservedThere(t *testing.T) {
	s := newState(time.Now())
	start := time.Now()
	s.begin(Turn{ID: "a", Program: "p", Retention: 15 * time.Second, BudgetTokens: 100, MaxTokens: 75}, start)
	s.end(Outcome{Turn: "b", Program: "p", UsedTokens: 5, Retention: time.Minute, Kept: &KeptTurn{ID: "b"}}, start)
	s.expire(start.Add(time.Minute), 100)
	if s.accounts["p"] == nil || s.turns["b"] == nil {
		t.Errorf("within the retention of the turn its account is %v, the turn %v", s.accounts["p"], s.turns["b"])
	}
}

// Guards against a budget that starts over after a refusal: the refused turn prolongs the chain that it
// names by its own retention, so the account must last as long.
func TestAccountIsKeptAsLongAsAChainThatARefusedTurnNames(t *testing.T) {
	s := newState(time.Now())
	start := time.Now()
	turn := Turn{ID: "a", Program: "p", Retention: 15 * time.Second, BudgetTokens: 100, MaxTokens: 100}
	s.begin(turn, start)
	s.end(Outcome{Turn: "a", Program: "p", UsedTokens: 100, Retention: turn.Retention, Kept: &KeptTurn{ID: "a"}}, start)
	next := Turn{ID: "b", Program: "p", Previous: "a", Retention: time.Minute, BudgetTokens: 100, MaxTokens: 1}
	if _, got := s.begin(next, start); got != resultBudgetSpent {
		t.Fatalf("got %q, want %q", got, resultBudgetSpent)
	}
	late := start.Add(time.Minute)
	s.expire(late, 100)
	next.ID = "c"
	if _, got := s.begin(next, late); got != resultBudgetSpent {
		t.Errorf("a minute later: got %q, want %q", got, resultBudgetSpent)
	}
}

// TestChainIsKeptAsLongAsItsLastTurn: the records of earlier turns do not show that a later
// one continues from them.
func TestChainIsKeptAsLongAsItsLastTurn(t *testing.T) {
	start := time.Now()
	first := newState(start)
	first.begin(Turn{ID: "a", Program: "p", Retention: time.Minute}, start)
	first.end(Outcome{Turn: "a", Program: "p", Kept: &KeptTurn{ID: "a", Input: []byte("x")}}, start)
	before, err := first.takeDirty()
	if err != nil {
		t.Fatal(err)
	}
	late := start.Add(50 * time.Second)
	first.begin(Turn{ID: "b", Program: "p", Previous: "a", Retention: time.Minute}, late)
	first.end(Outcome{Turn: "b", Program: "p", Kept: &KeptTurn{ID: "b", Previous: "a", Input: []byte("y")}}, late)
	after, err := first.takeDirty()
	if err != nil {
		t.Fatal(err)
	}
	next := newState(late)
	for _, record := range append(before, after...) {
		if err := next.load(record); err != nil {
			t.Fatal(err)
		}
	}
	next.restoreAges(nil, late)
	next.expire(late.Add(time.Minute), 100)
	if found := next.find("b", late.Add(time.Minute)); found == nil || string(found.Input) != "xy" {
		t.Errorf("a turn's chain is %v, want xy", found)
	}
}
