package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

// What becomes of a call whose latest offer was not taken: whether another instance may get it
// depends on whether this one may have run it.

// goOn takes note of a failed offer and tells whether the call may be offered
// to another instance. If not, the call was ended.
func (c *carrier) goOn(ctx context.Context, target instance.Instance, answer *Answer, err error) bool {
	c.excluded = append(c.excluded, target.ID)
	if err == nil {
		drainAndClose(answer.Body)
		c.noteNotRun(target, answer)
		if belongsToCall(c.refusals, c.others()) {
			c.refuseTurnedDown()
			return false
		}
		return true
	}
	if ctx.Err() != nil {
		c.release(target, c.outcomeOfGivingUp())
		if !httpconn.IsNotSent(err) {
			c.noteRun(target)
		}
		c.refuseLate(ctx)
		return false
	}
	if errors.Is(err, httpconn.ErrNoConnection) || errors.Is(err, httpconn.ErrSendTooLate) || errors.Is(err, httpconn.ErrResetUnused) {
		c.release(target, instance.OutcomeFull)
		return true
	}
	c.fail(target)
	c.logger.Info().Str("instance", target.ID).Int("offer", c.offers).Err(err).Msg("Offer failed.")
	if httpconn.IsNotSent(err) {
		// It can not be connected to: nearly always because it is gone, and most back ends drop a
		// run whose connection broke. One that leaves may still run it, and nothing tells.
		c.only = ""
		return true
	}
	c.noteRun(target)
	return c.mayRunAgain()
}

// outcomeOfGivingUp is what a request that this side ended says of its
// instance: something, if that was silent for long.
func (c *carrier) outcomeOfGivingUp() instance.Outcome {
	if time.Since(c.latest.heardAt) >= silentAfter {
		return instance.OutcomeTimeout
	}
	return instance.OutcomeCanceled
}

// noteRun takes note that an instance may have run the call, after all others.
func (c *carrier) noteRun(target instance.Instance) {
	c.runs++
	c.ranOn = slices.DeleteFunc(c.ranOn, func(id string) bool { return id == target.ID })
	c.ranOn = append(c.ranOn, target.ID)
}

// bind keeps a call that ran on as many instances as its route allows to the
// last of them. Only the connection to it may have broken, not its run; one
// that cannot be reached any more is left.
func (c *carrier) bind() {
	if len(c.ranOn) < c.call.Route.MaxAttempts {
		return
	}
	c.only = c.ranOn[len(c.ranOn)-1]
	c.excluded = c.excluded[:0]
}

func (c *carrier) noteNotRun(target instance.Instance, answer *Answer) {
	outcome := instance.OutcomeFull
	if answer.Misdirected {
		outcome = instance.OutcomeGone
		c.only = ""
	} else {
		c.refusals++
	}
	c.release(target, outcome)
	c.relay.Metrics.notRun(answer.Misdirected)
	c.logNotTaken(target, answer.Status)
}

// mostRuns bounds how often the call may run.
func (c *carrier) mostRuns() int {
	if c.call.Route.Kind == kindStream {
		return streamRuns
	}
	return c.call.Route.MaxAttempts
}

// alternativeTo is what another instance must be to get the call while the target may still run it,
// nil if the route allows no further run or no further instance.
func (c *carrier) alternativeTo(target instance.Instance) *instance.Query {
	ranOn := len(c.ranOn)
	if !slices.Contains(c.ranOn, target.ID) {
		ranOn++
	}
	if !c.call.Route.Repeatable() || c.runs+1 >= c.mostRuns() || ranOn >= c.call.Route.MaxAttempts {
		return nil
	}
	query := c.query()
	query.Only, query.Excluded = "", append(slices.Clone(c.excluded), target.ID)
	return &query
}

// mayRunAgain tells whether the route allows another run; if not, the call is
// ended as one that may have run.
func (c *carrier) mayRunAgain() bool {
	if c.call.Route.Repeatable() && c.runs < c.mostRuns() {
		c.bind()
		c.relay.Metrics.retry()
		return true
	}
	c.refuse(brokenOff)
	return false
}
