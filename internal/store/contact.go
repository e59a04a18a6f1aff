package store

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// errReturned: a call was broken off to be made anew, because the store answers
// again or somebody asked for it.
var errReturned = eris.New("store: the call was broken off to be made anew")

// Contact tells a store's users when it is worth trying again. It is safe for
// concurrent use.
type Contact interface {
	// Returned returns a channel that is closed when the store answers again
	// after it did not, or is said to.
	Returned() <-chan struct{}
	// IsIsolated tells whether this daemon reaches neither the store nor another
	// daemon that could make its calls: then others had better do its work.
	IsIsolated() bool
}

// NoContact is the Contact of a store of which nothing is known.
type NoContact struct{}

// Returned implements Contact.
func (NoContact) Returned() <-chan struct{} { return nil }

// IsIsolated implements Contact.
func (NoContact) IsIsolated() bool { return false }

// UntilReturned returns a context that also ends when the store answers again:
// a call that hangs since before is then made anew. The caller must call stop.
func UntilReturned(ctx context.Context, contact Contact) (until context.Context, stop context.CancelFunc) {
	return untilSignal(ctx, contact.Returned(), nil)
}

// untilSignal returns a context that also ends with one of two signals, of which
// either may be nil.
func untilSignal(ctx context.Context, first, second <-chan struct{}) (until context.Context, stop context.CancelFunc) {
	if first == nil && second == nil {
		return ctx, func() {}
	}
	until, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-first:
		case <-second:
		case <-until.Done():
			return
		}
		cancel(errReturned)
	}()
	return until, func() { cancel(nil) }
}

// brokenOff is the error of a call that failed: errReturned if UntilReturned
// ended it.
func brokenOff(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errReturned) {
		return errReturned
	}
	return err
}
