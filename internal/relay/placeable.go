package relay

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// refuseIfUnplaceable refuses a call for which regions or evacuated zones leave no
// instance, and tells whether it did. It is called before anything is reserved for the
// call.
func (c *carrier) refuseIfUnplaceable() bool {
	if c.regions.AllowsNone() {
		c.refuse(Refusal{Reason: ReasonNoRegion, Detail: "No region is allowed for both the route and the tenant."})
		return true
	}
	if !c.regions.IsRestricted() && !c.relay.anyEvacuated() {
		return false
	}
	return c.refuseUnplaceable(c.relay.Pool.Count(c.query()), time.Now())
}

// anyEvacuated tells whether any zone is evacuated.
func (r *Relay) anyEvacuated() bool {
	if r.Evacuations == nil {
		return false
	}
	_, ordered := r.Evacuations.LastOrderedAt()
	return ordered
}

// refuseUnplaceable refuses a call that regions or evacuated zones alone keep from all
// instances that could serve it, and tells whether it did. It does not if something else
// keeps the call from an instance, or if instances may be running in its regions that this
// daemon does not know of.
func (c *carrier) refuseUnplaceable(census instance.Counts, now time.Time) bool {
	evacuated, otherRegion := census.Filtered[zone.ReasonEvacuated], census.Filtered[residency.ReasonRegion]
	others := -evacuated - otherRegion
	for _, count := range census.Filtered {
		others += count
	}
	switch {
	case census.Admitted > 0 || others > 0:
		return false
	case evacuated > 0:
		c.refuseEvacuated(now)
		return true
	case otherRegion > 0 && !c.relay.Pool.MayBeIncomplete():
		c.decide(admission.NoInstances, now, now)
		c.refuse(Refusal{Reason: ReasonRegionEmpty, RetryAfter: c.returnAfter(), Detail: "No back end of this service is in an allowed region."})
		return true
	}
	return false
}

// refuseBound ends a call that only one instance may run again, and that instance may not
// get it any more: it left the list, or its zone was evacuated. The instance may still run
// the call to its end.
func (c *carrier) refuseBound() {
	if !c.refuseUnplaceable(c.relay.Pool.Count(c.query()), time.Now()) {
		c.refuse(brokenOff)
	}
}

// refuseEvacuated refuses a call whose service has back ends in evacuated zones only. It
// does not wait: how long operators need has nothing to do with the caller's time, and
// other daemons know no other back ends.
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
