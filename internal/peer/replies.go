package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Replies hands answers that arrive from other daemons to who waits for them,
// by the number of the request. The zero value is ready; it is safe for
// concurrent use.
type Replies[R any] struct {
	last    atomic.Uint64
	mutex   sync.Mutex
	waiting map[uint64]chan R
}

// Expect returns a number for a request that no other has, and a channel that
// gets its answers: up to capacity that were not taken yet, later ones are
// dropped. The caller must call forget once it waits no longer.
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

// Deliver hands an answer over. It never blocks: one that nobody waits for any
// more is dropped.
func (r *Replies[R]) Deliver(number uint64, answer R) {
	r.mutex.Lock()
	answers := r.waiting[number]
	r.mutex.Unlock()
	select {
	case answers <- answer:
	default:
	}
}

// Ask has a request sent under a number of its own, and waits for its first answer. It returns
// false if none came within the patience or before ctx ended. It waits by the process's own time:
// it is not for code that takes time from a clock.Clock.
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
