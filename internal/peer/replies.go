package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Replies matches answers from other daemons to the requests that wait for them, by the number of
// the request. The zero value is ready to use. It is safe for concurrent use.
type Replies[R any] struct {
	last    atomic.Uint64
	mutex   sync.Mutex
	waiting map[uint64]chan R
}

// Expect returns a unique number for a request, and a channel that receives its answers. The
// channel buffers up to capacity answers; further ones are dropped. The caller must call forget
// when it no longer waits.
func (r *Replies[R]) Expect(capacity int) (number uint64, answers <-chan R, forget func()) {
	number = r.last.Add(1)
	channel := make(chan R, capacity)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting == nil {
		r.waiting = map[uint64]chan R{}
	}
	r.waiting[number] = channel
	return number, channel, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.waiting, number)
	}
}

// Deliver passes an answer to the waiting request. It never blocks: an answer that nobody waits for
// is dropped.
func (r *Replies[R]) Deliver(number uint64, answer R) {
	r.mutex.Lock()
	answers := r.waiting[number]
	r.mutex.Unlock()
	select {
	case answers <- answer:
	default:
	}
}

// Ask sends a request with a unique number by calling send, and waits for the first answer until
// patience has passed or ctx has ended. arrived reports whether there was one. It uses the system
// clock, so it is not for code that uses a clock.Clock.
func (r *Replies[R]) Ask(ctx context.Context, patience time.Duration, send func(number uint64)) (answer R, arrived bool) {
	number, answers, forget := r.Expect(1)
	defer forget()
	send(number)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return answer, false
}
