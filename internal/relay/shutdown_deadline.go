package relay

import (
	"context"
	"time"
)

// callerContextKey is the key under which WithShutdownDeadline stores the caller's own
// context.
type callerContextKey struct{}

// WithShutdownDeadline returns a request's context that is also canceled, with
// ErrShutdownDeadline, once deadline ends, which is at the daemon's shutdown deadline: all
// further attempts to serve the request are then abandoned. Only a complete answer that
// waits for its turn to be stored goes on waiting until ctx itself ends.
func WithShutdownDeadline(ctx, deadline context.Context) (context.Context, context.CancelFunc) {
	bounded, end := context.WithCancelCause(context.WithValue(ctx, callerContextKey{}, ctx))
	unwatch := context.AfterFunc(deadline, func() { end(ErrShutdownDeadline) })
	return bounded, func() {
		unwatch()
		end(nil)
	}
}

// callerContext returns the context that ends when the caller disconnects or the daemon
// closes its connection.
func callerContext(ctx context.Context) context.Context {
	if caller, isBounded := ctx.Value(callerContextKey{}).(context.Context); isBounded {
		return caller
	}
	return ctx
}

// shutdownServingFactor is how many times its usual serving time a call must have until the shutdown deadline to be
// offered to an instance: some calls take longer than usual, and none can be served after it.
const shutdownServingFactor = 2

// servingTimeBeforeShutdown returns the time until the shutdown deadline that a call needs to be offered.
func (c *callHandler) servingTimeBeforeShutdown() time.Duration {
	return shutdownServingFactor * c.relay.serving.average(c.call.Route.Name).total
}

// refuseBeforeShutdown refuses a call that has not run and that an instance would probably not answer by the
// shutdown deadline, so that its caller tries another daemon, and reports whether it did.
func (c *callHandler) refuseBeforeShutdown() bool {
	stopBy := c.relay.stopBy.Load()
	if stopBy == nil || c.mayHaveRun() {
		return false
	}
	end := time.Now().Add(c.servingTimeBeforeShutdown())
	if !c.call.Deadline.IsZero() && c.call.Deadline.Before(end) {
		end = c.call.Deadline
	}
	if end.Before(*stopBy) {
		return false
	}
	c.refuse(stoppingRefusal)
	return true
}
