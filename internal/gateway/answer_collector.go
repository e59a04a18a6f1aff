package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// deadlineGrace is how long a call's outcome is awaited after its deadline: the
// shard's leader refuses a call that it has not dispatched by its deadline.
const deadlineGrace = 2 * time.Second

// answerCollector collects an answer for an HTTP handler. It implements submit.Caller,
// never blocks, and buffers a limited amount of text.
type answerCollector struct {
	// limit bounds the buffered text in bytes; 0 buffers none.
	limit   int
	changed chan struct{}

	mutex sync.Mutex
	// text is the answer text received and not taken yet, from answer byte offset on.
	text   []byte
	offset int64
	// overflowed is set once text had to be dropped; no more is buffered then.
	overflowed bool
	outcome    *structs.Outcome
	// callerGone is set once the caller has disconnected, deadlineExceeded once the
	// deadline and its grace have passed.
	callerGone, deadlineExceeded bool
}

func newAnswerCollector(limit int) *answerCollector {
	return &answerCollector{limit: limit, changed: make(chan struct{}, 1)}
}

// Chunks implements submit.Caller. The chunks are contiguous.
func (c *answerCollector) Chunks(chunks []structs.Chunk) {
	if c.limit == 0 {
		return
	}
	c.mutex.Lock()
	for _, chunk := range chunks {
		c.add(chunk)
	}
	c.mutex.Unlock()
	c.signal()
}

// add buffers a chunk. A single chunk may exceed the limit, as when the whole answer
// is read from a record.
func (c *answerCollector) add(chunk structs.Chunk) {
	if c.overflowed {
		return
	}
	if len(c.text) > 0 && len(c.text)+len(chunk.Text) > c.limit {
		c.overflowed = true
		return
	}
	if len(c.text) == 0 {
		c.offset = chunk.Offset
	}
	c.text = append(c.text, chunk.Text...)
}

// Outcome implements submit.Caller.
func (c *answerCollector) Outcome(outcome structs.Outcome) {
	c.mutex.Lock()
	c.outcome = &outcome
	c.mutex.Unlock()
	c.signal()
}

// callerLeft and deadlinePassed set a flag and wake the handler. This is cheaper than
// a select over three channels for each token.
func (c *answerCollector) callerLeft() {
	c.mutex.Lock()
	c.callerGone = true
	c.mutex.Unlock()
	c.signal()
}

func (c *answerCollector) deadlinePassed() {
	c.mutex.Lock()
	c.deadlineExceeded = true
	c.mutex.Unlock()
	c.signal()
}

func (c *answerCollector) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// answerUpdate is what arrived since the last call of take.
type answerUpdate struct {
	text                         []byte
	offset                       int64
	overflowed                   bool
	outcome                      *structs.Outcome
	callerGone, deadlineExceeded bool
}

// take returns what arrived since the last call. used is a buffer that is no longer
// needed, for the next text.
func (c *answerCollector) take(used []byte) answerUpdate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	taken := answerUpdate{text: c.text, offset: c.offset, overflowed: c.overflowed, outcome: c.outcome, callerGone: c.callerGone, deadlineExceeded: c.deadlineExceeded}
	c.text = used[:0]
	return taken
}

// follow submits a call and passes updates to each, until the outcome has arrived, the
// deadline and its grace have passed, or each returns false. When the caller
// disconnects, a call whose request identifier the caller has set goes on, since it can
// be resumed; any other call is cancelled.
func (e *exchange) follow(limit int, each func(answerUpdate) bool) {
	c := newAnswerCollector(limit)
	submission := e.gateway.Node.Submit(*e.call, c)
	timer := time.AfterFunc(time.Until(e.call.Deadline)+deadlineGrace, c.deadlinePassed)
	defer timer.Stop()
	stop := context.AfterFunc(e.r.Context(), c.callerLeft)
	defer stop()
	var used []byte
	for {
		<-c.changed
		taken := c.take(used)
		if taken.outcome == nil && (taken.callerGone || taken.deadlineExceeded) {
			e.detach(submission)
			if !taken.callerGone {
				outcome := deadlineOutcome()
				taken.outcome = &outcome
				each(taken)
			}
			return
		}
		if !each(taken) {
			if taken.outcome == nil {
				e.detach(submission)
			}
			return
		}
		if taken.outcome != nil {
			return
		}
		used = taken.text
	}
}

func (e *exchange) detach(submission *submit.Submission) {
	e.detached = true
	if e.hasRequestID {
		submission.Detach()
		return
	}
	submission.Cancel()
}

func deadlineOutcome() structs.Outcome {
	return structs.Outcome{
		Status:  structs.OutcomeUnknown,
		Reason:  structs.ReasonDeadline,
		Message: "The deadline passed while the call was under way. Ask for its outcome by the same request identifier.",
	}
}
