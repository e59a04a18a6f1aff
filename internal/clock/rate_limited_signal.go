package clock

import (
	"sync"
	"time"
)

// RateLimitedSignal asks one receiver to do something soon, however many want it: at most once in a
// pause, and not again before the receiver has taken the last signal. It is safe for concurrent
// use.
type RateLimitedSignal struct {
	pause   time.Duration
	mutex   sync.Mutex
	askedAt time.Time
	asked   chan struct{}
}

// NewRateLimitedSignal returns a signal that is given once in a pause at most; 0 sets no pause.
func NewRateLimitedSignal(pause time.Duration) *RateLimitedSignal {
	return &RateLimitedSignal{pause: pause, asked: make(chan struct{}, 1)}
}

// Send gives the signal, unless it was given less than the pause ago.
func (s *RateLimitedSignal) Send(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.askedAt.IsZero() && now.Sub(s.askedAt) < s.pause {
		return
	}
	s.askedAt = now
	select {
	case s.asked <- struct{}{}:
	default: // the last one was not taken yet
	}
}

// C is the channel of the receiver.
func (s *RateLimitedSignal) C() <-chan struct{} { return s.asked }
