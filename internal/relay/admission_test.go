package relay

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/route"
)

// heldUp returns the ledger's error for a shard that has been held up for a while.
func heldUp(kind admission.Kind, lasted time.Duration) error {
	return &ledger.UnavailableError{Kind: kind, Since: time.Now().Add(-lasted)}
}

func TestTurnIsRefusedAtOnceIfOutageOutlastsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		h.ledger.err = heldUp(admission.StoreUnavailable, 5*time.Second)
		call := newTurn(newRoute(route.KindStream))
		call.Deadline = call.Received.Add(3 * time.Second)
		got := h.serve(call)
		if held := time.Since(call.Received); held > 0 {
			t.Errorf("held for %s", held)
		}
		if got.refusal == nil || got.refusal.Reason != ReasonLedgerUnavailable || got.refusal.RetryAfter < 5*time.Second {
			t.Errorf("refused with %+v: the median remaining duration of a five-second outage is at least as long", got.refusal)
		}
		if len(h.ledger.abandoned) != 1 {
			t.Errorf("abandoned %v", h.ledger.abandoned)
		}
	})
}

// A program for which the store has no capacity is refused with a Retry-After, and nothing
// is reserved for it.
func TestProgramIsRefusedAtOnceWhenStoreIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		h.ledger.err = &ledger.StoreCapacityError{RetryAfter: 3 * time.Second}
		call := newTurn(newRoute(route.KindStream))
		got := h.serve(call)
		if held := time.Since(call.Received); held > 0 || len(h.driver.sent) > 0 || len(h.ledger.turns) != 1 {
			t.Errorf("held for %s, sent %d times, asked for %d times", held, len(h.driver.sent), len(h.ledger.turns))
		}
		if got.refusal == nil || got.refusal.Reason != ReasonStoreCrowded || !got.refusal.Reason.PromisesNotRun() || got.refusal.RetryAfter < 3*time.Second {
			t.Errorf("refused with %+v", got.refusal)
		}
		if len(h.ledger.abandoned) != 0 {
			t.Errorf("abandoned %v", h.ledger.abandoned)
		}
	})
}

func TestTurnIsRefusedOnceItCannotBeServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		began := time.Now()
		h.ledger.err = &ledger.UnavailableError{Kind: admission.StoreUnavailable, Since: began}
		call := newTurn(newRoute(route.KindStream))
		call.Deadline = call.Received.Add(6 * time.Second)
		decision := h.relay.Admission.Decide(admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: began, LatestStart: call.Deadline}, began)
		got := h.serve(call)
		if got.refusal == nil || !time.Now().Equal(decision.WaitUntil) {
			t.Errorf("refused with %+v after %s, want %s", got.refusal, time.Since(began), decision.WaitUntil.Sub(began))
		}
	})
}

func TestTurnWaitsForMovingShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		h.ledger.err = heldUp(admission.ShardMoving, 0)
		time.AfterFunc(400*time.Millisecond, func() { h.ledger.setError(nil) })
		call := newTurn(newRoute(route.KindStream))
		call.Deadline = call.Received.Add(3 * time.Second)
		if got := h.serve(call); !got.ended {
			t.Errorf("refused with %+v", got.refusal)
		}
	})
}

func TestTurnIsRefusedAtOnceIfOutageOutlastsPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		h.ledger.err = heldUp(admission.StoreUnavailable, 2*time.Second)
		call := newTurn(newRoute(route.KindStream))
		call.Deadline = call.Received.Add(time.Minute)
		call.Patience = 2 * time.Second
		h.serve(call)
		if held := time.Since(call.Received); held > 0 {
			t.Errorf("held for %s although the caller leaves after %s", held, call.Patience)
		}
	})
}

func TestUrgentCallersGetShorterRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returns := func(priority int) time.Duration {
			h := newHarness(t, step{body: eventOne})
			h.ledger.err = heldUp(admission.StoreUnavailable, 4*time.Second)
			call := newTurn(newRoute(route.KindStream))
			call.Route.Priority = priority
			call.Deadline = call.Received.Add(time.Second)
			return h.serve(call).refusal.RetryAfter
		}
		if first, last := returns(0), returns(5); first >= last {
			t.Errorf("Retry-After of the urgent call is %s, of the other %s", first, last)
		}
	})
}

func TestWaitForFullServiceDependsOnHowLongItWasFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{status: 503, notRun: true})
		call := func(left time.Duration) *Call {
			call := newCall(newRoute(route.KindOnce))
			call.Deadline = call.Received.Add(left)
			return call
		}
		first := call(time.Second)
		h.serve(first)
		held := time.Since(first.Received)
		second := call(held)
		got := h.serve(second)
		if held == 0 || time.Since(second.Received) > 0 {
			t.Errorf("held for %s, and then %s although the service had been full for longer than the time left", held, time.Since(second.Received))
		}
		if got.refusal == nil || got.refusal.Reason != ReasonFull || got.refusal.RetryAfter < held {
			t.Errorf("refused with %+v", got.refusal)
		}
		time.Sleep(2 * fullServiceTTL) // until the refusals of the service are forgotten
		third := call(time.Second)
		h.serve(third)
		if time.Since(third.Received) < held/2 {
			t.Errorf("held for %s: old refusals still count", time.Since(third.Received))
		}
	})
}

func TestRequestWithLessTimeThanUsualIsStillOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		call := newTurn(newRoute(route.KindStream))
		call.Deadline = call.Received.Add(time.Second)
		h.relay.serving.observe(call.Route.Name, servingTime{untilFirst: 2 * time.Second, total: 5 * time.Second})
		if got := h.serve(call); !got.ended {
			t.Errorf("refused with %+v", got.refusal)
		}
	})
}

func TestRefusalLogsItsForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		lines := &bytes.Buffer{}
		h.relay.Logger = zerolog.New(lines)
		h.ledger.err = heldUp(admission.StoreUnavailable, 4*time.Second)
		call := newTurn(newRoute(route.KindStream))
		call.Deadline = call.Received.Add(time.Second)
		h.relay.Serve(context.Background(), call, &recorder{})
		expectParts(t, lines.String(), `"held_up_by":"store_out"`, `"since":4000`, `"left":1000`, `"chance":`, `"expected":`)
	})
}

func TestHeldUpRequestsAreCountedByOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne})
		h.ledger.err = heldUp(admission.ShardMoving, 0)
		time.AfterFunc(400*time.Millisecond, func() { h.ledger.setError(nil) })
		h.serve(newTurn(newRoute(route.KindStream)))
		h.serve(newTurn(newRoute(route.KindStream))) // not held up
		h.ledger.setError(heldUp(admission.StoreUnavailable, time.Hour))
		h.serve(newTurn(newRoute(route.KindStream)))
		count := func(by admission.Kind, outcome string) float64 {
			written := &dto.Metric{}
			if err := h.relay.Metrics.heldUpRequests.WithLabelValues(by.String(), outcome).Write(written); err != nil {
				t.Fatal(err)
			}
			return written.GetCounter().GetValue()
		}
		if served, refused := count(admission.ShardMoving, heldUpServed), count(admission.StoreUnavailable, heldUpRefused); served != 1 || refused != 1 {
			t.Errorf("%v served, %v refused", served, refused)
		}
		if others := count(admission.ShardMoving, heldUpRefused) + count(admission.StoreUnavailable, heldUpServed); others != 0 {
			t.Errorf("%v counted with the wrong outcome", others)
		}
	})
}
