package relay

import (
	"context"
	"errors"
	"slices"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/poison"
)

// Calls under whose content back ends ended: see package poison.

// endsBackEndsRefusal ends a call under whose content as many back ends ended as are allowed. Retrying
// would not help.
var endsBackEndsRefusal = Refusal{Reason: ReasonEndsBackEnds, Detail: "Back ends ended each time they ran this content."}

// newTracker returns the call's use of the guard. body is what back ends get.
func (c *callHandler) newTracker(body []byte) *poison.Tracker {
	return c.relay.ContentGuard.NewTracker(
		poison.Content{Method: c.call.Method, Host: c.call.Host, Target: c.call.Target, Model: c.call.Model, Body: body},
		poison.About{Request: c.call.ID, Route: c.call.Route.Name, Tenant: c.call.tenantName()},
	)
}

// admitContent waits until the call's content may be sent to an instance, and reports whether it may.
// If not, the call was ended.
func (c *callHandler) admitContent(ctx context.Context, body []byte) bool {
	if c.relay.ContentGuard == nil {
		return true
	}
	if c.tracker == nil {
		c.tracker = c.newTracker(body)
	}
	err := c.tracker.Admit(ctx, c.previewInstance)
	switch {
	case err == nil:
		return true
	case errors.Is(err, poison.ErrLimitReached):
		c.refuse(endsBackEndsRefusal)
	case errors.Is(err, poison.ErrUnconfirmed):
		c.refuse(Refusal{
			Reason: ReasonEndsUnconfirmed, RetryAfter: c.retryAfter(),
			Detail: "Back ends ended under this content, and the store does not tell whether it may be sent again.",
		})
	default:
		c.refuseEnded(ctx)
	}
	return false
}

// previewInstance returns the instance that the call would get now, "" for none.
func (c *callHandler) previewInstance() string {
	preview, _, _ := c.relay.Pool.Preview(c.query())
	return preview.ID
}

// takeInstance chooses the instance for the call. A suspected content gets one without other suspected
// contents if there is one.
func (c *callHandler) takeInstance() (instance.Instance, bool) {
	query := c.query()
	if avoided := c.tracker.Avoid(); len(avoided) > 0 && query.Only == "" {
		apart := query
		apart.Excluded = slices.Concat(query.Excluded, avoided)
		if target, found := c.relay.Pool.Take(apart); found {
			return target, true
		}
	}
	return c.relay.Pool.Take(query)
}

// recordEnd records that an instance ended while it ran the call, and reserves the next send of the
// content if the call may run again.
func (c *callHandler) recordEnd(ctx context.Context, target instance.Instance) {
	if c.tracker == nil {
		return
	}
	var next func() string
	if c.hasRunsLeft() {
		next = c.previewInstance
	}
	c.tracker.Ended(ctx, target.ID, next)
}
