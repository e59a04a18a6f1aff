package relay

import (
	"context"
	"errors"
)

// EndingKind is how a request ended from its caller's view.
type EndingKind string

// Kinds of endings.
const (
	EndingAnswered EndingKind = "answered"
	EndingRefused  EndingKind = "refused"
	// EndingBrokenOff: the daemon closed the connection of a caller that was still there.
	EndingBrokenOff EndingKind = "broken_off"
	// EndingCallerLeft: the caller closed the connection first.
	EndingCallerLeft EndingKind = "left"
)

// Cause is why a request ended without a back end's complete answer: one of the constants
// below, or the Reason of a refusal.
type Cause string

// Causes of endings that are not refusals, or that are more specific than the refusal's
// reason.
const (
	CauseCallerLeft = Cause(ReasonCallerLeft)
	// CauseWriteFailed: writing to the caller failed.
	CauseWriteFailed Cause = "write_failed"
	// CauseBackEndBroke: the back end's answer broke off, and the request may not run
	// again.
	CauseBackEndBroke Cause = "back_end_broke_off"
	// CauseBackEndFailed: a back end that was to resume a stream answered with an error.
	CauseBackEndFailed Cause = "back_end_failed"
	// CauseFalsePromise: a back end ran the request, but its status tells callers that it
	// did not.
	CauseFalsePromise Cause = "false_promise"
	// CauseBackEndGivenUp: the daemon stopped waiting because it considers the back end
	// unreachable.
	CauseBackEndGivenUp   Cause = "back_end_given_up"
	CauseTimeOver         Cause = "time_over"
	CauseShutdownDeadline Cause = "stop_bound"
	// The next causes end calls whose answer is complete but whose turn was not stored.
	CauseRecordCallerLeft       Cause = "record_caller_left"
	CauseRecordTimeOver         Cause = "record_time_over"
	CauseRecordShutdownDeadline Cause = "record_stop_bound"
	CauseRecordMemory           Cause = "record_memory"
	CauseRecordUnknownTurn      Cause = "record_unknown_turn"
	CauseRecordUnavailable      Cause = "record_unavailable"
	// CauseAborted: the handler ended the connection with http.ErrAbortHandler.
	CauseAborted Cause = "aborted"
	// CausePanic and CauseNoEnding are bugs of the handler.
	CausePanic    Cause = "panic"
	CauseNoEnding Cause = "no_ending"
)

// Party is the side that caused a request's ending.
type Party string

// Parties of a request.
const (
	PartyDaemon  Party = "daemon"
	PartyCaller  Party = "caller"
	PartyBackEnd Party = "back_end"
)

// Ending describes how a request ended.
type Ending struct {
	Kind EndingKind
	// Cause is "" for an answer.
	Cause Cause
	By    Party
}

// EndedBy returns the party that ends requests for this cause.
func (c Cause) EndedBy() Party {
	switch c {
	case CauseCallerLeft, CauseWriteFailed, CauseRecordCallerLeft, Cause(ReasonBodyCut):
		return PartyCaller
	case CauseBackEndBroke, CauseBackEndFailed, CauseFalsePromise, Cause(ReasonBroken):
		return PartyBackEnd
	}
	return PartyDaemon
}

// ending returns the Ending of a request that ended for this cause without an answer or a
// refusal.
func (c Cause) ending() Ending {
	if c.EndedBy() == PartyCaller {
		return Ending{Kind: EndingCallerLeft, Cause: c, By: PartyCaller}
	}
	return Ending{Kind: EndingBrokenOff, Cause: c, By: c.EndedBy()}
}

// causeOf returns why ctx ended, or otherwise if it has not ended.
func causeOf(ctx context.Context, otherwise Cause) Cause {
	switch {
	case ctx.Err() == nil:
		return otherwise
	case isPastShutdownDeadline(ctx):
		return CauseShutdownDeadline
	case errors.Is(ctx.Err(), context.Canceled):
		return CauseCallerLeft
	}
	return CauseTimeOver
}
