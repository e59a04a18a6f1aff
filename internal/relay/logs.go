package relay

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/instance"
)

const (
	// ordinaryBurst is how many lines of the ordinary way a daemon writes each
	// second; of those beyond it, every ordinaryEvery-th. Refusals, repeats and
	// failures are never left out.
	ordinaryBurst = 60
	ordinaryEvery = 20
	// closingBurst is how many lines a daemon writes each second of requests that ended
	// without an answer or a refusal; of those beyond it, every ordinaryEvery-th. It is far
	// above what faults make: what exceeds it are callers that leave in a crowd.
	closingBurst = 200
)

// countingSampler counts the lines that another sampler leaves out.
type countingSampler struct {
	zerolog.Sampler
	leftOut func()
}

// Sample implements zerolog.Sampler.
func (s countingSampler) Sample(level zerolog.Level) bool {
	if s.Sampler.Sample(level) {
		return true
	}
	s.leftOut()
	return false
}

// newSampler returns a sampler that leaves most lines out that come after a burst within a
// second.
func newSampler(burst uint32, leftOut func()) zerolog.Sampler {
	return countingSampler{
		Sampler: &zerolog.BurstSampler{
			Burst:       burst,
			Period:      time.Second,
			NextSampler: &zerolog.BasicSampler{N: ordinaryEvery},
		},
		leftOut: leftOut,
	}
}

// callLogger returns a logger whose lines name the call.
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

// logAnswered tells how a request that was answered got there: what was decided,
// on which news, and how long each step took.
func (c *carrier) logAnswered(message string, target instance.Instance, status int, state *streamState) {
	logger := callLogger(c.relay.ordinary, c.call)
	event := logger.Info()
	if event == nil {
		return
	}
	event = event.Str("instance", target.ID).Int("status", status).Int("offers", c.offers).Int("runs", c.runs).
		Dur("held", time.Since(c.call.Received)).Dur("instances_age", c.relay.Pool.ListAge()).Int64("routes_version", c.routesVersion())
	if !c.heldUp.Since.IsZero() {
		event = c.logForecast(event)
	}
	if c.quota.verdict.Reason != "" {
		event = c.logVerdict(event).Dur("admitted_after", c.quota.admittedAfter)
	}
	if state != nil {
		event = event.Int64("events", state.events).Dur("first_event", state.firstAfter)
		if state.turn != nil {
			event = event.Dur("granted_after", state.turn.grantedAfter).Dur("recorded_after", state.turn.recordedAfter).Bool("underway", state.turn.Underway).
				Int("history", state.turn.historyBytes).Int64("budget", c.call.Program.BudgetTokens).Int64("most", c.call.MaxTokens)
		}
	}
	event.Msg(message)
}

// routesVersion is the version of the routes in force.
func (c *carrier) routesVersion() int64 {
	table := c.relay.Table()
	if table == nil {
		return 0
	}
	return table.Version
}

// logNotTaken tells of an offer that an instance did not run. There may be many
// of them for one request.
func (c *carrier) logNotTaken(target instance.Instance, status int) {
	logger := callLogger(c.relay.ordinary, c.call)
	logger.Info().Str("instance", target.ID).Int("status", status).Int("offer", c.offers).Msg("Offer not taken.")
}

// logRefusal adds how far the call got until it was refused, and what held it up.
func (c *carrier) logRefusal(line *zerolog.Event, refusal Refusal) *zerolog.Event {
	line = line.Int("offers", c.offers).Int("runs", c.runs).Dur("retry_after", refusal.RetryAfter)
	if c.quota.verdict.Reason != "" {
		line = c.logVerdict(line)
	}
	if !c.heldUp.Since.IsZero() {
		line = c.logForecast(line)
	}
	return line
}

// logVerdict adds what the owner of the tenant's limit decided, and on what.
func (c *carrier) logVerdict(line *zerolog.Event) *zerolog.Event {
	return line.Str("quota", string(c.quota.verdict.Reason)).Float64("tokens", c.quota.verdict.Tokens).Int("programs", c.quota.verdict.Programs)
}

// logForecast adds what held the call up, and what was expected of it when that was
// last looked at.
func (c *carrier) logForecast(line *zerolog.Event) *zerolog.Event {
	return line.Stringer("held_up_by", c.heldUp.Kind).Dur("since", time.Since(c.heldUp.Since)).
		Dur("left", time.Until(c.heldUp.LatestStart)).Float64("chance", c.forecast.SuccessProbability).Dur("expected", c.forecast.MedianRemaining)
}
