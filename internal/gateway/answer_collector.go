package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// deadlineGrace is how long after its deadline a call's outcome is awaited: the
// shard's leader refuses by itself the calls that it has not sent by then.
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
func (f *answerCollector) Chunks(chunks []structs.Chunk) {
	if f.limit == 0 {
		return
	}
	f.mutex.Lock()
	for _, chunk := range chunks {
		f.add(chunk)
	}
	f.mutex.Unlock()
	f.signal()
}

// add buffers a chunk. A single chunk may exceed the limit, as when the whole answer
// is read from a record.
func (f *answerCollector) add(chunk structs.Chunk) {
	if f.overflowed {
		return
	}
	if len(f.text) > 0 && len(f.text)+len(chunk.Text) > f.limit {
		f.overflowed = true
		return
	}
	if len(f.text) == 0 {
		f.offset = chunk.Offset
	}
	f.text = append(f.text, chunk.Text...)
}

// Outcome implements submit.Caller.
func (f *answerCollector) Outcome(outcome structs.Outcome) {
	f.mutex.Lock()
	f.outcome = &outcome
	f.mutex.Unlock()
	f.signal()
}

// callerLeft and deadlinePassed set a flag and wake the handler. This is cheaper than
// a select over three channels for each token.
func (f *answerCollector) callerLeft() {
	f.mutex.Lock()
	f.callerGone = true
	f.mutex.Unlock()
	f.signal()
}

func (f *answerCollector) deadlinePassed() {
	f.mutex.Lock()
	f.deadlineExceeded = true
	f.mutex.Unlock()
	f.signal()
}

func (f *answerCollector) signal() {
	select {
	case f.changed <- struct{}{}:
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
func (f *answerCollector) take(used []byte) answerUpdate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	taken := answerUpdate{text: f.text, offset: f.offset, overflowed: f.overflowed, outcome: f.outcome, callerGone: f.callerGone, deadlineExceeded: f.deadlineExceeded}
	f.text = used[:0]
	return taken
}

// follow submits a call and passes updates to each, until the outcome arrived or each
// returns false. When the caller disconnects, a call with a request identifier of the
// caller's goes on, since it can be resumed; any other call is cancelled.
func (e *exchange) follow(limit int, each func(answerUpdate) bool) {
	f := newAnswerCollector(limit)
	submission := e.gateway.Node.Submit(*e.call, f)
	timer := time.AfterFunc(time.Until(e.call.Deadline)+deadlineGrace, f.deadlinePassed)
	defer timer.Stop()
	stop := context.AfterFunc(e.r.Context(), f.callerLeft)
	defer stop()
	var used []byte
	for {
		<-f.changed
		taken := f.take(used)
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
		Message: "The deadline passed while the call was in progress. Query its outcome by the same request identifier.",
	}
}
