package relay

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// newTurnShare is the fraction of the record memory that may be in use when a new turn is
// begun. The rest is for the turns in progress, whose finished answers would otherwise have
// to be broken off.
const newTurnShare = 0.5

// errRecordMemoryFull is returned if the turns that wait to be stored fill the memory for
// records.
var errRecordMemoryFull = eris.New("relay: too many finished turns wait to be stored")

// recordMemory bounds the text of finished turns that wait to be stored. The turns that the
// ledger is storing take up to a limit, or a single turn more than that, which could never
// be stored otherwise. Further turns queue for memory first in, first out, so that a long
// one is not starved, and take up to the same limit again, or a single one more. Turns
// beyond that are rejected. A limit of 0 means no limit. It is safe for concurrent use, and
// the zero value is ready to use.
type recordMemory struct {
	mutex sync.Mutex
	// held is the number of bytes that the ledger is storing, and queued the number that
	// wait for memory.
	held, queued int64
	// queue holds the waiting turns, oldest first.
	queue []*memoryRequest
}

// memoryRequest is a turn's request for memory.
type memoryRequest struct {
	bytes int64
	// granted is closed once the memory is granted.
	granted chan struct{}
}

// acquire acquires memory for a turn, and waits for it until ctx ends. If it returns nil,
// the memory must be released.
func (r *recordMemory) acquire(ctx context.Context, bytes, limit int64) error {
	request, admitted := r.enqueue(bytes, limit)
	if !admitted {
		return errRecordMemoryFull
	}
	select {
	case <-request.granted:
		return nil
	case <-ctx.Done():
	}
	if r.withdraw(request, limit) {
		return errRecordMemoryFull
	}
	return nil // granted while ctx ended
}

// enqueue queues a request for memory. It returns false if the queue is full.
func (r *recordMemory) enqueue(bytes, limit int64) (*memoryRequest, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if limit > 0 && len(r.queue) > 0 && r.queued+bytes > limit {
		return nil, false
	}
	request := &memoryRequest{bytes: bytes, granted: make(chan struct{})}
	r.queue = append(r.queue, request)
	r.queued += bytes
	r.grant(limit)
	return request, true
}

// withdraw removes a request from the queue. It returns false if the memory was granted
// already.
func (r *recordMemory) withdraw(request *memoryRequest, limit int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	place := slices.Index(r.queue, request)
	if place < 0 {
		return false
	}
	r.queue = slices.Delete(r.queue, place, place+1)
	r.queued -= request.bytes
	r.grant(limit) // the requests behind it may be smaller
	return true
}

// release releases the memory of a turn.
func (r *recordMemory) release(bytes, limit int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.held -= bytes
	r.grant(limit)
}

// grant grants memory to the first requests of the queue. The mutex must be held.
func (r *recordMemory) grant(limit int64) {
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

// isNearlyFull reports whether the memory in use exceeds the share for beginning new turns.
func (r *recordMemory) isNearlyFull(limit int64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return limit > 0 && r.held+r.queued > int64(newTurnShare*float64(limit))
}
