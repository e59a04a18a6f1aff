package relay

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
)

// slowLedger takes some time to store a kept turn.
type slowLedger struct {
	fakeLedger
	takes time.Duration
	// held is the number of bytes that the ledger is storing, and mostHeld its maximum.
	held, mostHeld int
}

// hold adds to the bytes that the ledger is storing.
func (l *slowLedger) hold(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held += bytes
	l.mostHeld = max(l.mostHeld, l.held)
}

func (l *slowLedger) End(ctx context.Context, outcome ledger.Outcome) error {
	if outcome.Kept != nil {
		text := len(outcome.Kept.Input) + len(outcome.Kept.Output)
		l.hold(text)
		defer l.hold(-text)
		select {
		case <-time.After(l.takes):
		case <-ctx.Done():
			return ledger.ErrUnavailable
		}
	}
	return l.fakeLedger.End(ctx, outcome)
}

// newRecordingHarness returns a harness whose ledger takes some time to store turns, and a
// kept turn.
func newRecordingHarness(t *testing.T, takes time.Duration) (*harness, *slowLedger, *Call) {
	h := newHarness(t, step{body: eventOne + eventTwo})
	slow := &slowLedger{takes: takes}
	h.relay.Ledger = slow
	r := newRoute(route.KindStream)
	r.RetainContext = true
	call := newTurn(r)
	call.Deadline = call.Received.Add(5 * time.Second)
	return h, slow, call
}

func TestReadyAnswerWaitsForItsRecordUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, call := newRecordingHarness(t, 4900*time.Millisecond)
		if got := h.serve(call); !got.ended {
			t.Error("a complete answer was broken off although its caller was waiting")
		}
		if len(slow.outcomes) != 1 || slow.outcomes[0].Kept == nil {
			t.Errorf("outcomes: %+v", slow.outcomes)
		}
	})
}

func TestUnrecordedTurnIsSettledWithDeliveredTokens(t *testing.T) {
	for name, leave := range map[string]bool{"leaves": true, "its time is over": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, slow, call := newRecordingHarness(t, time.Minute)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				left := 5 * time.Second
				if leave {
					left = 3 * time.Second
					time.AfterFunc(left, cancel)
				}
				got := &recorder{}
				h.relay.Serve(ctx, call, got)
				if !got.aborted || got.ended {
					t.Error("a turn that was not stored was ended as complete")
				}
				if held := time.Since(call.Received); held > left {
					t.Errorf("held for %s, want %s", held, left)
				}
				h.relay.Wait(t.Context())
				want := []ledger.Outcome{{Turn: "q", Program: "p", Session: "s1", Instance: h.driver.to[0].ID, UsedTokens: 8}}
				if diff := cmp.Diff(want, slow.outcomes); diff != "" {
					t.Errorf("outcomes (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// serveInBackground serves a call and sends what its caller got when it has ended.
func serveInBackground(t *testing.T, h *harness, call *Call) <-chan *recorder {
	t.Helper()
	ended := make(chan *recorder, 1)
	go func() {
		got := &recorder{}
		h.relay.Serve(t.Context(), call, got)
		ended <- got
	}()
	return ended
}

// The ledger never stores more than the limit at once, and a finished turn waits for memory
// as long as its caller does.
func TestRecordMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, first := newRecordingHarness(t, 2*time.Second)
		h.relay.MaxPendingRecordBytes = 200
		first.Body = []byte(strings.Repeat("x", 90))
		ended := serveInBackground(t, h, first)
		time.Sleep(time.Second)
		second := newTurn(first.Route)
		second.Body = []byte(strings.Repeat("y", 150))
		got := &recorder{}
		h.relay.Serve(t.Context(), second, got)
		if held := time.Since(second.Received); !got.ended || held != 3*time.Second {
			t.Errorf("beyond the limit: ended %v, after %s", got.ended, held)
		}
		if !(<-ended).ended {
			t.Error("the turn that waited first was broken off")
		}
		if slow.mostHeld > 200 {
			t.Errorf("the ledger was storing %d bytes at once", slow.mostHeld)
		}
		third := newTurn(first.Route)
		got = &recorder{}
		h.relay.Serve(t.Context(), third, got)
		if !got.ended || time.Since(third.Received) != 2*time.Second {
			t.Error("memory of stored turns is still counted")
		}
		h.relay.Wait(t.Context())
	})
}

func TestNewTurnIsRefusedWhileRecordMemoryIsNearlyFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, first := newRecordingHarness(t, 2*time.Second)
		h.relay.MaxPendingRecordBytes = 200
		first.Body = []byte(strings.Repeat("x", 110))
		ended := serveInBackground(t, h, first)
		time.Sleep(time.Second)
		got := &recorder{}
		h.relay.Serve(t.Context(), newTurn(first.Route), got)
		if got.refusal == nil || !got.refusal.Reason.PromisesNotRun() || got.refusal.RetryAfter <= 0 {
			t.Errorf("refused with %+v", got.refusal)
		}
		if len(h.driver.sent) != 1 || len(slow.turns) != 1 {
			t.Errorf("%d calls reached an instance, %d turns the ledger", len(h.driver.sent), len(slow.turns))
		}
		if !(<-ended).ended {
			t.Error("the turn that waited was broken off")
		}
		got = &recorder{}
		h.relay.Serve(t.Context(), newTurn(first.Route), got)
		if !got.ended {
			t.Error("refused although no turn is waiting")
		}
		h.relay.Wait(t.Context())
	})
}

// closeCounter counts closed bodies.
type closeCounter struct {
	io.Reader
	closed *atomic.Int64
}

func (c closeCounter) Close() error {
	c.closed.Add(1)
	return nil
}

// closingDriver counts the answers whose bodies were closed.
type closingDriver struct {
	*scriptedDriver
	closed atomic.Int64
}

func (d *closingDriver) Send(ctx context.Context, to instance.Instance, outgoing *OutgoingCall) (*Answer, error) {
	answer, err := d.scriptedDriver.Send(ctx, to, outgoing)
	if err == nil {
		answer.Body = closeCounter{Reader: answer.Body, closed: &d.closed}
	}
	return answer, err
}

// A daemon's share of an instance's connections is small, and storing a turn may take as
// long as its caller waits.
func TestStreamAwaitingItsRecordHoldsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, call := newRecordingHarness(t, 2*time.Second)
		driver := &closingDriver{scriptedDriver: h.driver}
		h.relay.Driver = driver
		ended := serveInBackground(t, h, call)
		time.Sleep(time.Second)
		if driver.closed.Load() != 1 {
			t.Error("the answer was read to its end, but its connection is still held")
		}
		if !(<-ended).ended {
			t.Error("the stream was broken off")
		}
	})
}

// A turn that is larger than the limit could never be stored otherwise, however often its
// caller retries.
func TestTurnLargerThanRecordMemoryIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, call := newRecordingHarness(t, time.Second)
		h.relay.MaxPendingRecordBytes = 200
		slow.history = strings.Repeat("h", 300)
		if got := h.serve(call); !got.ended {
			t.Error("a complete answer was broken off although no other turn is waiting")
		}
	})
}
