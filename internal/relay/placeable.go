package relay

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// refuseIfUnplaceable refuses a call for which region restrictions or evacuated zones leave
// no instance, and reports whether it did. It must be called before anything is reserved
// for the call.
func (c *callHandler) refuseIfUnplaceable() bool {
	if c.regions.AllowsNone() {
		c.refuse(Refusal{Reason: ReasonNoRegion, Detail: "No region is allowed for both the route and the tenant."})
		return true
	}
	if !c.regions.IsRestricted() && !c.relay.anyEvacuated() {
		return false
	}
	return c.refuseUnplaceable(c.relay.Pool.Count(c.query()), time.Now())
}

// anyEvacuated reports whether any zone is evacuated.
func (r *Relay) anyEvacuated() bool {
	if r.Evacuations == nil {
		return false
	}
	_, ordered := r.Evacuations.LastOrderedAt()
	return ordered
}

// refuseUnplaceable refuses a call that only region restrictions or evacuated zones keep
// from all instances, and reports whether it did. It does not if something else keeps the
// call from an instance, or if its regions may have instances that this daemon does not
// know of.
func (c *callHandler) refuseUnplaceable(counts instance.Counts, now time.Time) bool {
	evacuated, otherRegion := counts.Filtered[zone.ReasonEvacuated], counts.Filtered[residency.ReasonRegion]
	others := -evacuated - otherRegion
	for _, count := range counts.Filtered {
		others += count
	}
	switch {
	case counts.Admitted > 0 || others > 0:
		return false
	case evacuated > 0:
		c.refuseEvacuated(now)
		return true
	case otherRegion > 0 && !c.relay.Pool.MayBeIncomplete():
		c.decide(admission.NoInstances, now, now)
		c.refuse(Refusal{Reason: ReasonRegionEmpty, RetryAfter: c.retryAfter(), Detail: "No back end of this service is in an allowed region."})
		return true
	}
	return false
}

// refuseBoundCall ends a call that only one instance may run again, if that instance may
// not get it any more: it left the list, or its zone was evacuated. The instance may still
// run the call to completion.
func (c *callHandler) refuseBoundCall() {
	if !c.refuseUnplaceable(c.relay.Pool.Count(c.query()), time.Now()) {
		c.refuse(brokenOffRefusal)
	}
}

// refuseEvacuated refuses a call whose service has back ends in evacuated zones only. It
// does not wait: how long an evacuation lasts does not depend on the caller's time, and
// other daemons have the same list of back ends.
func (c *callHandler) refuseEvacuated(now time.Time) {
	since := now
	if c.relay.Evacuations != nil {
		if at, ordered := c.relay.Evacuations.LastOrderedAt(); ordered {
			since = at
		}
	}
	c.decide(admission.ServiceEvacuated, since, now)
	c.refuse(Refusal{Reason: ReasonEvacuated, RetryAfter: c.retryAfter(), Detail: "All back ends of this service are in evacuated zones."})
}
