package relay

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
)

// handlingFault is a bug in the code that serves a request.
type handlingFault string

const (
	faultPanic        handlingFault = "panic"
	faultNoEnding     handlingFault = "no_ending"
	faultSecondEnding handlingFault = "second_ending"
)

// endingRecorder is a Responder that records the request's ending. Only the first ending is
// passed on to the caller: bytes after it would belong to no answer.
type endingRecorder struct {
	responder Responder
	relay     *Relay
	// context is the request's context: its cause shows whether the daemon reached its
	// shutdown deadline.
	context    context.Context
	logger     zerolog.Logger
	receivedAt time.Time
	// callHandler handles the request, nil until the relay has it.
	callHandler *callHandler
	hasHead     bool
	// events counts the events that were passed on.
	events int64
	// isEnding is set once an ending has begun; ending is its result.
	isEnding bool
	ending   Ending
	// isDelivered is set once the ending was passed on.
	isDelivered bool
}

// EnsureEnding calls serve with a responder that records the request's ending, and ensures
// that there is exactly one: if serve returns or panics without an ending, the connection
// is closed. Nested calls share the recorder of the outermost.
func (r *Relay) EnsureEnding(ctx context.Context, request string, responder Responder, serve func(Responder)) {
	e := r.recorderOf(ctx, request, responder)
	defer func() { e.conclude(recover()) }()
	serve(e)
}

// recorderOf returns responder if it is a recorder, or else a new recorder that wraps it.
func (r *Relay) recorderOf(ctx context.Context, request string, responder Responder) *endingRecorder {
	if known, isKnown := responder.(*endingRecorder); isKnown {
		return known
	}
	r.Metrics.opened()
	request = request[:min(len(request), maxLoggedIDBytes)]
	return &endingRecorder{
		responder: responder, relay: r, context: ctx, receivedAt: time.Now(),
		logger: r.Logger.With().Str("request", request).Logger(),
	}
}

// setHandler sets the handler of the request, whose call appears in the log lines from now
// on.
func (e *endingRecorder) setHandler(c *callHandler) {
	e.callHandler = c
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

// refuse refuses the request for a cause that may be more specific than the refusal's
// reason. If the head of a stream was sent already, the stream is broken off instead.
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

// refusedFor returns the ending of a refused request. It is one by the caller if the caller
// left before the refusal.
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

// abort ends the request for a cause by closing the caller's connection.
func (e *endingRecorder) abort(cause Cause) {
	if e.begin() {
		e.closeConnection(cause, nil)
	}
}

// closeConnection closes the caller's connection for a cause. An ending must have begun.
func (e *endingRecorder) closeConnection(cause Cause, details lineDetails) {
	e.finish(e.closedFor(cause), details)
	e.responder.Abort()
	e.isDelivered = true
}

// closedFor returns the ending of a connection that was closed for a cause, which may be
// that of an undeliverable refusal. From the shutdown deadline on the daemon itself closes
// connections, which looks as if callers disconnected.
func (e *endingRecorder) closedFor(cause Cause) Ending {
	switch {
	case cause.EndedBy() == PartyCaller && isPastShutdownDeadline(e.context), cause == Cause(ReasonStopping):
		cause = CauseShutdownDeadline
	case cause == Cause(ReasonTimeout), cause == Cause(ReasonNotInTime):
		cause = CauseTimeOver
	}
	return cause.ending()
}

// begin marks the request as ending. It returns false if it had an ending before.
func (e *endingRecorder) begin() bool {
	if e.isEnding {
		e.relay.Metrics.fault(faultSecondEnding)
		e.logger.Error().Str("ending", string(e.ending.Kind)).Msg("Request ended twice. Its caller got the first ending.")
		return false
	}
	e.isEnding = true
	return true
}

// finish counts an ending, and logs it if it is not an answer.
func (e *endingRecorder) finish(ending Ending, details lineDetails) {
	e.ending = ending
	e.relay.Metrics.ended(ending)
	if ending.Kind == EndingAnswered {
		return
	}
	e.log(ending, details)
}

// conclude ends a request whose handler returned without an ending, or panicked with fault.
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

// breakOff closes the connection unless an ending was delivered. An ending that has only
// begun may have been written in part.
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
