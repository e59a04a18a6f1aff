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

// What callers saw: after some 65 s of a usual load, with no trouble at all, nearly every
// answer was broken off when it was whole, and then all turns were refused.
//
// The order of events: each turn's record and each change of an account are appended; the
// store keeps the newest record of each key, and besides it the history of all appends,
// within a bound for both together. After 65 s they reached the bound, 400 MB, of which the
// newest records were half. The store took no append any more, and no turn could be
// recorded, so answers that were ready waited until their callers left.
//
// The cause: nobody trimmed the history, of which a holder's successor reads the last seconds
// only. The evidence: the same day without any disturbance and without stops ends alike, each
// append is refused for want of room from 65 s on, and the records that holders read back
// came to half of the bound.

const (
	longDay     = 3 * time.Minute
	longDayText = 1000
	// longDayPause separates the turns of a long day, and longDayRetention is theirs.
	longDayPause     = 50 * time.Millisecond
	longDayRetention = 20 * time.Second
	// longDayCapacity is twice what the newest records of a long day take at most: 45 s of
	// 20 turns a second, each with some 1,200 bytes.
	longDayCapacity = 2_200_000
)

// takeLongTurns lets one program complete turns for a while, whose names begin with a prefix.
func (f *testFleet) takeLongTurns(prefix string, length time.Duration) {
	for started, turn := time.Now(), 0; time.Since(started) < length; turn++ {
		s := f.service(f.ids()[0])
		id := fmt.Sprint(prefix, "-", turn)
		begin(f.t, s, Turn{ID: id, Program: "p", Retention: longDayRetention})
		end(f.t, s, Outcome{Turn: id, Program: "p", Kept: &KeptTurn{ID: id, Input: bytes.Repeat([]byte("x"), longDayText)}})
		time.Sleep(longDayPause)
	}
}

// TestLongDayFitsTheStore: what the store keeps does not grow with the day.
func TestLongDayFitsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.store.SetCapacity(longDayCapacity)
		f.takeLongTurns("turn", longDay)
		if full := f.store.FullRefusals(); full > 0 {
			t.Errorf("%d appends found the store full", full)
		}
	})
}

// TestFullStoreIsServedAgainOnceItsHistoryIsTrimmed: the room that others took is found again.
// All newest records fit, and history of other partitions does not.
func TestFullStoreIsServedAgainOnceItsHistoryIsTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.service(f.ids()[0])
		text := bytes.Repeat([]byte("x"), longDayText)
		for turn := range 100 {
			id := fmt.Sprint("turn-", turn)
			begin(t, s, Turn{ID: id, Program: "p", Retention: time.Minute})
			end(t, s, Outcome{Turn: id, Program: "p", Kept: &KeptTurn{ID: id, Input: text}})
		}
		f.store.SetCapacity(250 * longDayText)
		waited := time.Now()
		begin(t, s, Turn{ID: "last", Program: "p", Retention: time.Minute})
		end(t, s, Outcome{Turn: "last", Program: "p", Kept: &KeptTurn{ID: "last", Input: text}})
		if took := time.Since(waited); took > 2*time.Second {
			t.Errorf("served again after %s", took)
		}
	})
}

// TestShardThatMovesOftenIsTrimmed: two daemons pass the shards to each other more often than
// history is kept.
func TestShardThatMovesOftenIsTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		f.store.SetCapacity(longDayCapacity)
		for run := range uint64(longDay / (8 * time.Second)) {
			f.takeLongTurns(fmt.Sprint("run-", run), 8*time.Second)
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

// TestTurnThatCanNotBeKeptIsRefusedAtOnce: while the newest records alone fill the store, a turn
// whose text must be kept begins nowhere, as its end could not be recorded; others do.
func TestTurnThatCanNotBeKeptIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		s := f.service(f.ids()[0])
		for turn := range 4 { // headroom is set aside for the program's next turns
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

// TestSuccessorThatReadsAheadFindsTheHistory: trimming leaves what a successor goes on from.
func TestSuccessorThatReadsAheadFindsTheHistory(t *testing.T) {
	h := newAppendHistory(10, 0, time.Time{})
	now := time.Time{}
	for range 300 {
		now = now.Add(longDayPause)
		h.note([]store.Record{{Key: "k", Value: bytes.Repeat([]byte("x"), trimBytes/10)}}, now)
		before, due := h.due(historyKept, now)
		if !due {
			continue
		}
		// the record that a successor read last was appended historyKept ago at most
		if kept := time.Duration(h.end-before) * longDayPause; kept < historyKept {
			t.Fatalf("at %s: %s of history are left", now.Sub(time.Time{}), kept)
		}
		h.trimmed(before)
	}
	if h.end-h.first > int64(2*historyKept/longDayPause) {
		t.Errorf("%d of %d records are left", h.end-h.first, h.end)
	}
}
