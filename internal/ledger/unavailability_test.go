package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
)

// The duration of a takeover that a turn waits for must not count as the duration of an
// outage of the store.
func TestTakeoverDoesNotCountAsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRollingFleet(t, 1)
		f.fillHistory(t)
		f.setReadTime(rollingReadTime)
		s := f.service(daemonID(0, 1))
		before := outageForecast(s)
		begin(t, s, Turn{ID: "a", Program: "p"})
		if after := outageForecast(s); after != before {
			t.Errorf("an outage was expected to last %s, and after a takeover %s", before, after)
		}
	})
}

// outageForecast returns how long an outage that begins now is expected to last.
func outageForecast(s *Service) time.Duration {
	now := time.Now()
	return s.Admission.Decide(admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: now, LatestStart: now}, now).MedianRemaining
}
