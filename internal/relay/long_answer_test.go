package relay

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/mintpulley/mintpulley/internal/eventstream"
	"github.com/mintpulley/mintpulley/internal/route"
)

// repeatedReader returns a pattern again and again.
type repeatedReader struct{ pattern string }

func (r repeatedReader) Read(buffer []byte) (int, error) { return copy(buffer, r.pattern), nil }

// countingResponder counts the bytes that a caller gets and keeps none.
type countingResponder struct {
	recorder
	received int
}

func (r *countingResponder) Event(raw []byte) error {
	r.received += len(raw)
	return nil
}

func (r *countingResponder) Answer(_ int, _ http.Header, body []byte) error {
	r.received += len(body)
	r.endings++
	return nil
}

func TestAnswerWithoutEndTakesLittleMemoryAndDoesNotAppearComplete(t *testing.T) {
	for name, pattern := range map[string]string{
		"plain":      strings.Repeat("x", 4096),
		"one line":   "data: " + strings.Repeat("x", 1000),
		"one event":  "data: x\n",
		"only names": "x\n",
	} {
		t.Run(name, func(t *testing.T) {
			kind := route.KindRepeatable
			if name != "plain" {
				kind = route.KindStream
			}
			h := newHarness(t, step{endless: pattern})
			caller := &countingResponder{}
			call := newCall(newRoute(kind))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			h.relay.Serve(t.Context(), call, caller)
			runtime.ReadMemStats(&after)
			if offers := uint64(len(h.driver.sent)); after.TotalAlloc-before.TotalAlloc > offers<<20 {
				t.Errorf("%d bytes were allocated in %d offers, want at most 1 MB each", after.TotalAlloc-before.TotalAlloc, offers)
			}
			if caller.ended || caller.endings != 1 || caller.refusal == nil && !caller.aborted {
				t.Errorf("got %+v, want a refusal or a connection that is closed", &caller.recorder)
			}
			if caller.received > maxAnswerBytes+maxHeldAnswerBytes {
				t.Errorf("%d bytes were passed on, want at most %d", caller.received, maxAnswerBytes)
			}
		})
	}
}

func TestLongAnswerPassesWhole(t *testing.T) {
	for _, length := range []int{maxHeldAnswerBytes - 1, maxHeldAnswerBytes, maxHeldAnswerBytes + 1, maxAnswerBytes} {
		h := newHarness(t, step{body: strings.Repeat("x", length)})
		caller := &recorder{}
		h.relay.Serve(t.Context(), newCall(newRoute(route.KindOnce)), caller)
		if caller.status != http.StatusOK || caller.body.Len() != length || caller.endings != 1 || caller.aborted {
			t.Errorf("%d bytes: got status %d and %d bytes, aborted: %v", length, caller.status, caller.body.Len(), caller.aborted)
		}
	}
}

func TestLongAnswerThatBreaksOffDoesNotAppearComplete(t *testing.T) {
	h := newHarness(t, step{body: strings.Repeat("x", 2*maxHeldAnswerBytes), cut: true})
	caller := &recorder{}
	h.relay.Serve(t.Context(), newCall(newRoute(route.KindRepeatable)), caller)
	if !caller.aborted || caller.ended || len(h.driver.sent) != 1 {
		t.Errorf("got aborted %v, ended %v after %d offers, want a connection that is closed after one", caller.aborted, caller.ended, len(h.driver.sent))
	}
}

func TestLongAnswerThatFalselyPromisesIsNotPassedOn(t *testing.T) {
	h := newHarness(t, step{status: http.StatusServiceUnavailable, implies: ImpliesNotRun, body: strings.Repeat("x", 2*maxHeldAnswerBytes)})
	caller := &recorder{}
	h.relay.Serve(t.Context(), newCall(newRoute(route.KindOnce)), caller)
	if caller.refusal == nil || caller.refusal.Reason != ReasonBroken || caller.body.Len() > 0 {
		t.Errorf("got %+v, want a refusal that says the request may have run", caller)
	}
}

func TestEndlessTurnIsNotKeptWithoutABound(t *testing.T) {
	state := &streamState{turn: &turnState{retain: true}}
	event := eventstream.Block{IsEvent: true, Data: []byte(strings.Repeat("x", 1<<10))}
	var err error
	for err == nil && len(state.output) <= maxOutputBytes {
		err = state.note(event)
	}
	if err == nil {
		t.Errorf("%d bytes are kept, want at most %d", len(state.output), maxOutputBytes)
	}
}

func TestNoTurnIsBegunWhileTheMemoryIsTight(t *testing.T) {
	h := newHarness(t, step{body: "id: 1\ndata: x\n\n"})
	h.relay.IsMemoryTight = func() bool { return true }
	r := newRoute(route.KindStream)
	got := h.serve(newTurn(r))
	if got.refusal == nil || got.refusal.Reason != ReasonMemoryFull || !got.refusal.Reason.PromisesNotRun() || got.refusal.RetryAfter == 0 {
		t.Errorf("got %+v, want a refusal that promises that the turn has not run", got.refusal)
	}
	if len(h.ledger.turns) > 0 || len(h.driver.sent) > 0 {
		t.Errorf("%d turns were begun and %d sent", len(h.ledger.turns), len(h.driver.sent))
	}
	if plain := h.serve(newCall(newRoute(route.KindRepeatable))); plain.refusal != nil {
		t.Errorf("a request that is no turn was refused: %+v", plain.refusal)
	}
}
