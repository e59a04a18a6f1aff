package relay

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// isPlaceable tells whether some instance may be had for a call; if not, the call was
// ended. It is asked before anything is reserved for the call, where regions or
// evacuated zones may leave none.
func (c *carrier) isPlaceable() bool {
	if c.regions.IsNowhere() {
		c.refuse(Refusal{Reason: ReasonNoRegion, Detail: "No region is allowed for both the route and the tenant."})
		return false
	}
	if !c.regions.IsBound() && !c.relay.anyEvacuated() {
		return true
	}
	return !c.refuseUnplaceable(c.relay.Pool.Count(c.query()), time.Now())
}

func (r *Relay) anyEvacuated() bool {
	if r.Evacuations == nil {
		return false
	}
	_, ordered := r.Evacuations.LastOrderedAt()
	return ordered
}

// refuseUnplaceable ends a call that regions or evacuated zones alone keep from all
// instances that could serve it. False means that there is another reason, or that
// instances may be running in its regions that this daemon does not know of.
func (c *carrier) refuseUnplaceable(census instance.Census, now time.Time) bool {
	evacuated, elsewhere := census.Filtered[zone.ReasonEvacuated], census.Filtered[residency.ReasonRegion]
	others := -evacuated - elsewhere
	for _, count := range census.Filtered {
		others += count
	}
	switch {
	case census.Admitted > 0 || others > 0:
		return false
	case evacuated > 0:
		c.refuseEvacuated(now)
		return true
	case elsewhere > 0 && !c.relay.Pool.IsUncertain():
		c.decide(admission.ServiceGone, now, now)
		c.refuse(Refusal{Reason: ReasonRegionEmpty, RetryAfter: c.returnAfter(), Detail: "No back end of this service is in an allowed region."})
		return true
	}
	return false
}

// refuseBound ends a call that only one instance may run again, which may not get it
// any more: it left the list, or its zone was evacuated. It may run the call to its
// end.
func (c *carrier) refuseBound() {
	if !c.refuseUnplaceable(c.relay.Pool.Count(c.query()), time.Now()) {
		c.refuse(brokenOff)
	}
}

// refuseEvacuated ends a call whose service has back ends in evacuated zones only. It
// is refused at once: operators take a zone back when they are done, which no
// caller's time is a measure of, and another daemon knows no other back ends.
func (c *carrier) refuseEvacuated(now time.Time) {
	since := now
	if c.relay.Evacuations != nil {
		if at, ordered := c.relay.Evacuations.LastOrderedAt(); ordered {
			since = at
		}
	}
	c.decide(admission.ServiceEvacuated, since, now)
	c.refuse(Refusal{Reason: ReasonEvacuated, RetryAfter: c.returnAfter(), Detail: "All back ends of this service are in evacuated zones."})
}
