package relay

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/route"
)

// An answer whose status implies that the request was not run, but without the instance's
// guarantee for that, means that it did run. Only requests that may run again get the
// answer unchanged.
func TestFalseNotRunPromiseIsNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		kind      route.Kind
		resumable bool
		passed    bool
	}{
		"once":             {route.KindOnce, false, false},
		"stream":           {route.KindStream, false, false},
		"repeatable":       {route.KindRepeatable, false, true},
		"resumable stream": {route.KindStream, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, step{status: 503, body: "busy", implies: ImpliesNotRun})
			r := newRoute(c.kind)
			r.Resumable = c.resumable
			got := h.serve(newCall(r))
			if passed := got.status == 503; passed != c.passed {
				t.Errorf("got %d, %+v", got.status, got.refusal)
			}
			if !c.passed && (got.refusal == nil || got.refusal.Reason.PromisesNotRun()) {
				t.Errorf("refused with %+v", got.refusal)
			}
			if len(h.driver.sent) != 1 {
				t.Errorf("sent %d times", len(h.driver.sent))
			}
		})
	}
}
