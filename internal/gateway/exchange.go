package gateway

import (
	"net/http"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// exchange is one request and its response, with the data for the log line and the
// metrics.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	route   string
	started time.Time
	tenant  structs.TenantName

	// call is set once the request was parsed.
	call *structs.Call
	// hasRequestID is set when the caller has set the request identifier; only then
	// can it resume the call.
	hasRequestID bool
	// sentBefore is set when the caller marked the request as a retry.
	sentBefore bool

	status     int
	result     structs.OutcomeStatus
	reason     structs.Reason
	firstText  time.Duration
	textBytes  int64
	detached   bool
	slowReader bool
}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request, route string) *exchange {
	return &exchange{
		gateway: g,
		w:       w,
		r:       r,
		control: http.NewResponseController(w),
		route:   route,
		started: time.Now(),

		sentBefore: sentBefore(r.Header),
	}
}

// refuse answers a request that did not become a call. An earlier copy of a retried
// request may have run, so a temporary refusal must not say that it did not run.
func (e *exchange) refuse(p *problem) {
	status, outcome := p.status, p.outcome
	if outcome.RetryAfter > 0 && e.sentBefore {
		outcome.Status = structs.OutcomeUnknown
		status = statusOf(outcome)
	}
	e.recordOutcome(status, outcome)
	writeOutcome(e.w, status, outcome, "")
}

// answerOutcome writes the error response for an outcome other than completed.
func (e *exchange) answerOutcome(outcome structs.Outcome) {
	status := statusOf(outcome)
	e.recordOutcome(status, outcome)
	e.setIdentityHeaders()
	if !shouldRetry(outcome, e.hasRequestID) {
		e.w.Header().Set(HeaderShouldRetry, "false")
	}
	writeOutcome(e.w, status, outcome, e.call.RequestID)
}

func (e *exchange) recordOutcome(status int, outcome structs.Outcome) {
	e.status = status
	e.result = outcome.Status
	e.reason = outcome.Reason
}

// countText counts answer text that is sent to the caller.
func (e *exchange) countText(bytes int) {
	if e.firstText == 0 {
		e.firstText = time.Since(e.started)
		e.gateway.Metrics.FirstText(e.firstText)
	}
	e.textBytes += int64(bytes)
}

// setIdentityHeaders sets the response headers with the identifiers by which the
// caller can resume or query the call.
func (e *exchange) setIdentityHeaders() {
	header := e.w.Header()
	header.Set(HeaderProgram, string(e.call.Key.Program))
	header.Set(HeaderRequestID, string(e.call.RequestID))
	header.Set(HeaderTrace, e.call.TraceID)
}

// finish writes the log line and counts the request.
func (e *exchange) finish() {
	took := time.Since(e.started)
	g := e.gateway
	g.Metrics.Request(e.route, e.status, string(e.result), string(e.reason), took)
	if e.slowReader {
		g.Metrics.SlowReader()
	}
	event := g.Logger.Info()
	if !event.Enabled() {
		return
	}
	event = event.Str("route", e.route).Str("tenant", string(e.tenant)).Int("status", e.status).
		Str("result", string(e.result)).Str("reason", string(e.reason)).Dur("took_ms", took)
	if e.call != nil {
		event = event.Str("program", string(e.call.Key.Program)).Str("request", string(e.call.RequestID)).
			Str("trace", e.call.TraceID).Dur("first_text_ms", e.firstText).Int64("text_bytes", e.textBytes)
	}
	if e.detached {
		event.Msg("Response ended before the call's outcome.")
		return
	}
	event.Msg("Request answered.")
}
