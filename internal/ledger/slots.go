package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// pagesAtOnce bounds the pages of shards that a daemon reads at a time, and
	// historiesAtOnce those of them that are texts nobody waits for yet: a page is up to
	// a megabyte, and takes the smallest machines (30 Mbit/s) 0.35 s if it comes alone.
	pagesAtOnce     = 3
	historiesAtOnce = 1
)

// slots bound what is done at a time; nil for no bound.
type slots chan struct{}

// take waits for a slot, and calls waiting now and then meanwhile: who asked for it is
// in a queue that gets on.
func (s slots) take(ctx context.Context, waiting func()) (release func(), err error) {
	return s.takeUnless(ctx, nil, waiting)
}

// takeUnless is take that needs no slot once urgent is closed.
func (s slots) takeUnless(ctx context.Context, urgent <-chan struct{}, waiting func()) (release func(), err error) {
	if s == nil || isClosed(urgent) {
		return func() {}, nil
	}
	ticker := time.NewTicker(answerWithin / 3)
	defer ticker.Stop()
	for {
		select {
		case s <- struct{}{}:
			return func() { <-s }, nil
		case <-urgent:
			return func() {}, nil
		case <-ticker.C:
			waiting()
		case <-ctx.Done():
			return nil, errors.Join(store.ErrUnavailable, ctx.Err())
		}
	}
}
