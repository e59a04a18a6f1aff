package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/store"
)

// These tests guard against a store that fills up with the history of appends: then it
// refuses all appends, and no turn can be recorded.

const (
	steadyLoadTime = 3 * time.Minute
	steadyLoadText = 1000
	// steadyLoadPause separates the turns, and steadyLoadRetention is their retention.
	steadyLoadPause     = 50 * time.Millisecond
	steadyLoadRetention = 20 * time.Second
	// steadyLoadCapacity is twice the most that the newest records use: 45 s of 20 turns a
	// second, each of some 1,200 bytes.
	steadyLoadCapacity = 2_200_000
)

// takeSteadyTurns runs turns of one program for a while, whose IDs begin with a prefix.
func (f *testFleet) takeSteadyTurns(prefix string, length time.Duration) {
	for started, turn := time.Now(), 0; time.Since(started) < length; turn++ {
		s := f.service(f.ids()[0])
		id := fmt.Sprint(prefix, "-", turn)
		begin(f.t, s, Turn{ID: id, Program: "p", Retention: steadyLoadRetention})
		end(f.t, s, Outcome{Turn: id, Program: "p", Kept: &KeptTurn{ID: id, Input: bytes.Repeat([]byte("x"), steadyLoadText)}})
		time.Sleep(steadyLoadPause)
	}
}

// TestHistoryIsTrimmedUnderSteadyLoad: usage of the store must not grow with time.
func TestHistoryIsTrimmedUnderSteadyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.store.SetCapacity(steadyLoadCapacity)
		f.takeSteadyTurns("turn", steadyLoadTime)
		if full := f.store.FullRefusals(); full > 0 {
			t.Errorf("%d appends found the store full", full)
		}
	})
}

// TestFullStoreIsServedAgainOnceItsHistoryIsTrimmed: service must resume once room is freed
// in a store that all newest records fit into, but not the whole history.
func TestFullStoreIsServedAgainOnceItsHistoryIsTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.service(f.ids()[0])
		text := bytes.Repeat([]byte("x"), steadyLoadText)
		for turn := range 100 {
			id := fmt.Sprint("turn-", turn)
			begin(t, s, Turn{ID: id, Program: "p", Retention: time.Minute})
			end(t, s, Outcome{Turn: id, Program: "p", Kept: &KeptTurn{ID: id, Input: text}})
		}
		f.store.SetCapacity(250 * steadyLoadText)
		waited := time.Now()
		begin(t, s, Turn{ID: "last", Program: "p", Retention: time.Minute})
		end(t, s, Outcome{Turn: "last", Program: "p", Kept: &KeptTurn{ID: "last", Input: text}})
		if took := time.Since(waited); took > 2*time.Second {
			t.Errorf("served again after %s", took)
		}
	})
}

// TestShardThatMovesOftenIsTrimmed: two daemons hand the shards to each other more often
// than historyRetention.
func TestShardThatMovesOftenIsTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.store.SetCapacity(steadyLoadCapacity)
		for run := range uint64(steadyLoadTime / (8 * time.Second)) {
			f.takeSteadyTurns(fmt.Sprint("run-", run), 8*time.Second)
			f.start(daemonID(int(run), 2))
			for _, id := range f.ids() {
				if id != daemonID(int(run), 2) {
					f.kill(id)
				}
			}
		}
		if full := f.store.FullRefusals(); full > 0 {
			t.Errorf("%d appends found the store full", full)
		}
	})
}

// TestTurnThatCannotBeKeptIsRefusedAtOnce: while the newest records alone fill the store,
// turns whose text must be kept are refused, as their end could not be recorded. Others
// begin.
func TestTurnThatCannotBeKeptIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(f.ids()[0])
		for turn := range 4 { // sets headroom aside for the program's next turns
			id := fmt.Sprint("turn-", turn)
			begin(t, s, Turn{ID: id, Program: "p", Retention: time.Minute, MaxTokens: 10, BudgetTokens: 10_000})
			end(t, s, Outcome{Turn: id, Program: "p", Kept: &KeptTurn{ID: id, Input: []byte("text")}})
		}
		f.store.SetCapacity(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = s.End(ctx, Outcome{Turn: "finds-it-full", Program: "p", Kept: &KeptTurn{ID: "finds-it-full"}})
		asked := time.Now()
		_, err := s.Begin(t.Context(), Turn{ID: "kept", Program: "p", Retention: time.Minute, MaxTokens: 10, BudgetTokens: 10_000})
		var heldUp *UnavailableError
		if !errors.As(err, &heldUp) || heldUp.Kind != admission.StoreUnavailable || time.Since(asked) > 100*time.Millisecond {
			t.Errorf("after %s: %v", time.Since(asked), err)
		}
		if _, err := s.Begin(t.Context(), Turn{ID: "not-kept", Program: "p", MaxTokens: 10, BudgetTokens: 10_000}); err != nil {
			t.Errorf("a turn that needs no record of its text: %v", err)
		}
	})
}

// TestSuccessorThatReadsAheadFindsTheHistory: trimming must leave the history that a
// successor continues from.
func TestSuccessorThatReadsAheadFindsTheHistory(t *testing.T) {
	h := newAppendHistory(10, 0, time.Time{})
	now := time.Time{}
	for range 300 {
		now = now.Add(steadyLoadPause)
		h.note([]store.Record{{Key: "k", Value: bytes.Repeat([]byte("x"), minTrimBytes/10)}}, now)
		before, due := h.due(historyRetention, now)
		if !due {
			continue
		}
		// the successor's last record was appended at most historyRetention ago
		if kept := time.Duration(h.end-before) * steadyLoadPause; kept < historyRetention {
			t.Fatalf("at %s: %s of history are left", now.Sub(time.Time{}), kept)
		}
		h.trimmed(before)
	}
	if h.end-h.first > int64(2*historyRetention/steadyLoadPause) {
		t.Errorf("%d of %d records are left", h.end-h.first, h.end)
	}
}
