package relay

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
)

// handlingFault is an error of the code that serves a request.
type handlingFault string

const (
	faultPanic        handlingFault = "panic"
	faultNoEnding     handlingFault = "no_ending"
	faultSecondEnding handlingFault = "second_ending"
)

// endingRecorder passes a request's ending on to its caller and takes note of it. Only the
// first one gets through: bytes after an end would belong to no answer.
type endingRecorder struct {
	responder Responder
	relay     *Relay
	// context is the request's: it tells whether a stop closed the connection.
	context    context.Context
	logger     zerolog.Logger
	receivedAt time.Time
	// carrier carries the request, nil as long as the front has it.
	carrier *carrier
	hasHead bool
	// events counts those that were passed on.
	events int64
	// isEnding: an ending was begun, and ending is what it came to.
	isEnding bool
	ending   Ending
	// isDelivered: the ending was passed on.
	isDelivered bool
}

// Watch calls serve with a responder that takes note of the request's ending, and makes
// sure that there is exactly one: a request that serve leaves without, by returning or by a
// panic, is broken off. Nested calls share what the outermost began.
func (r *Relay) EnsureEnding(ctx context.Context, request string, responder Responder, serve func(Responder)) {
	e := r.recorderOf(ctx, request, responder)
	defer func() { e.conclude(recover()) }()
	serve(e)
}

// recorderOf returns the recorder that a responder is, or a new one for it.
func (r *Relay) recorderOf(ctx context.Context, request string, responder Responder) *endingRecorder {
	if known, isKnown := responder.(*endingRecorder); isKnown {
		return known
	}
	r.Metrics.opened()
	request = request[:min(len(request), loggedIDLength)]
	return &endingRecorder{
		responder: responder, relay: r, context: ctx, receivedAt: time.Now(),
		logger: r.Logger.With().Str("request", request).Logger(),
	}
}

// carriedBy takes note of who carries the request: lines tell of its call from now on.
func (e *endingRecorder) carriedBy(c *carrier) {
	e.carrier = c
	e.logger = c.logger
	e.receivedAt = c.call.Received
}

// Answer implements Responder.
func (e *endingRecorder) Answer(status int, header http.Header, body []byte) error {
	if !e.begin() {
		return nil
	}
	err := e.responder.Answer(status, header, body)
	e.isDelivered = true
	if err != nil {
		e.finish(e.closedFor(CauseWriteFailed), nil)
		return err
	}
	e.finish(Ending{Kind: EndingAnswered, By: PartyBackEnd}, nil)
	return nil
}

// Refuse implements Responder.
func (e *endingRecorder) Refuse(refusal Refusal) { e.refuse(refusal, Cause(refusal.Reason), nil) }

// refuse refuses the request for a cause of which the refusal may tell less. A stream whose
// head was sent is broken off: it is too late for a refusal.
func (e *endingRecorder) refuse(refusal Refusal, cause Cause, details lineDetails) {
	if !e.begin() {
		return
	}
	if e.hasHead {
		e.closeConnection(cause, details)
		return
	}
	e.finish(e.refusedFor(refusal.Reason, cause), func(line *zerolog.Event) *zerolog.Event {
		line = line.Str("reason", string(refusal.Reason))
		if details != nil {
			line = details(line)
		}
		return line
	})
	e.responder.Refuse(refusal)
	e.isDelivered = true
}

// refusedFor is the ending of a request that is refused for a reason and a cause: one that
// its caller ended, if the refusal reaches nobody.
func (e *endingRecorder) refusedFor(reason Reason, cause Cause) Ending {
	switch {
	case Cause(reason).EndedBy() == PartyCaller:
		return e.closedFor(cause)
	case causeOf(e.context, "") == CauseCallerLeft:
		return CauseCallerLeft.ending()
	}
	return Ending{Kind: EndingRefused, Cause: cause, By: cause.EndedBy()}
}

// Head implements Responder.
func (e *endingRecorder) Head(status int, header http.Header) {
	e.hasHead = true
	e.responder.Head(status, header)
}

// Event implements Responder.
func (e *endingRecorder) Event(raw []byte) error {
	err := e.responder.Event(raw)
	if err == nil {
		e.events++
	}
	return err
}

// End implements Responder.
func (e *endingRecorder) End() {
	if e.begin() {
		e.responder.End()
		e.isDelivered = true
		e.finish(Ending{Kind: EndingAnswered, By: PartyBackEnd}, nil)
	}
}

// Abort implements Responder.
func (e *endingRecorder) Abort() { e.abort(CauseAborted) }

// abort ends the request by closing the caller's connection for a cause.
func (e *endingRecorder) abort(cause Cause) {
	if e.begin() {
		e.closeConnection(cause, nil)
	}
}

// closeConnection closes the caller's connection for a cause, once an ending was begun.
func (e *endingRecorder) closeConnection(cause Cause, details lineDetails) {
	e.finish(e.closedFor(cause), details)
	e.responder.Abort()
	e.isDelivered = true
}

// closedFor is the ending of a connection that was closed for a cause, also for that of a
// refusal that could not be told. At the bound of a stop the daemon closes connections
// itself, which looks like callers that leave.
func (e *endingRecorder) closedFor(cause Cause) Ending {
	switch {
	case cause.EndedBy() == PartyCaller && isStopBound(e.context), cause == Cause(ReasonStopping):
		cause = CauseShutdownDeadline
	case cause == Cause(ReasonTimeout), cause == Cause(ReasonNotInTime):
		cause = CauseTimeOver
	}
	return cause.ending()
}

// begin tells whether the request has not ended before.
func (e *endingRecorder) begin() bool {
	if e.isEnding {
		e.relay.Metrics.fault(faultSecondEnding)
		e.logger.Error().Str("ending", string(e.ending.Kind)).Msg("Request ended twice. Its caller got the first ending.")
		return false
	}
	e.isEnding = true
	return true
}

// finish counts an ending, and logs one that is no answer.
func (e *endingRecorder) finish(ending Ending, details lineDetails) {
	e.ending = ending
	e.relay.Metrics.ended(ending)
	if ending.Kind == EndingAnswered {
		return
	}
	e.log(ending, details)
}

// conclude ends a request that its handler left, by a panic if fault is not nil, without
// an ending.
func (e *endingRecorder) conclude(fault any) {
	switch {
	case fault == http.ErrAbortHandler:
		e.breakOff(CauseAborted)
		panic(fault)
	case fault != nil:
		e.relay.Metrics.fault(faultPanic)
		e.logger.Error().Str("panic", fmt.Sprint(fault)).Bytes("stack", debug.Stack()).Msg("Handler of a request panicked.")
		e.breakOff(CausePanic)
	case !e.isDelivered:
		e.relay.Metrics.fault(faultNoEnding)
		e.logger.Error().Msg("Handler returned without an ending.")
		e.breakOff(CauseNoEnding)
	}
}

// breakOff closes the connection unless the caller has its ending: one that was begun may
// have been written in part.
func (e *endingRecorder) breakOff(cause Cause) {
	if e.isDelivered {
		return
	}
	if e.ending.Kind == "" {
		e.finish(e.closedFor(cause), nil)
	}
	e.isEnding, e.isDelivered = true, true
	e.responder.Abort()
}
