package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// maxConcurrentPages bounds the pages of shards that a daemon reads at a time, and
	// maxConcurrentTextPages those of them that are texts no caller waits for. A page has
	// up to a megabyte, which alone takes a link of 30 Mbit/s 0.35 s, so more of them at a
	// time would delay each other on a slow link.
	maxConcurrentPages     = 3
	maxConcurrentTextPages = 1
)

// semaphore limits how many operations run at a time; nil means no limit.
type semaphore chan struct{}

// acquire waits for a slot. Meanwhile it regularly calls waiting, as a queued caller still
// makes progress.
func (s semaphore) acquire(ctx context.Context, waiting func()) (release func(), err error) {
	return s.acquireUnless(ctx, nil, waiting)
}

// acquireUnless is acquire, but returns without a slot once urgent is closed.
func (s semaphore) acquireUnless(ctx context.Context, urgent <-chan struct{}, waiting func()) (release func(), err error) {
	if s == nil || isClosed(urgent) {
		return func() {}, nil
	}
	ticker := time.NewTicker(pendingTimeout / 3)
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
