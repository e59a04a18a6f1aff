package gateway

import (
	"net/http"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// exchange is one request and its answer, with what the log and the metrics
// tell of it at the end.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	route   string
	started time.Time
	tenant  structs.TenantName

	// call is set once the request was understood.
	call *structs.Call
	// named is set when the caller gave the request identifier; only then can
	// it come back for the answer.
	hasRequestID bool
	// sentBefore is set when the caller says that it may have sent the request
	// before.
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

// refuse answers a request that did not become a call. Of a request that was
// sent before, an earlier copy may have run: a refusal for now must not say of
// it that it was not run.
func (e *exchange) refuse(p *problem) {
	status, outcome := p.status, p.outcome
	if outcome.RetryAfter > 0 && e.sentBefore {
		outcome.Status = structs.OutcomeUnknown
		status = statusOf(outcome)
	}
	e.recordOutcome(status, outcome)
	writeOutcome(e.w, status, outcome, "")
}

// answerOutcome answers with an outcome that is not an answer.
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

// noteText counts answer text that goes to the caller.
func (e *exchange) countText(bytes int) {
	if e.firstText == 0 {
		e.firstText = time.Since(e.started)
		e.gateway.Metrics.FirstText(e.firstText)
	}
	e.textBytes += int64(bytes)
}

// setNames tells the caller under which names it can come back.
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
		event.Msg("Caller left.")
		return
	}
	event.Msg("Request answered.")
}
