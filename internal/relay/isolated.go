package relay

import "time"

// RetryAfterReroute returns when a caller should come back that is refused because this
// daemon has been isolated since some time: once new connections are routed to other
// daemons, rerouteTime later.
func RetryAfterReroute(since time.Time, rerouteTime time.Duration) time.Duration {
	return max(time.Until(since.Add(rerouteTime)), shortRetryAfter)
}

// cutOffRefusal returns the refusal of a call that this daemon cannot serve while it is
// isolated.
func (c *callHandler) cutOffRefusal(since time.Time) Refusal {
	return Refusal{Reason: ReasonCutOff, RetryAfter: RetryAfterReroute(since, c.relay.RerouteTime), Detail: "This daemon is cut off from most of the fleet."}
}

// refuseCutOff refuses the call if this daemon is isolated, and reports whether it did.
func (c *callHandler) refuseCutOff() bool {
	since, isolated := c.relay.monitor.isolatedSince()
	if isolated {
		c.refuse(c.cutOffRefusal(since))
	}
	return isolated
}
