package relay

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// crowdedShare is the part of the memory for records from which no further turns are begun:
// the rest is for those under way, whose answers could only be broken off.
const crowdedShare = 0.5

// errTooMuchWaits: the turns that wait for their record fill the memory that is
// meant for them.
var errTooMuchWaits = eris.New("relay: too much waits for its record")

// recordRoom bounds the text of turns that are ready and wait for their record. Turns whose
// text is with the ledger take up to a limit, or one alone more than that: it could never be
// recorded otherwise. The others wait for room in order, so that a long one comes to its turn,
// and take up to the same limit again, or one alone more than that. What is beyond is turned
// away. A limit of 0 is none. It is safe for concurrent use, and the zero value is ready.
type recordRoom struct {
	mutex sync.Mutex
	// held are the bytes that are with the ledger, and queued those that wait for room.
	held, queued int64
	// queue are the turns that wait for room, the first one first.
	queue []*roomRequest
}

// roomRequest is a turn that asks for room.
type roomRequest struct {
	bytes int64
	// granted is closed once it has it.
	granted chan struct{}
}

// acquire takes room for a turn, and waits for it until ctx ends. After no error the room
// must be released.
func (r *recordRoom) acquire(ctx context.Context, bytes, limit int64) error {
	request, admitted := r.enqueue(bytes, limit)
	if !admitted {
		return errTooMuchWaits
	}
	select {
	case <-request.granted:
		return nil
	case <-ctx.Done():
	}
	if r.withdraw(request, limit) {
		return errTooMuchWaits
	}
	return nil // it was granted in this moment
}

// enqueue lets a turn ask for room, false if too much waits for that already.
func (r *recordRoom) enqueue(bytes, limit int64) (*roomRequest, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if limit > 0 && len(r.queue) > 0 && r.queued+bytes > limit {
		return nil, false
	}
	request := &roomRequest{bytes: bytes, granted: make(chan struct{})}
	r.queue = append(r.queue, request)
	r.queued += bytes
	r.grant(limit)
	return request, true
}

// withdraw takes a turn that waits for room back, false if it has it.
func (r *recordRoom) withdraw(request *roomRequest, limit int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	place := slices.Index(r.queue, request)
	if place < 0 {
		return false
	}
	r.queue = slices.Delete(r.queue, place, place+1)
	r.queued -= request.bytes
	r.grant(limit) // those behind it may be shorter
	return true
}

// release gives the room of a turn back.
func (r *recordRoom) release(bytes, limit int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.held -= bytes
	r.grant(limit)
}

// grant gives room to the first turns that wait for it. The mutex must be held.
func (r *recordRoom) grant(limit int64) {
	for len(r.queue) > 0 {
		first := r.queue[0]
		if limit > 0 && r.held > 0 && r.held+first.bytes > limit {
			return
		}
		r.queue = slices.Delete(r.queue, 0, 1)
		r.queued -= first.bytes
		r.held += first.bytes
		close(first.granted)
	}
}

// isCrowded tells whether what waits has come close to a limit.
func (r *recordRoom) isCrowded(limit int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return limit > 0 && r.held+r.queued > int64(crowdedShare*float64(limit))
}
