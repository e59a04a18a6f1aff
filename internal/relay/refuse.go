package relay

import (
	"context"
	"errors"

	"github.com/rs/zerolog"
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

func isStopBound(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrShutdownDeadline) }

// refuse ends the call with an answer of the system's own.
func (c *carrier) refuse(refusal Refusal) {
	cause := Cause(refusal.Reason)
	if refusal.Reason == ReasonBroken && c.wasGivenUp() {
		cause = CauseBackEndGivenUp
	}
	c.refuseFor(refusal, cause)
}

// refuseFor is refuse for a cause of which the refusal tells less. Where the call may have
// run, no answer may promise the contrary.
func (c *carrier) refuseFor(refusal Refusal, cause Cause) {
	if c.mayHaveRun() && refusal.Reason.PromisesNotRun() {
		refusal = Refusal{Reason: ReasonBroken, Detail: refusal.Detail + " The request may have run before."}
	}
	c.relay.Metrics.refused(c.call, refusal.Reason)
	c.noteForecast(heldUpRefused)
	c.returnQuota()
	c.responder.refuse(refusal, cause, func(line *zerolog.Event) *zerolog.Event { return c.logRefusal(line, refusal) })
}

// wasGivenUp tells whether the daemon gave the latest offer up as nobody is reached there.
func (c *carrier) wasGivenUp() bool { return c.latest.context != nil && isGivenUp(c.latest.context) }

// PromisesNotRun tells whether a refusal for this reason says that the request
// has not run and never will.
func (r Reason) PromisesNotRun() bool {
	switch r {
	case ReasonBroken, ReasonTimeout, ReasonCallerLeft, ReasonBodyCut:
		return false
	}
	return true
}
