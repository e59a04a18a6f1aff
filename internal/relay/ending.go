package relay

import (
	"context"
	"errors"
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
	EndingCallerLeft EndingKind = "left"
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
	CauseBackEndGivenUp   Cause = "back_end_given_up"
	CauseTimeOver         Cause = "time_over"
	CauseShutdownDeadline Cause = "stop_bound"
	// The next causes end answers that are whole and wait for their turn's record.
	CauseRecordCallerLeft       Cause = "record_caller_left"
	CauseRecordTimeOver         Cause = "record_time_over"
	CauseRecordShutdownDeadline Cause = "record_stop_bound"
	CauseRecordMemory           Cause = "record_memory"
	CauseRecordUnknownTurn      Cause = "record_unknown_turn"
	CauseRecordUnavailable      Cause = "record_unavailable"
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
		return Ending{Kind: EndingCallerLeft, Cause: c, By: PartyCaller}
	}
	return Ending{Kind: EndingBrokenOff, Cause: c, By: c.EndedBy()}
}

// causeOf is why a context ended, or otherwise if it has not.
func causeOf(ctx context.Context, otherwise Cause) Cause {
	switch {
	case ctx.Err() == nil:
		return otherwise
	case isStopBound(ctx):
		return CauseShutdownDeadline
	case errors.Is(ctx.Err(), context.Canceled):
		return CauseCallerLeft
	}
	return CauseTimeOver
}
