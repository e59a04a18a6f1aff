package relay

import "context"

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
