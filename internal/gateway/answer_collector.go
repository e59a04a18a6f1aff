package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// deadlineGrace is how long after its deadline a call's outcome is waited for:
// the fleet refuses by itself what it has not sent by then.
const deadlineGrace = 2 * time.Second

// follower collects an answer for an HTTP handler. It implements submit.Caller
// without ever blocking the node, and keeps no more than its limit of text.
type answerCollector struct {
	// limit bounds the text kept in bytes; 0 keeps none.
	limit   int
	changed chan struct{}

	mutex sync.Mutex
	// text is what came and was not taken yet; its first byte is answer byte
	// offset.
	text   []byte
	offset int64
	// overflowed is set once text had to be dropped; nothing is kept from then.
	overflowed bool
	outcome    *structs.Outcome
	// left is set once the caller has gone, late once the deadline and its
	// grace have passed.
	callerGone, deadlineExceeded bool
}

func newAnswerCollector(limit int) *answerCollector {
	return &answerCollector{limit: limit, changed: make(chan struct{}, 1)}
}

// Chunks implements submit.Caller. The pieces join without a gap.
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

// add keeps a piece. A single piece may be longer than the limit, as when the
// whole answer is read from a record.
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

// callerLeft and deadlinePassed wake the handler for good. A select over three
// channels for each token would cost more than these.
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

// news is what came since the last look.
type answerUpdate struct {
	text                         []byte
	offset                       int64
	overflowed                   bool
	outcome                      *structs.Outcome
	callerGone, deadlineExceeded bool
}

// take returns what came since the last call. used is a buffer that is not
// needed any more, for the next text.
func (f *answerCollector) take(used []byte) answerUpdate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	taken := answerUpdate{text: f.text, offset: f.offset, overflowed: f.overflowed, outcome: f.outcome, callerGone: f.callerGone, deadlineExceeded: f.deadlineExceeded}
	f.text = used[:0]
	return taken
}

// follow submits a call and hands news to each until an outcome came or each
// returns false. A caller that leaves can come back only for a call that it
// named; any other call is cancelled.
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
		Message: "The deadline passed while the call was under way. Ask for its outcome by the same request identifier.",
	}
}
