package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
)

// EndingKind is what a request's caller got in the end.
type EndingKind string

// Kinds of endings.
const (
	EndingAnswered EndingKind = "answered"
	EndingRefused  EndingKind = "refused"
	// EndingBrokenOff: the connection was closed on a caller that was still there.
	EndingBrokenOff EndingKind = "broken_off"
	// EndingLeft: the caller closed the connection first.
	EndingLeft EndingKind = "left"
)

// Cause is why a request ended without a back end's whole answer: one of those below,
// or the Reason of a refusal.
type Cause string

// Causes of endings that are no refusals, or whose refusal tells less.
const (
	CauseCallerLeft = Cause(ReasonCallerLeft)
	// CauseWriteFailed: what was written did not reach the caller.
	CauseWriteFailed Cause = "write_failed"
	// CauseBackEndBroke: the back end broke its answer off, and the request may not run again.
	CauseBackEndBroke Cause = "back_end_broke_off"
	// CauseBackEndFailed: a back end that was to go on with a stream answered with a failure.
	CauseBackEndFailed Cause = "back_end_failed"
	// CauseFalsePromise: a back end ran the request and answered that it did not.
	CauseFalsePromise Cause = "false_promise"
	// CauseBackEndGivenUp: the daemon believes that the back end can not be reached.
	CauseBackEndGivenUp Cause = "back_end_given_up"
	CauseTimeOver       Cause = "time_over"
	CauseStopBound      Cause = "stop_bound"
	// The next causes end answers that are whole and wait for their turn's record.
	CauseRecordCallerLeft  Cause = "record_caller_left"
	CauseRecordTimeOver    Cause = "record_time_over"
	CauseRecordStopBound   Cause = "record_stop_bound"
	CauseRecordMemory      Cause = "record_memory"
	CauseRecordUnknownTurn Cause = "record_unknown_turn"
	CauseRecordUnavailable Cause = "record_unavailable"
	// CauseAborted: the handler ended the connection with http.ErrAbortHandler.
	CauseAborted Cause = "aborted"
	// CausePanic and CauseNoEnding are faults of the handler.
	CausePanic    Cause = "panic"
	CauseNoEnding Cause = "no_ending"
)

// Party is who ended a request.
type Party string

// Parties of a request.
const (
	PartyDaemon  Party = "daemon"
	PartyCaller  Party = "caller"
	PartyBackEnd Party = "back_end"
)

// Ending is how a request ended for its caller.
type Ending struct {
	Kind EndingKind
	// Cause is "" for an answer.
	Cause Cause
	By    Party
}

// EndedBy is who ends requests for this cause.
func (c Cause) EndedBy() Party {
	switch c {
	case CauseCallerLeft, CauseWriteFailed, CauseRecordCallerLeft, Cause(ReasonBodyCut):
		return PartyCaller
	case CauseBackEndBroke, CauseBackEndFailed, CauseFalsePromise, Cause(ReasonBroken):
		return PartyBackEnd
	}
	return PartyDaemon
}

// ending is that of a request that was closed for this cause, without an answer or refusal.
func (c Cause) ending() Ending {
	if c.EndedBy() == PartyCaller {
		return Ending{Kind: EndingLeft, Cause: c, By: PartyCaller}
	}
	return Ending{Kind: EndingBrokenOff, Cause: c, By: c.EndedBy()}
}

// causeOf is why a context ended, or otherwise if it has not.
func causeOf(ctx context.Context, otherwise Cause) Cause {
	switch {
	case ctx.Err() == nil:
		return otherwise
	case isStopBound(ctx):
		return CauseStopBound
	case errors.Is(ctx.Err(), context.Canceled):
		return CauseCallerLeft
	}
	return CauseTimeOver
}

// handlingFault is an error of the code that serves a request.
type handlingFault string

const (
	faultPanic        handlingFault = "panic"
	faultNoEnding     handlingFault = "no_ending"
	faultSecondEnding handlingFault = "second_ending"
)

// loggedIDLength bounds, in bytes, what a log line holds of an ID that a caller made up.
const loggedIDLength = 64

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
func (r *Relay) Watch(ctx context.Context, request string, responder Responder, serve func(Responder)) {
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
// head was sent is broken off: no refusal can be told any more. Details, if given, add to
// the line.
func (e *endingRecorder) refuse(refusal Refusal, cause Cause, details func(*zerolog.Event) *zerolog.Event) {
	if !e.begin() {
		return
	}
	reason := Cause(refusal.Reason)
	if e.hasHead {
		e.finish(e.closedFor(cause), details)
		e.responder.Abort()
		e.isDelivered = true
		return
	}
	ending := Ending{Kind: EndingRefused, Cause: cause, By: cause.EndedBy()}
	if reason.EndedBy() == PartyCaller {
		ending = e.closedFor(cause)
	} else if causeOf(e.context, "") == CauseCallerLeft { // the refusal reaches nobody
		ending = CauseCallerLeft.ending()
	}
	e.finish(ending, func(line *zerolog.Event) *zerolog.Event {
		line = line.Str("reason", string(reason))
		if details != nil {
			line = details(line)
		}
		return line
	})
	e.responder.Refuse(refusal)
	e.isDelivered = true
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

// abort closes the caller's connection for a cause.
func (e *endingRecorder) abort(cause Cause) {
	if e.begin() {
		e.finish(e.closedFor(cause), nil)
		e.responder.Abort()
		e.isDelivered = true
	}
}

// closedFor is the ending of a connection that was closed for a cause, also for that of a
// refusal that could not be told. At the bound of a stop the daemon closes connections
// itself, which looks like callers that leave.
func (e *endingRecorder) closedFor(cause Cause) Ending {
	switch {
	case cause.EndedBy() == PartyCaller && isStopBound(e.context), cause == Cause(ReasonStopping):
		cause = CauseStopBound
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
func (e *endingRecorder) finish(ending Ending, details func(*zerolog.Event) *zerolog.Event) {
	e.ending = ending
	e.relay.Metrics.ended(ending)
	if ending.Kind == EndingAnswered {
		return
	}
	logger := e.loggerOf(ending.Kind)
	line := logger.Info().Str("ending", string(ending.Kind)).Str("cause", string(ending.Cause)).Str("ended_by", string(ending.By)).
		Dur("held", time.Since(e.receivedAt)).Int64("events", e.events).Bool("may_have_run", e.carrier != nil && e.carrier.mayHaveRun())
	if stopping, since := e.relay.stoppingFor(); stopping {
		line = line.Dur("stopping_for", since)
	}
	if details != nil {
		line = details(line)
	}
	line.Msg(ending.Kind.message())
}

// loggerOf returns a logger for endings of a kind. Lines of the relay's refusals are never
// left out.
func (e *endingRecorder) loggerOf(kind EndingKind) zerolog.Logger {
	switch {
	case kind != EndingRefused:
		return e.logger.Sample(e.relay.closings)
	case e.carrier == nil:
		return e.logger.Sample(e.relay.frontRefusals)
	}
	return e.logger
}

// message is the line of a request that ended so.
func (k EndingKind) message() string {
	switch k {
	case EndingRefused:
		return "Request refused."
	case EndingLeft:
		return "Request left by its caller."
	}
	return "Request broken off."
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

// stoppingFor tells whether the daemon stops, and since how long.
func (r *Relay) stoppingFor() (stopping bool, since time.Duration) {
	if r.StoppingSince == nil {
		return false, 0
	}
	at, stopping := r.StoppingSince()
	if !stopping {
		return false, 0
	}
	return true, time.Since(at)
}
