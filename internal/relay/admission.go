package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/ledger"
)

const (
	// defaultPatience is how long a caller without deadline and patience is assumed to
	// wait.
	defaultPatience = 2 * time.Second
	// retryAfterSpread spreads Retry-After over this fraction of the forecast, so that
	// callers do not all come back at once.
	retryAfterSpread = 0.5
)

// latestStart returns the latest time at which serving the call can start and still be of
// use: later, the caller would leave or its deadline would pass before it has the answer.
func (c *callHandler) latestStart() time.Time {
	usual := c.relay.serving.average(c.call.Route.Name)
	var end time.Time
	if !c.call.Deadline.IsZero() {
		end = c.call.Deadline.Add(-usual.total)
	}
	if c.call.Patience > 0 {
		leaves := c.call.Received.Add(c.call.Patience - usual.untilFirst)
		if end.IsZero() || leaves.Before(end) {
			end = leaves
		}
	}
	if end.IsZero() {
		end = c.call.Received.Add(defaultPatience)
	}
	if stopBy := c.relay.stopBy.Load(); stopBy != nil {
		if latest := stopBy.Add(-c.servingTimeBeforeShutdown()); latest.Before(end) {
			end = latest
		}
	}
	return end
}

// beginDeadline bounds the wait for a turn's reservation. A caller with less time left than
// serving usually takes is still served if the reservation is granted at once.
func (c *callHandler) beginDeadline(now time.Time) time.Time {
	latestStart := c.latestStart()
	if latestStart.After(now) || c.call.Deadline.IsZero() {
		return latestStart
	}
	return c.call.Deadline
}

// decide forecasts when the condition that holds the call up ends, and keeps the forecast
// for the call's log line and Retry-After.
func (c *callHandler) decide(kind admission.Kind, since, now time.Time) admission.Decision {
	c.heldUp = admission.HeldUpRequest{Kind: kind, Since: since, LatestStart: c.latestStart()}
	c.forecast = c.relay.Admission.Decide(c.heldUp, now)
	return c.forecast
}

// decideTurn is decide for a turn whose reservation failed with err.
func (c *callHandler) decideTurn(err error, started, now time.Time) admission.Decision {
	var heldUp *ledger.UnavailableError
	if errors.As(err, &heldUp) {
		return c.decide(heldUp.Kind, heldUp.Since, now)
	}
	kind := admission.ShardMoving
	if errors.Is(err, ledger.ErrStoreUnreachable) || errors.Is(err, errRecordMemoryFull) {
		kind = admission.StoreUnavailable
	}
	return c.decide(kind, started, now)
}

// retryAfter returns when a refused caller should come back: after the median remaining
// duration of the condition, urgent calls first.
func (c *callHandler) retryAfter() time.Duration {
	rank := (float64(c.urgency(nil)) + rand.Float64()) / (lowestUrgency + 1)
	return time.Duration(float64(c.forecast.MedianRemaining) * (1 + retryAfterSpread*rank))
}

// countHeldUp counts the outcome of a call that was held up.
func (c *callHandler) countHeldUp(outcome string) {
	if !c.heldUp.Since.IsZero() {
		c.relay.Metrics.heldUp(c.heldUp.Kind, outcome)
	}
}

// waitForTurn waits before the next attempt to reserve the turn. It returns false if the
// turn is to be refused: its context ended, it is unlikely to be served in time, or other
// daemons can serve it now.
func (c *callHandler) waitForTurn(ctx context.Context, err error, started time.Time) bool {
	now := time.Now()
	decision := c.decideTurn(err, started, now)
	_, isolated := c.relay.monitor.isolatedSince()
	if isolated || !decision.ShouldWait(now) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(min(beginRetryPause, decision.WaitUntil.Sub(now))):
		return true
	}
}
