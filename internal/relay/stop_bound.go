package relay

import "context"

// callerKey is under which a context that ends at the bound of a stop has its caller's.
type callerKey struct{}

// WithStopBound returns the context of a request that also ends, with ErrStopBound, once
// bound ends: that gives up whatever the daemon still tries for it. Only an answer that is
// whole and waits for its turn's record goes on to wait until ctx itself ends.
func WithShutdownDeadline(ctx, bound context.Context) (context.Context, context.CancelFunc) {
	bounded, end := context.WithCancelCause(context.WithValue(ctx, callerKey{}, ctx))
	unwatch := context.AfterFunc(bound, func() { end(ErrShutdownDeadline) })
	return bounded, func() {
		unwatch()
		end(nil)
	}
}

// callerOf returns the context that ends when the caller leaves or is cut off.
func callerOf(ctx context.Context) context.Context {
	if caller, isBounded := ctx.Value(callerKey{}).(context.Context); isBounded {
		return caller
	}
	return ctx
}
