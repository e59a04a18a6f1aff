package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

// Handling of offers that were not accepted: whether another instance may get the call
// depends on whether this one may have run it.

// handleFailedOffer handles an offer that was not accepted and reports whether the call may
// be offered to another instance. If not, the call was ended.
func (c *callHandler) handleFailedOffer(ctx context.Context, target instance.Instance, answer *Answer, err error) bool {
	c.excluded = append(c.excluded, target.ID)
	switch {
	case err == nil:
		return c.handleNotRun(target, answer)
	case ctx.Err() != nil:
		c.handleCanceledOffer(ctx, target, err)
		return false
	case errors.Is(err, httpconn.ErrNoConnection) || errors.Is(err, httpconn.ErrSendTooLate) || errors.Is(err, httpconn.ErrResetUnused):
		c.release(target, instance.OutcomeFull)
		return true
	}
	c.releaseFailed(target)
	c.logFailedOffer(target, err)
	if httpconn.IsNotSent(err) {
		// The instance does not accept connections. Nearly always it is gone, and most back
		// ends stop a run when its connection breaks. A back end that is shutting down may
		// still run the call, which cannot be detected.
		c.boundTo = ""
		c.notReached = append(c.notReached, target.ID)
		return true
	}
	c.noteRun(target)
	c.noteBrokenRun(ctx, target)
	return c.mayRunAgain()
}

// handleNotRun handles the answer of an instance that did not run the call, and reports whether the
// call may be offered to another one. If not, the call was ended.
func (c *callHandler) handleNotRun(target instance.Instance, answer *Answer) bool {
	drainAndClose(answer.Body)
	c.noteNotRun(target, answer)
	if isCallAtFault(c.refusals, c.others()) {
		c.refuseTurnedDown()
		return false
	}
	return true
}

// handleCanceledOffer ends a call whose context ended during an offer.
func (c *callHandler) handleCanceledOffer(ctx context.Context, target instance.Instance, err error) {
	c.release(target, c.canceledOutcome())
	if !httpconn.IsNotSent(err) {
		c.noteRun(target)
		c.noteCanceledRun(ctx, target)
	}
	c.refuseEnded(ctx)
}

// canceledOutcome returns the outcome of an offer that this side ended. It counts against
// the instance only if that was silent for long.
func (c *callHandler) canceledOutcome() instance.Outcome {
	if time.Since(c.latest.heardAt) >= silentThreshold {
		return instance.OutcomeTimeout
	}
	return instance.OutcomeCanceled
}

// noteRun records that an instance may have run the call, as the latest.
func (c *callHandler) noteRun(target instance.Instance) {
	c.runs++
	c.ranOn = slices.DeleteFunc(c.ranOn, func(id string) bool { return id == target.ID })
	c.ranOn = append(c.ranOn, target.ID)
}

// bindToLastInstance binds a call that ran on as many instances as its route allows to the
// last of them, which may still be running it although the connection broke. The binding
// ends when that instance cannot be reached any more.
func (c *callHandler) bindToLastInstance() {
	if len(c.ranOn) < c.call.Route.MaxAttempts {
		return
	}
	c.boundTo = c.ranOn[len(c.ranOn)-1]
	c.excluded = c.excluded[:0]
}

func (c *callHandler) noteNotRun(target instance.Instance, answer *Answer) {
	outcome := instance.OutcomeFull
	if answer.NotRun.isGone() {
		outcome = instance.OutcomeGone
		c.boundTo = ""
	} else {
		c.refusals++
	}
	c.release(target, outcome)
	c.relay.Metrics.notRun(answer.NotRun)
	c.logNotTaken(target, answer)
}

// maxRuns returns how often the call may run.
func (c *callHandler) maxRuns() int {
	if c.call.Route.Kind == kindStream {
		return maxStreamRuns
	}
	return c.call.Route.MaxAttempts
}

// alternativeTo returns the requirements for another instance that gets the call while
// target may still be running it, nil if the route allows no further run or no further
// instance.
func (c *callHandler) alternativeTo(target instance.Instance) *instance.Query {
	ranOn := len(c.ranOn)
	if !slices.Contains(c.ranOn, target.ID) {
		ranOn++
	}
	if !c.call.Route.Repeatable() || c.runs+1 >= c.maxRuns() || ranOn >= c.call.Route.MaxAttempts {
		return nil
	}
	query := c.query()
	if !c.origin.isBound {
		query.Version = nil
	}
	query.Only, query.Excluded = "", append(slices.Clone(c.excluded), target.ID)
	return &query
}

// hasRunsLeft reports whether the route allows the call to run once more.
func (c *callHandler) hasRunsLeft() bool { return c.call.Route.Repeatable() && c.runs < c.maxRuns() }

// mayRunAgain reports whether the route allows another run. If not, the call is ended as
// one that may have run.
func (c *callHandler) mayRunAgain() bool {
	if c.hasRunsLeft() {
		c.bindToLastInstance()
		c.relay.Metrics.retry()
		return true
	}
	c.refuse(brokenOffRefusal)
	return false
}
