package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// restartedRun is the entry of a run of the one back end of the service.
func restartedRun(incarnation int64) []instance.Instance {
	return []instance.Instance{{
		ID: instance.RunID("i", incarnation), Service: "s", Address: "a:1", Zone: near, Slots: 4, State: instance.StateReady,
	}}
}

// TestStreamOfARunThatEndedIsTakenUpAgain: a stream may run at one instance at a time, and was
// kept to the one that ran it last. That one has started again under its name: it runs the stream
// no more, and whoever takes it up is the only one.
func TestStreamOfARunThatEndedIsTakenUpAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, step{body: eventOne, cut: true}, step{body: eventTwo})
		h.pool.Replace(restartedRun(100))
		r := newRoute(route.KindStream)
		r.MaxAttempts = 1
		h.driver.onSend = func() { h.pool.Replace(restartedRun(200)) }
		got := h.serve(newCall(r))
		if to := h.sentTo(); !got.ended || len(to) != 2 || to[0] != "i#100" || to[1] != "i#200" {
			t.Errorf("ended %t, aborted %t, sent to %v", got.ended, got.aborted, to)
		}
	})
}

// TestCallAtARunThatEndedInSilenceIsGivenUp: a machine that lost power says nothing, and whoever
// runs at its address now can be connected to. A call that must not run twice was waited for in
// vain until its caller left.
func TestCallAtARunThatEndedInSilenceIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newZonesHarness(t, true)
		h.driver = &scriptedDriver{steps: []step{{hold: true}}}
		options := h.relay.Options
		options.Driver = h.driver
		h.relay = New(options)
		h.pool.Replace(restartedRun(100))
		call := newCall(newRoute(route.KindOnce))
		call.Deadline = call.Received.Add(20 * time.Second)
		restarted := time.Now().Add(time.Second)
		time.AfterFunc(time.Second, func() { h.pool.Replace(restartedRun(200)) })
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() {
			for ctx.Err() == nil {
				h.relay.GiveUpSilent(time.Now())
				pause(ctx, 100*time.Millisecond)
			}
		}()
		got := h.serve(call)
		if took := time.Since(restarted); took > time.Second || got.refusal == nil || got.refusal.Reason != ReasonBroken {
			t.Errorf("%s after the new run was known: %+v", took, got.refusal)
		}
		if len(h.driver.sent) != 1 {
			t.Errorf("sent %d times, which may run it twice", len(h.driver.sent))
		}
	})
}
