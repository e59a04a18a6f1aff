package relay

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// isEvacuated tells whether nothing but evacuated zones keeps a call from all
// instances that could serve it.
func isEvacuated(census instance.Census) bool {
	return census.Admitted == 0 && len(census.Filtered) == 1 && census.Filtered[zone.ReasonEvacuated] > 0
}

// refuseBound ends a call that only one instance may run again, which may not get it
// any more: it left the list, or its zone was evacuated. It may run the call to its
// end.
func (c *carrier) refuseBound() {
	if isEvacuated(c.relay.Pool.Count(c.query())) {
		c.refuseEvacuated(time.Now())
		return
	}
	c.refuse(brokenOff)
}

// refuseEvacuated ends a call whose service has back ends in evacuated zones only. It
// is refused at once: operators take a zone back when they are done, which no
// caller's time is a measure of, and another daemon knows no other back ends.
func (c *carrier) refuseEvacuated(now time.Time) {
	since := now
	if c.relay.Evacuations != nil {
		if at, any := c.relay.Evacuations.LastOrderedAt(); any {
			since = at
		}
	}
	c.decide(admission.ServiceEvacuated, since, now)
	c.refuse(Refusal{Reason: ReasonEvacuated, RetryAfter: c.returnAfter(), Detail: "All back ends of this service are in evacuated zones."})
}
