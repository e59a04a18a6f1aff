package relay

import (
	"context"
	"errors"
	"time"
)

// brokenOff ends a call whose back end broke off and that may not run again.
var brokenOff = Refusal{Reason: ReasonBroken, Detail: "The back end broke off; the request may have run."}

// stopping ends a call that reaches a daemon which is about to leave: it would
// not be there for the answer.
var stopping = Refusal{Reason: ReasonStopping, RetryAfter: stoppingPause, Detail: "This daemon stops."}

// refuseLate ends a call whose time is over, whose caller left, or whose daemon
// leaves.
func (c *carrier) refuseLate(ctx context.Context) {
	if isStopBound(ctx) {
		c.refuse(stopping)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		c.refuse(Refusal{Reason: ReasonCallerLeft, Detail: "The caller left."})
		return
	}
	if c.mayHaveRun() {
		c.refuse(Refusal{Reason: ReasonTimeout, Detail: "The time for this request is over; it may have run."})
		return
	}
	c.refuse(Refusal{Reason: ReasonNotInTime, Detail: "The time for this request is over; it has not run."})
}

func isStopBound(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopBound) }

// refuse ends the call with an answer of the system's own. Where the call may
// have run, no answer may promise the contrary.
func (c *carrier) refuse(refusal Refusal) {
	cause := refusal.Reason
	if c.mayHaveRun() && refusal.Reason.PromisesNotRun() {
		refusal = Refusal{Reason: ReasonBroken, Detail: refusal.Detail + " The request may have run before."}
	}
	c.relay.Metrics.refused(c.call, refusal.Reason)
	c.noteForecast(heldUpRefused)
	line := c.logger.Info().Str("reason", string(refusal.Reason)).Int("offers", c.offers).Int("runs", c.runs).
		Dur("held", time.Since(c.call.Received)).Dur("retry_after", refusal.RetryAfter)
	if c.quota.verdict.Reason != "" {
		line = c.logVerdict(line)
	}
	if cause != refusal.Reason {
		line = line.Str("cause", string(cause))
	}
	if !c.heldUp.Since.IsZero() {
		line = c.logForecast(line)
	}
	line.Msg("Request refused.")
	c.returnQuota()
	c.responder.Refuse(refusal)
}

// PromisesNotRun tells whether a refusal for this reason says that the request
// has not run and never will.
func (r Reason) PromisesNotRun() bool {
	switch r {
	case ReasonBroken, ReasonTimeout, ReasonCallerLeft:
		return false
	}
	return true
}
