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

// slowLedger takes a while to put the end of a kept turn on record.
type slowLedger struct {
	fakeLedger
	takes time.Duration
	// held is the text of the turns that it has, and mostHeld the most of that.
	held, mostHeld int
}

// hold adds to what the ledger holds.
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

// newRecording returns a relay whose ledger takes a while, and a kept turn.
func newRecording(t *testing.T, takes time.Duration) (*harness, *slowLedger, *Call) {
	h := newHarness(t, step{body: eventOne + eventTwo})
	slow := &slowLedger{takes: takes}
	h.relay.Ledger = slow
	r := newRoute(route.KindStream)
	r.RetainContext = true
	call := newTurn(r)
	call.Deadline = call.Received.Add(5 * time.Second)
	return h, slow, call
}

func TestAnswerThatIsReadyWaitsForItsRecordAsLongAsItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, call := newRecording(t, 4900*time.Millisecond)
		if got := h.serve(call); !got.ended {
			t.Error("an answer that was ready, and whose caller waited for it, was broken off")
		}
		if len(slow.outcomes) != 1 || slow.outcomes[0].Kept == nil {
			t.Errorf("outcomes: %+v", slow.outcomes)
		}
	})
}

func TestTurnWhoseCallerLeavesBeforeItsRecordIsSettledWithWhatItGot(t *testing.T) {
	for name, leave := range map[string]bool{"leaves": true, "its time is over": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, slow, call := newRecording(t, time.Minute)
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
					t.Error("a turn that is not on record was ended as complete")
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

// serveInBackground serves a call, and tells what its caller heard at its end.
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

// TestTextThatWaitsForItsRecordIsBounded: never more than the bound is with the ledger, and
// a turn that is ready waits for room as long as its caller does.
func TestTextThatWaitsForItsRecordIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, first := newRecording(t, 2*time.Second)
		h.relay.MaxPendingRecordBytes = 200
		first.Body = []byte(strings.Repeat("x", 90))
		ended := serveInBackground(t, h, first)
		time.Sleep(time.Second)
		second := newTurn(first.Route)
		second.Body = []byte(strings.Repeat("y", 150))
		got := &recorder{}
		h.relay.Serve(t.Context(), second, got)
		if held := time.Since(second.Received); !got.ended || held != 3*time.Second {
			t.Errorf("beyond the bound: ended %v, after %s", got.ended, held)
		}
		if !(<-ended).ended {
			t.Error("the turn that waited before was broken off")
		}
		if slow.mostHeld > 200 {
			t.Errorf("%d bytes were with the ledger at once", slow.mostHeld)
		}
		third := newTurn(first.Route)
		got = &recorder{}
		h.relay.Serve(t.Context(), third, got)
		if !got.ended || time.Since(third.Received) != 2*time.Second {
			t.Error("what waited once is still counted")
		}
		h.relay.Wait(t.Context())
	})
}

func TestNewTurnIsRefusedBeforeFinishedOnesMustBeBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, first := newRecording(t, 2*time.Second)
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
			t.Error("refused although nothing waits any more")
		}
		h.relay.Wait(t.Context())
	})
}

// closeCounter counts bodies that were closed.
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

// TestStreamThatWaitsForItsRecordHoldsNoConnection: a daemon's share of an
// instance's connections is a few, and a record may take as long as its caller
// waits.
func TestStreamThatWaitsForItsRecordHoldsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _, call := newRecording(t, 2*time.Second)
		driver := &closingDriver{scriptedDriver: h.driver}
		h.relay.Driver = driver
		ended := serveInBackground(t, h, call)
		time.Sleep(time.Second)
		if driver.closed.Load() != 1 {
			t.Error("the answer was read whole, and its connection is held")
		}
		if !(<-ended).ended {
			t.Error("the stream was broken off")
		}
	})
}

// TestTurnThatAloneExceedsTheMemoryForRecordsIsRecorded: its caller sends it again, and it
// would be broken off each time.
func TestTurnThatAloneExceedsTheMemoryForRecordsIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, slow, call := newRecording(t, time.Second)
		h.relay.MaxPendingRecordBytes = 200
		slow.history = strings.Repeat("h", 300)
		if got := h.serve(call); !got.ended {
			t.Error("an answer that was ready was broken off although no other waits for its record")
		}
	})
}
