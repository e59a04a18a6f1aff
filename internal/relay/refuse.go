package relay

import (
	"context"
	"errors"

	"github.com/rs/zerolog"
)

// brokenOffRefusal ends a call whose back end broke off and that may not run again.
var brokenOffRefusal = Refusal{Reason: ReasonBroken, Detail: "The back end broke off; the request may have run."}

// originGoneRefusal ends a call that only one software version of one service may go on with,
// which no back end of its route has any more; originUnknownRefusal ends one for which nobody
// knows that version. Retrying the same call would not help, only a new stream.
var (
	originGoneRefusal    = Refusal{Reason: ReasonOriginGone, Detail: "No back end of this route has the software version that began the stream."}
	originUnknownRefusal = Refusal{Reason: ReasonOriginUnknown, Detail: "The software version that began the stream is not known."}
)

// stoppingRefusal ends a call because the daemon is shutting down and would not be there
// for the answer.
var stoppingRefusal = Refusal{Reason: ReasonStopping, RetryAfter: shortRetryAfter, Detail: "This daemon stops."}

// MemoryFullRefusal refuses a request whose text the daemon has no memory for. Others may have.
var MemoryFullRefusal = Refusal{Reason: ReasonMemoryFull, RetryAfter: shortRetryAfter, Detail: "This daemon has no memory for the request."}

// refuseEnded ends a call whose context ended or whose own deadline is too close: the call's
// deadline passed, its caller disconnected, or the daemon reached its shutdown deadline.
func (c *callHandler) refuseEnded(ctx context.Context) {
	if isPastShutdownDeadline(ctx) {
		c.refuse(stoppingRefusal)
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

func isPastShutdownDeadline(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrShutdownDeadline)
}

// refuse ends the call with a refusal.
func (c *callHandler) refuse(refusal Refusal) {
	cause := Cause(refusal.Reason)
	if refusal.Reason == ReasonBroken && c.wasGivenUp() {
		cause = CauseBackEndGivenUp
	}
	c.refuseWithCause(refusal, cause)
}

// refuseWithCause is refuse with a cause that is more specific than the refusal's reason.
// If the call may have run, a reason that promises the contrary is replaced.
func (c *callHandler) refuseWithCause(refusal Refusal, cause Cause) {
	if c.mayHaveRun() && refusal.Reason.PromisesNotRun() {
		refusal = Refusal{Reason: ReasonBroken, Detail: refusal.Detail + " The request may have run before."}
	}
	c.relay.Metrics.refused(c.call, refusal.Reason)
	c.countHeldUp(heldUpRefused)
	c.refundQuota()
	c.responder.refuse(refusal, cause, func(line *zerolog.Event) *zerolog.Event { return c.logRefusal(line, refusal) })
}

// wasGivenUp reports whether the latest offer was given up because its back end is presumed
// unreachable.
func (c *callHandler) wasGivenUp() bool {
	return c.latest.context != nil && isGivenUp(c.latest.context)
}

// PromisesNotRun reports whether a refusal for this reason guarantees that the request has
// not run and never will.
func (r Reason) PromisesNotRun() bool {
	switch r {
	case ReasonBroken, ReasonTimeout, ReasonCallerLeft, ReasonBodyCut:
		return false
	}
	return true
}
