package relay

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

const (
	// routineLogBurst is the number of routine log lines that a daemon writes each second;
	// of further lines it writes every sampleInterval-th. Refusals, retries and failures
	// are never sampled.
	routineLogBurst = 60
	sampleInterval  = 20
	// brokenOffLogBurst is the same for requests that ended without an answer or a refusal.
	// Only many callers that disconnect at once should exceed it.
	brokenOffLogBurst = 200
)

// countingSampler wraps a sampler and counts the lines that it drops.
type countingSampler struct {
	zerolog.Sampler
	onDrop func()
}

// Sample implements zerolog.Sampler.
func (s countingSampler) Sample(level zerolog.Level) bool {
	if s.Sampler.Sample(level) {
		return true
	}
	s.onDrop()
	return false
}

// newSampler returns a sampler that passes a burst of lines each second and every
// sampleInterval-th line beyond it.
func newSampler(burst uint32, onDrop func()) zerolog.Sampler {
	return countingSampler{
		Sampler: &zerolog.BurstSampler{
			Burst:       burst,
			Period:      time.Second,
			NextSampler: &zerolog.BasicSampler{N: sampleInterval},
		},
		onDrop: onDrop,
	}
}

// callLogger returns a logger with the fields that identify the call.
func callLogger(logger zerolog.Logger, call *Call) zerolog.Logger {
	fields := logger.With().Str("request", call.ID).Str("route", call.Route.Name)
	if call.Tenant != nil {
		fields = fields.Str("tenant", call.Tenant.Name)
	}
	if call.Program != nil {
		fields = fields.Str("program", call.Program.ID)
	}
	return fields.Logger()
}

// logAnswered logs an answered request: the decisions, the age of the data they were based
// on, and the duration of each step.
func (c *callHandler) logAnswered(message string, target instance.Instance, status int, state *streamState) {
	logger := callLogger(c.relay.routine, c.call)
	event := logger.Info()
	if event == nil {
		return
	}
	event = event.Str("instance", target.ID).Str("version", target.Version).Int("status", status).Int("offers", c.offers).Int("runs", c.runs).
		Uint64("connection", c.connections.Latest()).
		Dur("held", time.Since(c.call.Received)).Dur("instances_age", c.relay.Pool.ListAge()).Int64("routes_version", c.routesVersion())
	if !c.heldUp.Since.IsZero() {
		event = c.logForecast(event)
	}
	if c.quota.verdict.Reason != "" {
		event = c.logVerdict(event).Dur("admitted_after", c.quota.admittedAfter)
	}
	if state != nil {
		event = event.Int64("events", state.events).Dur("first_event", state.firstEventAfter)
		if state.turn != nil {
			event = event.Dur("granted_after", state.turn.grantedAfter).Dur("recorded_after", state.turn.recordedAfter).Bool("underway", state.turn.Underway).
				Int("history", state.turn.historyBytes).Int64("budget", c.call.Program.BudgetTokens).Int64("most", c.call.MaxTokens)
		}
	}
	event.Msg(message)
}

// routesVersion returns the version of the current routes.
func (c *callHandler) routesVersion() int64 {
	table := c.relay.Table()
	if table == nil {
		return 0
	}
	return table.Version
}

// logNotTaken logs an offer that an instance did not run. There may be many of them for one
// request.
func (c *callHandler) logNotTaken(target instance.Instance, answer *Answer) {
	logger := callLogger(c.relay.routine, c.call)
	logger.Info().Str("instance", target.ID).Int("status", answer.Status).Str("proof", string(answer.NotRun)).Int("offer", c.offers).
		Uint64("connection", c.connections.Latest()).Dur("answered_after", time.Since(c.latest.beganAt)).Msg("Offer not taken.")
}

// logFailedOffer logs an offer that ended with an error.
func (c *callHandler) logFailedOffer(target instance.Instance, err error) {
	line := c.logger.Info().Str("instance", target.ID).Int("offer", c.offers).Err(err)
	if !httpconn.IsNotSent(err) {
		line = line.Uint64("connection", c.connections.Latest())
	}
	line.Msg("Offer failed.")
}

// logRefusal adds the fields of a refused call: how far it got, and what held it up.
func (c *callHandler) logRefusal(line *zerolog.Event, refusal Refusal) *zerolog.Event {
	if c.isResumption() {
		line = line.Str("resumes", c.call.Resumes).Str("after", c.call.ResumeAfter)
	}
	if refusal.Reason == ReasonEndsBackEnds || refusal.Reason == ReasonEndsUnconfirmed {
		line = line.Str("content", string(c.tracker.Digest()))
	}
	line = line.Int("offers", c.offers).Int("runs", c.runs).Dur("retry_after", refusal.RetryAfter)
	if c.quota.verdict.Reason != "" {
		line = c.logVerdict(line)
	}
	if !c.heldUp.Since.IsZero() {
		line = c.logForecast(line)
	}
	return line
}

// logVerdict adds the quota owner's verdict and the values that it was based on.
func (c *callHandler) logVerdict(line *zerolog.Event) *zerolog.Event {
	return line.Str("quota", string(c.quota.verdict.Reason)).Float64("tokens", c.quota.verdict.Tokens).Int("programs", c.quota.verdict.Programs)
}

// logForecast adds what held the call up, and the latest forecast for that.
func (c *callHandler) logForecast(line *zerolog.Event) *zerolog.Event {
	return line.Stringer("held_up_by", c.heldUp.Kind).Dur("since", time.Since(c.heldUp.Since)).
		Dur("left", time.Until(c.heldUp.LatestStart)).Float64("chance", c.forecast.SuccessProbability).Dur("expected", c.forecast.MedianRemaining)
}
