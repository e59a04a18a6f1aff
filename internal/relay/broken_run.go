package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

// backEndState is what became of a back end whose run of a call broke off.
type backEndState string

const (
	// backEndAlive: it accepts connections, so only the run or its connection broke.
	backEndAlive backEndState = "alive"
	// backEndEnded: it refuses connections, or a later run has its address.
	backEndEnded backEndState = "ended"
	// backEndUnreachable: it was silent, or connecting fails without a refusal. It may have ended
	// silently, and started again since.
	backEndUnreachable backEndState = "unreachable"
	// backEndCutOff: it is in a zone that this daemon does not reach.
	backEndCutOff backEndState = "cut_off"
)

// mayHaveEnded reports whether the back end may have ended under the run.
func (s backEndState) mayHaveEnded() bool { return s == backEndEnded || s == backEndUnreachable }

// brokenRun is a run of a call that broke off.
type brokenRun struct {
	target instance.Instance
	// wasSilent: nothing had come for long, or the run was given up as its back end was presumed
	// unreachable.
	wasSilent bool
	ranFor    time.Duration
}

// brokenRunAt returns the latest run, which was at an instance.
func (c *callHandler) brokenRunAt(target instance.Instance) brokenRun {
	return brokenRun{
		target: target, ranFor: time.Since(c.latest.beganAt),
		wasSilent: c.wasGivenUp() || time.Since(c.latest.heardAt) >= silentThreshold,
	}
}

// stateAfterBreak finds out what became of the instance whose run broke off. Unless that is known,
// it connects to the instance; a connection that is opened is kept for the next request.
func (r *Relay) stateAfterBreak(broken brokenRun) backEndState {
	switch {
	case r.Pool.IsReplaced(broken.target):
		return backEndEnded
	case r.monitor.isCutOff(broken.target.Zone):
		return backEndCutOff
	case broken.wasSilent:
		return backEndUnreachable
	}
	return r.connectAfterBreak(broken.target)
}

// connectAfterBreak returns the state of an instance by connecting to it. A process that ends may still
// accept connections for a moment, but closes them with the others.
func (r *Relay) connectAfterBreak(target instance.Instance) backEndState {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := r.Driver.ConnectToLiving(ctx, target)
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

// noteBrokenRun finds out what became of the instance whose run of the call broke off. If that may
// have ended, it records so before the content is sent again or the caller is told.
func (c *callHandler) noteBrokenRun(ctx context.Context, target instance.Instance) {
	broken := c.brokenRunAt(target)
	state := c.relay.stateAfterBreak(broken)
	c.relay.logBrokenRun(c.logger, broken, state)
	if state.mayHaveEnded() {
		c.recordEnd(ctx, target)
	}
}

// noteCanceledRun is noteBrokenRun for a run that this side ended, because its caller left or the time
// was over. An instance that was silent may have ended; others are watched, as they may end yet.
func (c *callHandler) noteCanceledRun(ctx context.Context, target instance.Instance) {
	if c.tracker == nil {
		return
	}
	broken := c.brokenRunAt(target)
	switch {
	case !broken.wasSilent:
		c.relay.canceled.add(c.canceledRun(broken))
	case c.relay.monitor.isCutOff(target.Zone):
		c.relay.logBrokenRun(c.logger, broken, backEndCutOff)
	case c.relay.monitor.hasFailedProbes(target.ID):
		c.relay.logBrokenRun(c.logger, broken, backEndUnreachable)
		c.tracker.Ended(ctx, target.ID, nil)
	default:
		c.relay.canceled.examine(c.canceledRun(broken))
	}
}

func (r *Relay) logBrokenRun(logger zerolog.Logger, broken brokenRun, state backEndState) {
	r.Metrics.runBroke(state)
	logger.Info().Str("instance", broken.target.ID).Str("back_end", string(state)).Dur("ran_for", broken.ranFor).Msg("Run broke off.")
}
