package relay

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// coldFor is a filter that excludes all instances until a time.
type coldFor struct{ until time.Time }

func (c *coldFor) Reason() string { return "cold" }

func (c *coldFor) IsTemporary() {}

func (c *coldFor) Admits(_ *instance.Query, _ *instance.Instance, now time.Time) bool {
	return !now.Before(c.until)
}

func newColdHarness(t *testing.T, coldTime time.Duration, steps ...step) *harness {
	h := newHarness(t, steps...)
	filter := &coldFor{until: time.Now().Add(coldTime + 5*time.Second)}
	h.pool = instance.NewPool(rand.New(rand.NewPCG(1, 1)), instance.Plugins{Filters: []instance.Filter{filter}})
	h.pool.Replace([]instance.Instance{{ID: "i1", Service: "s", Address: "a:1", Slots: 4, State: instance.StateReady}})
	h.relay.Pool = h.pool
	time.Sleep(5 * time.Second) // past the time in which the list may be incomplete after a start
	return h
}

// Callers must be told to come back, not that no instance exists.
func TestServiceWithOnlyColdInstancesIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness(t, time.Hour, step{body: "whole"})
		call := newCall(newRoute(route.KindOnce))
		call.Deadline = call.Received.Add(time.Second)
		got := h.serve(call)
		if got.refusal == nil || got.refusal.Reason != ReasonFull || got.refusal.RetryAfter == 0 {
			t.Errorf("got %+v", got.refusal)
		}
	})
}

// A call waits until a cold instance admits it.
func TestCallWaitsForColdInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newColdHarness(t, 100*time.Millisecond, step{body: "whole"})
		if got := h.serve(newCall(newRoute(route.KindOnce))); got.body.String() != "whole" {
			t.Errorf("got %q, %+v", got.body.String(), got.refusal)
		}
	})
}

// A late offer was not sent, so it is repeated, and does not count against the instance.
func TestLateOfferIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{err: httpconn.ErrSendTooLate}, step{body: "whole"})
		for range 30 {
			if got := h.serve(newCall(newRoute(route.KindOnce))); got.body.String() != "whole" {
				t.Fatalf("got %q, %+v", got.body.String(), got.refusal)
			}
			time.Sleep(10 * time.Millisecond)
		}
		sent := h.sentTo()
		if !slices.Contains(sent[1:], sent[0]) {
			t.Errorf("the instance of the late offer got no further offers: %v", sent)
		}
	})
}
