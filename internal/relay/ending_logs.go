package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// maxLoggedIDBytes bounds the length of caller-supplied request IDs in log lines.
const maxLoggedIDBytes = 64

// lineDetails adds fields to a log line; nil adds none.
type lineDetails func(*zerolog.Event) *zerolog.Event

// log writes the log line of an ending that is not an answer.
func (e *endingRecorder) log(ending Ending, details lineDetails) {
	logger := e.loggerOf(ending.Kind)
	line := logger.Info().Str("ending", string(ending.Kind)).Str("cause", string(ending.Cause)).Str("ended_by", string(ending.By)).
		Dur("held", time.Since(e.receivedAt)).Int64("events", e.events).Bool("may_have_run", e.callHandler != nil && e.callHandler.mayHaveRun())
	if stopping, since := e.relay.stoppingFor(); stopping {
		line = line.Dur("stopping_for", since)
	}
	if details != nil {
		line = details(line)
	}
	line.Msg(ending.Kind.message())
}

// loggerOf returns the logger for endings of a kind. Refusals by the relay itself are never
// sampled.
func (e *endingRecorder) loggerOf(kind EndingKind) zerolog.Logger {
	switch {
	case kind != EndingRefused:
		return e.logger.Sample(e.relay.brokenOffSampler)
	case e.callHandler == nil:
		return e.logger.Sample(e.relay.frontRefusalSampler)
	}
	return e.logger
}

// message returns the message of the log line.
func (k EndingKind) message() string {
	switch k {
	case EndingRefused:
		return "Request refused."
	case EndingCallerLeft:
		return "Request left by its caller."
	}
	return "Request broken off."
}

// stoppingFor reports whether the daemon is shutting down, and for how long it has been.
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
