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
	// unknownTime is how long a caller is taken to wait that does not tell.
	unknownTime = 2 * time.Second
	// returnSpread is by how much of the forecast the return of the last callers is
	// put off after that of the first, so that they are no herd.
	returnSpread = 0.5
)

// worthless is when being served from then on stops to count for the caller: it
// would leave, or its time would end, before it has what it needs.
func (c *carrier) worthless() time.Time {
	usual := c.relay.serving.of(c.call.Route.Name)
	var end time.Time
	if !c.call.Deadline.IsZero() {
		end = c.call.Deadline.Add(-usual.whole)
	}
	if c.call.Patience > 0 {
		leaves := c.call.Received.Add(c.call.Patience - usual.first)
		if end.IsZero() || leaves.Before(end) {
			end = leaves
		}
	}
	if end.IsZero() {
		return c.call.Received.Add(unknownTime)
	}
	return end
}

// beginUntil is how long a turn's reservation is waited for at most. A caller with
// less time than serving usually takes is served if it is granted at once.
func (c *carrier) beginUntil(now time.Time) time.Time {
	worthless := c.worthless()
	if worthless.After(now) || c.call.Deadline.IsZero() {
		return worthless
	}
	return c.call.Deadline
}

// decide forecasts the end of what holds the call up, and takes note of it for the
// line that tells what became of the call.
func (c *carrier) decide(kind admission.Kind, since, now time.Time) admission.Decision {
	c.heldUp = admission.HeldUpRequest{Kind: kind, Since: since, LatestStart: c.worthless()}
	c.forecast = c.relay.Admission.Decide(c.heldUp, now)
	return c.forecast
}

// decideTurn is decide for a turn that is not granted.
func (c *carrier) decideTurn(err error, started, now time.Time) admission.Decision {
	var heldUp *ledger.UnavailableError
	if errors.As(err, &heldUp) {
		return c.decide(heldUp.Kind, heldUp.Since, now)
	}
	kind := admission.ShardMoving
	if errors.Is(err, ledger.ErrStoreUnreachable) || errors.Is(err, errTooMuchWaits) {
		kind = admission.StoreUnavailable
	}
	return c.decide(kind, started, now)
}

// returnAfter is when a caller should come back that is refused now: when what held
// it up is over with even odds, the urgent first.
func (c *carrier) returnAfter() time.Duration {
	rank := (float64(c.urgency(nil)) + rand.Float64()) / (leastUrgency + 1)
	return time.Duration(float64(c.forecast.MedianRemaining) * (1 + returnSpread*rank))
}

// noteForecast counts what became of a call that was held up.
func (c *carrier) noteForecast(outcome string) {
	if !c.heldUp.Since.IsZero() {
		c.relay.Metrics.heldUp(c.heldUp.Kind, outcome)
	}
}

// waitForTurn waits before the reservation is tried again. False means that the
// turn is to be refused: its context ended, it is hardly served in time, or another
// daemon can serve it now.
func (c *carrier) waitForTurn(ctx context.Context, err error, started time.Time) bool {
	now := time.Now()
	decision := c.decideTurn(err, started, now)
	_, isolated := c.relay.monitor.isolatedSince()
	if isolated || !decision.ShouldWait(now) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(min(beginPause, decision.WaitUntil.Sub(now))):
		return true
	}
}
