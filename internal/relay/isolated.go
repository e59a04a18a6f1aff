package relay

import "time"

// RetryAfterReroute is when a caller should come back that is refused as this daemon has
// been isolated since some time: once new connections are routed to other daemons, which
// takes rerouteTime from then on.
func RetryAfterReroute(since time.Time, rerouteTime time.Duration) time.Duration {
	return max(time.Until(since.Add(rerouteTime)), stoppingPause)
}

// cutOffRefusal refuses a call that this daemon can not serve while it is isolated.
func (c *carrier) cutOffRefusal(since time.Time) Refusal {
	return Refusal{Reason: ReasonCutOff, RetryAfter: RetryAfterReroute(since, c.relay.RerouteTime), Detail: "This daemon is cut off from most of the fleet."}
}

// refuseCutOff refuses the call if this daemon is isolated, and tells whether it did.
func (c *carrier) refuseCutOff() bool {
	since, isolated := c.relay.monitor.isolatedSince()
	if isolated {
		c.refuse(c.cutOffRefusal(since))
	}
	return isolated
}
