package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
)

// restartedRun returns the entry of one incarnation of the service's only back end.
func restartedRun(incarnation int64) []instance.Instance {
	return []instance.Instance{{
		ID: instance.RunID("i", incarnation), Service: "s", Address: "a:1", Zone: near, Slots: 4, State: instance.StateReady,
	}}
}

// Guards against binding a stream to an instance that has restarted: its old run is over,
// so any instance may resume the stream.
func TestStreamResumesAfterItsInstanceRestarted(t *testing.T) {
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

// Guards against waiting for a run that ended without closing its connection, as after a
// power loss, while the restarted instance at the same address accepts connections.
func TestCallAtSilentlyRestartedInstanceIsGivenUp(t *testing.T) {
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
			t.Errorf("ended %s after the new incarnation was known: %+v", took, got.refusal)
		}
		if len(h.driver.sent) != 1 {
			t.Errorf("sent %d times, so it may have run twice", len(h.driver.sent))
		}
	})
}
