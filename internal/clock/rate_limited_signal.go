package clock

import (
	"sync"
	"time"
)

// RateLimitedSignal wakes one receiver on behalf of many senders, at most once
// per interval. Signals that are sent while one is pending are merged with it.
// It is safe for concurrent use.
type RateLimitedSignal struct {
	interval time.Duration
	mutex    sync.Mutex
	sentAt   time.Time
	channel  chan struct{}
}

// NewRateLimitedSignal returns a signal that is sent at most once per interval;
// an interval of 0 disables the limit.
func NewRateLimitedSignal(interval time.Duration) *RateLimitedSignal {
	return &RateLimitedSignal{interval: interval, channel: make(chan struct{}, 1)}
}

// Send sends the signal, unless the previous one was sent less than the
// interval ago.
func (s *RateLimitedSignal) Send(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.sentAt.IsZero() && now.Sub(s.sentAt) < s.interval {
		return
	}
	s.sentAt = now
	select {
	case s.channel <- struct{}{}:
	default: // the previous signal is still pending
	}
}

// C returns the channel on which signals are received.
func (s *RateLimitedSignal) C() <-chan struct{} { return s.channel }
