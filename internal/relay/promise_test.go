package relay

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/route"
)

// TestPromiseThatItsInstanceDidNotMakeIsNotPassedOn: an answer whose status says that the
// request has not run, of an instance that does not say so, ran it. Who may send it again
// anyhow gets the answer as it is.
func TestPromiseThatItsInstanceDidNotMakeIsNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		kind      route.Kind
		resumable bool
		passed    bool
	}{
		"once":                    {route.KindOnce, false, false},
		"stream":                  {route.KindStream, false, false},
		"repeatable":              {route.KindRepeatable, false, true},
		"stream that is taken up": {route.KindStream, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, step{status: 503, body: "busy", sounds: true})
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
