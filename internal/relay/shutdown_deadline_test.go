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

// shutdownDeadlineAfter is when the daemon reaches its shutdown deadline in these tests.
const shutdownDeadlineAfter = time.Second

// serveUntilShutdownDeadline serves a call whose daemon reaches its shutdown deadline, and
// returns what the caller got and the log. The caller's own context ends at the same time,
// as when its connection is closed, so that a complete answer cannot wait for its record.
func (h *harness) serveUntilShutdownDeadline(call *Call) (*recorder, string) {
	h.t.Helper()
	lines := &bytes.Buffer{}
	h.relay.Logger = zerolog.New(lines)
	ctx, cancel := context.WithCancelCause(h.t.Context())
	defer cancel(nil)
	time.AfterFunc(shutdownDeadlineAfter, func() { cancel(ErrShutdownDeadline) })
	got := &recorder{}
	h.relay.Serve(ctx, call, got)
	h.relay.Wait(context.Background())
	if got.endings != 1 {
		h.t.Errorf("the call was ended %d times", got.endings)
	}
	if waited := time.Since(call.Received); waited != shutdownDeadlineAfter {
		h.t.Errorf("the call was ended after %v", waited)
	}
	return got, lines.String()
}

func TestSentCallAtShutdownDeadlineMayHaveRun(t *testing.T) {
	for _, kind := range []route.Kind{route.KindOnce, route.KindRepeatable, route.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, step{hold: true})
				got, lines := h.serveUntilShutdownDeadline(newCall(newRoute(kind)))
				if got.refusal == nil || got.refusal.Reason != ReasonBroken {
					t.Errorf("refused with %+v", got.refusal)
				}
				expectParts(t, lines, `"request":"q"`, `"cause":"stopping"`, `"held":1000`)
			})
		})
	}
}

func TestRejectedCallAtShutdownDeadlineHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{notRun: true, status: 503})
		got, _ := h.serveUntilShutdownDeadline(newCall(newRoute(route.KindOnce)))
		if got.refusal == nil || got.refusal.Reason != ReasonStopping || got.refusal.RetryAfter <= 0 {
			t.Errorf("refused with %+v", got.refusal)
		}
	})
}

func TestUngrantedTurnAtShutdownDeadlineHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{})
		h.ledger.err = ledger.ErrUnavailable
		got, _ := h.serveUntilShutdownDeadline(newTurn(newRoute(route.KindStream)))
		if got.refusal == nil || got.refusal.Reason != ReasonStopping || got.refusal.RetryAfter <= 0 {
			t.Errorf("refused with %+v", got.refusal)
		}
	})
}

func TestAnswerAwaitingItsRecordIsBrokenOffAtShutdownDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, call := newRecordingHarness(t, 4*time.Second)
		got, lines := h.serveUntilShutdownDeadline(call)
		if !got.aborted {
			t.Error("an answer whose turn was not stored was ended as complete")
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

// serveUntilClosed serves a call whose daemon reaches its shutdown deadline, and closes its
// callers' connections cutAfter later.
func (h *harness) serveUntilClosed(call *Call, cutAfter time.Duration) *recorder {
	h.t.Helper()
	caller, cut := context.WithCancelCause(h.t.Context())
	defer cut(nil)
	bound, reach := context.WithCancel(h.t.Context())
	defer reach()
	time.AfterFunc(shutdownDeadlineAfter, reach)
	time.AfterFunc(shutdownDeadlineAfter+cutAfter, func() { cut(ErrShutdownDeadline) })
	ctx, cancel := WithShutdownDeadline(caller, bound)
	defer cancel()
	got := &recorder{}
	h.relay.Serve(ctx, call, got)
	return got
}

// The ledger still works between the shutdown deadline and the later close of the callers'
// connections.
func TestReadyAnswerWaitsForItsRecordUntilConnectionsAreClosed(t *testing.T) {
	const cutAfter = 200 * time.Millisecond
	for takes, isRecorded := range map[time.Duration]bool{shutdownDeadlineAfter + cutAfter/2: true, shutdownDeadlineAfter + 2*cutAfter: false} {
		synctest.Test(t, func(t *testing.T) {
			h, _, call := newRecordingHarness(t, takes)
			got := h.serveUntilClosed(call, cutAfter)
			if got.ended != isRecorded || got.aborted == isRecorded {
				t.Errorf("stored after %s: ended %v, broken off %v", takes, got.ended, got.aborted)
			}
			if held, want := time.Since(call.Received), min(takes, shutdownDeadlineAfter+cutAfter); held != want {
				t.Errorf("held for %s, want %s", held, want)
			}
			h.relay.Wait(t.Context())
		})
	}
}

// Only complete answers that wait for their record continue past the shutdown deadline.
func TestShutdownDeadlineEndsUnfinishedCalls(t *testing.T) {
	for name, prepare := range map[string]func(*harness){
		"an offer": func(h *harness) { h.driver.steps = []step{{hold: true}} },
		"a queue":  func(h *harness) { h.driver.steps = []step{{notRun: true, status: 503}} },
		"a begin":  func(h *harness) { h.relay.Ledger = &fakeLedger{err: ledger.ErrUnavailable} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, _, call := newRecordingHarness(t, 0)
				prepare(h)
				got := h.serveUntilClosed(call, time.Second)
				if held := time.Since(call.Received); got.refusal == nil || held != shutdownDeadlineAfter {
					t.Errorf("refused with %+v after %s", got.refusal, held)
				}
				h.relay.Wait(t.Context())
			})
		})
	}
}

// Calls all through a planned shutdown are answered by an instance or have not run, also those that are held up.
func TestCallsLateInAShutdownAreServedOrHaveNotRun(t *testing.T) {
	const serving, interval = 100 * time.Millisecond, 20 * time.Millisecond
	for _, kind := range []route.Kind{route.KindOnce, route.KindRepeatable, route.KindStream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, step{body: "id: 1\ndata: x\n\n", takes: serving})
				h.serve(newCall(newRoute(kind))) // shows the usual serving time
				deadline := time.Now().Add(shutdownDeadlineAfter)
				h.relay.StopBy(deadline)
				ctx, stop := context.WithDeadlineCause(h.t.Context(), deadline, ErrShutdownDeadline)
				defer stop()
				served := 0
				for time.Now().Before(deadline) {
					offers, began := len(h.driver.sent), time.Now()
					got := &recorder{}
					h.relay.Serve(ctx, newCall(newRoute(kind)), got)
					switch {
					case got.status == 200:
						served++
					case len(h.driver.sent) > offers:
						t.Errorf("%v before the deadline: offered, and refused with %+v", deadline.Sub(began), got.refusal)
					case got.refusal == nil || got.refusal.Reason != ReasonStopping || got.refusal.RetryAfter <= 0 || time.Since(began) > 0:
						t.Errorf("%v before the deadline: refused after %v with %+v", deadline.Sub(began), time.Since(began), got.refusal)
					}
					time.Sleep(interval)
				}
				if served < 6 {
					t.Errorf("%d calls were served", served)
				}
			})
		})
	}
}

// A call that no instance accepts is refused while another daemon can still serve it.
func TestHeldUpCallIsRefusedBeforeTheShutdownDeadline(t *testing.T) {
	const serving = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: "x", takes: serving}, step{notRun: true, status: 503})
		h.serve(newCall(newRoute(route.KindOnce))) // shows the usual serving time
		deadline := time.Now().Add(shutdownDeadlineAfter)
		h.relay.StopBy(deadline)
		got := h.serve(newCall(newRoute(route.KindOnce)))
		if left := time.Until(deadline); left < serving || got.refusal == nil || !got.refusal.Reason.PromisesNotRun() {
			t.Errorf("refused %v before the deadline with %+v", left, got.refusal)
		}
	})
}
