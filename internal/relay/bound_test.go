package relay

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
)

// stopAfter is when the daemon's stop reaches its bound in these tests.
const stopAfter = time.Second

// serveUntilBound carries a call whose daemon reaches the bound of its stop, and
// returns what the caller got and what was logged.
func (h *harness) serveUntilBound(call *Call) (*recorder, string) {
	h.t.Helper()
	lines := &bytes.Buffer{}
	h.relay.Logger = zerolog.New(lines)
	ctx, cancel := context.WithCancelCause(h.t.Context())
	defer cancel(nil)
	time.AfterFunc(stopAfter, func() { cancel(ErrShutdownDeadline) })
	got := &recorder{}
	h.relay.Serve(ctx, call, got)
	h.relay.Wait(context.Background())
	if got.endings != 1 {
		h.t.Errorf("the call was ended %d times", got.endings)
	}
	if waited := time.Since(call.Received); waited != stopAfter {
		h.t.Errorf("the call was ended after %v", waited)
	}
	return got, lines.String()
}

func TestCallUnderWayAtTheBoundOfAStopIsToldThatItMayHaveRun(t *testing.T) {
	for _, kind := range []route.Kind{route.KindOnce, route.KindRepeatable, route.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, step{hold: true})
				got, lines := h.serveUntilBound(newCall(newRoute(kind)))
				if got.refusal == nil || got.refusal.Reason != ReasonBroken {
					t.Errorf("refused with %+v", got.refusal)
				}
				expectParts(t, lines, `"request":"q"`, `"cause":"stopping"`, `"held":1000`)
			})
		})
	}
}

func TestCallThatNoneTookAtTheBoundOfAStopIsToldThatItHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{notRun: true, status: 503})
		got, _ := h.serveUntilBound(newCall(newRoute(route.KindOnce)))
		if got.refusal == nil || got.refusal.Reason != ReasonStopping || got.refusal.RetryAfter <= 0 {
			t.Errorf("refused with %+v", got.refusal)
		}
	})
}

func TestTurnThatIsNotGrantedAtTheBoundOfAStopIsToldThatItHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{})
		h.ledger.err = ledger.ErrUnavailable
		got, _ := h.serveUntilBound(newTurn(newRoute(route.KindStream)))
		if got.refusal == nil || got.refusal.Reason != ReasonStopping || got.refusal.RetryAfter <= 0 {
			t.Errorf("refused with %+v", got.refusal)
		}
	})
}

func TestAnswerThatWaitsForItsRecordAtTheBoundOfAStopIsBrokenOffWithItsCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, call := newRecording(t, 4*time.Second)
		got, lines := h.serveUntilBound(call)
		if !got.aborted {
			t.Error("an answer without a record was ended as complete")
		}
		expectParts(t, lines, `"request":"q"`, `"waited":1000`, ErrShutdownDeadline.Error())
	})
}

func expectParts(t *testing.T, lines string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(lines, part) {
			t.Errorf("no %s in:\n%s", part, lines)
		}
	}
}

// serveBounded carries a call whose daemon reaches the bound of its stop, and cuts its
// callers off a while later.
func (h *harness) serveBounded(call *Call, cutAfter time.Duration) *recorder {
	h.t.Helper()
	caller, cut := context.WithCancelCause(h.t.Context())
	defer cut(nil)
	bound, reach := context.WithCancel(h.t.Context())
	defer reach()
	time.AfterFunc(stopAfter, reach)
	time.AfterFunc(stopAfter+cutAfter, func() { cut(ErrShutdownDeadline) })
	ctx, cancel := WithShutdownDeadline(caller, bound)
	defer cancel()
	got := &recorder{}
	h.relay.Serve(ctx, call, got)
	return got
}

// TestAnswerThatIsReadyWaitsForItsRecordUntilItsCallerIsCutOff: the ledger still works for a
// daemon whose stop is at its bound.
func TestAnswerThatIsReadyWaitsForItsRecordUntilItsCallerIsCutOff(t *testing.T) {
	const cutAfter = 200 * time.Millisecond
	for takes, isRecorded := range map[time.Duration]bool{stopAfter + cutAfter/2: true, stopAfter + 2*cutAfter: false} {
		synctest.Test(t, func(t *testing.T) {
			h, _, call := newRecording(t, takes)
			got := h.serveBounded(call, cutAfter)
			if got.ended != isRecorded || got.aborted == isRecorded {
				t.Errorf("record after %s: ended %v, broken off %v", takes, got.ended, got.aborted)
			}
			if held, want := time.Since(call.Received), min(takes, stopAfter+cutAfter); held != want {
				t.Errorf("held for %s, want %s", held, want)
			}
			h.relay.Wait(t.Context())
		})
	}
}

// TestBoundOfAStopEndsWhatIsNotReady: only whole answers go on.
func TestBoundOfAStopEndsWhatIsNotReady(t *testing.T) {
	for name, prepare := range map[string]func(*harness){
		"an offer": func(h *harness) { h.driver.steps = []step{{hold: true}} },
		"a queue":  func(h *harness) { h.driver.steps = []step{{notRun: true, status: 503}} },
		"a begin":  func(h *harness) { h.relay.Ledger = &fakeLedger{err: ledger.ErrUnavailable} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, _, call := newRecording(t, 0)
				prepare(h)
				got := h.serveBounded(call, time.Second)
				if held := time.Since(call.Received); got.refusal == nil || held != stopAfter {
					t.Errorf("refused with %+v after %s", got.refusal, held)
				}
				h.relay.Wait(t.Context())
			})
		})
	}
}
