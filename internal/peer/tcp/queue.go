package tcp

import (
	"bytes"
	"sync"
)

const (
	// queueLength is the maximum number of messages queued for one daemon.
	queueLength = 8192
	// maxIdleQueue is the maximum number of places that an empty queue keeps for later messages.
	maxIdleQueue = 16
)

// messageQueue is a bounded queue of encoded messages for one daemon. Its memory follows the number
// of messages that wait, since a daemon may have a queue for every other daemon, and most are empty.
// It is safe for concurrent use by any number of senders and one receiver.
type messageQueue struct {
	mutex sync.Mutex
	// lines[next:] are the messages that wait.
	lines []*bytes.Buffer
	next  int
	// added receives a value after a message was added to the empty queue.
	added chan struct{}
}

func newMessageQueue() *messageQueue { return &messageQueue{added: make(chan struct{}, 1)} }

// push adds a message; false if the queue is full.
func (q *messageQueue) push(line *bytes.Buffer) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.lines)-q.next >= queueLength {
		return false
	}
	if q.next > 0 && len(q.lines) == cap(q.lines) {
		q.compact()
	}
	q.lines = append(q.lines, line)
	select {
	case q.added <- struct{}{}:
	default:
	}
	return true
}

// compact moves the waiting messages to the start of lines.
func (q *messageQueue) compact() {
	waiting := copy(q.lines, q.lines[q.next:])
	clear(q.lines[waiting:])
	q.lines, q.next = q.lines[:waiting], 0
}

// pop removes the oldest message; false if there is none.
func (q *messageQueue) pop() (line *bytes.Buffer, found bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.next == len(q.lines) {
		return nil, false
	}
	line = q.lines[q.next]
	q.lines[q.next] = nil
	q.next++
	if q.next == len(q.lines) {
		q.reset()
	}
	return line, true
}

// reset empties the list of lines, and frees it if it is large.
func (q *messageQueue) reset() {
	q.next = 0
	q.lines = q.lines[:0]
	if cap(q.lines) > maxIdleQueue {
		q.lines = nil
	}
}

// discard drops all messages that wait.
func (q *messageQueue) discard() {
	for line, found := q.pop(); found; line, found = q.pop() {
		recycle(line)
	}
}

// isEmpty reports whether no message waits.
func (q *messageQueue) isEmpty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.next == len(q.lines)
}
