package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/poison"
)

// backEndState is what became of a back end whose run of a call broke off.
type backEndState string

const (
	// backEndAlive: it accepts connections, so only the run or its connection broke.
	backEndAlive backEndState = "alive"
	// backEndEnded: it refuses connections, or a later run has its address.
	backEndEnded backEndState = "ended"
	// backEndUnreachable: connecting fails without a refusal. It may have ended silently.
	backEndUnreachable backEndState = "unreachable"
	// backEndCutOff: it is in a zone that this daemon does not reach.
	backEndCutOff backEndState = "cut_off"
)

// stateAfterBreak finds out what became of an instance whose run broke off, by connecting to it.
// A connection that is opened is kept for the next request.
func (r *Relay) stateAfterBreak(target instance.Instance, wasGivenUp bool) backEndState {
	switch {
	case r.Pool.IsReplaced(target):
		return backEndEnded
	case r.monitor.isCutOff(target.Zone):
		return backEndCutOff
	case wasGivenUp:
		return backEndUnreachable
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := r.Driver.Connect(ctx, target, 0)
	switch {
	case err == nil:
		return backEndAlive
	case errors.Is(err, httpconn.ErrRefused):
		return backEndEnded
	case r.monitor.isCutOff(target.Zone):
		return backEndCutOff
	}
	return backEndUnreachable
}

// content returns what the call asks a back end to do, with the body that the latest one got.
func (c *callHandler) content() poison.Content {
	return poison.Content{Method: c.call.Method, Host: c.call.Host, Target: c.call.Target, Model: c.call.Model, Body: c.latest.body}
}

// examineBrokenRun finds out in the background what became of the instance whose run of the call
// broke off, and logs and counts it.
func (c *callHandler) examineBrokenRun(target instance.Instance) {
	wasGivenUp, ranFor := c.wasGivenUp(), time.Since(c.latest.beganAt)
	content, runs := c.content(), c.runs
	go func() {
		state := c.relay.stateAfterBreak(target, wasGivenUp)
		c.relay.Metrics.runBroke(state)
		c.logger.Info().Str("instance", target.ID).Str("back_end", string(state)).Str("content", string(content.Digest())).
			Dur("ran_for", ranFor).Int("runs", runs).Msg("Run broke off.")
	}()
}

// examineIfSilent is examineBrokenRun for a run that this side ended, if its instance was silent
// for long.
func (c *callHandler) examineIfSilent(target instance.Instance) {
	if c.canceledOutcome() == instance.OutcomeTimeout {
		c.examineBrokenRun(target)
	}
}
