package relay

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/route"
)

func TestCallDuringDrainIsRefusedAsNotRun(t *testing.T) {
	h := newHarness(t, step{body: "answer"})
	h.relay.Drain()
	for _, kind := range []route.Kind{route.KindOnce, route.KindStream} {
		got := h.serve(newCall(newRoute(kind)))
		if got.refusal == nil || !got.refusal.Reason.PromisesNotRun() || got.refusal.RetryAfter <= 0 {
			t.Errorf("%s: refused with %+v", kind, got.refusal)
		}
	}
	if len(h.driver.sent) != 0 {
		t.Errorf("%d calls reached an instance", len(h.driver.sent))
	}
}
