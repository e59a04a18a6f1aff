package relay

import (
	"time"

	"github.com/rs/zerolog"
)

// loggedIDLength bounds, in bytes, what a log line holds of an ID that a caller made up.
const loggedIDLength = 64

// lineDetails adds fields to a line of the log; nil adds none.
type lineDetails func(*zerolog.Event) *zerolog.Event

// log writes the line of an ending that is no answer.
func (e *endingRecorder) log(ending Ending, details lineDetails) {
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
	case EndingCallerLeft:
		return "Request left by its caller."
	}
	return "Request broken off."
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
