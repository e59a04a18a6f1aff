package fanout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

const (
	// fallbackEpisodeGap is the time without a request for a fallback after which the next one
	// begins a new episode.
	fallbackEpisodeGap = 10 * time.Second
	// maxFallbackDelay is how long a read waits until its fallback is allowed.
	maxFallbackDelay = 150 * time.Millisecond
)

// fallback limits how often a daemon reads from the store although it has neighbours to ask. The
// zero value is ready. It is safe for concurrent use.
type fallback struct {
	mutex sync.Mutex
	// askedAt is when a read was last requested, and nextAt when the next is allowed.
	askedAt, nextAt time.Time
}

// await waits up to maxFallbackDelay until a read is allowed, and reports whether it is. Reads are an
// interval apart. The first of an episode is at a random time within one, so that daemons which lose
// their neighbours together do not read together.
func (l *fallback) await(ctx context.Context, interval time.Duration) bool {
	delay := l.reserve(interval, time.Now())
	if delay > maxFallbackDelay {
		return false
	}
	clock.Sleep(ctx, delay)
	return ctx.Err() == nil
}

// reserve returns how long it takes until a read is allowed. If that is at most maxFallbackDelay, the
// read is counted.
func (l *fallback) reserve(interval time.Duration, now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.askedAt) > fallbackEpisodeGap {
		l.nextAt = now.Add(time.Duration(rand.Float64() * float64(interval)))
	}
	l.askedAt = now
	delay := max(0, l.nextAt.Sub(now))
	if delay <= maxFallbackDelay {
		l.nextAt = now.Add(delay + interval)
	}
	return delay
}
