package clock

import (
	"context"
	"sync"
	"time"
)

// Sleep blocks on the machine's clock for the given length or until ctx ends.
func Sleep(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// WaitFor blocks until the group is done or ctx ends.
func WaitFor(ctx context.Context, group *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
