package clock

import (
	"context"
	"time"
)

// Sleep waits on the machine's clock until a time has passed or ctx ends.
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
