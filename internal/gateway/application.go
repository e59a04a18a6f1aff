package gateway

import (
	"net/http"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// serveApplication serves a request to an application or tool. The body is passed to
// the back end unchanged.
func (e *exchange) serveApplication() {
	call, refused := e.newCall(optionsFromHeader(e.r.Header))
	if refused != nil {
		e.refuse(refused)
		return
	}
	body, release, refused := e.readBody()
	defer release()
	if refused != nil {
		e.refuse(refused)
		return
	}
	call.Kind = structs.CallApplication
	call.Target = e.r.PathValue("target")
	call.Operation = e.r.PathValue("operation")
	call.Body = body
	e.call = call
	e.follow(0, func(n answerUpdate) bool {
		if n.outcome != nil {
			e.answerApplication(*n.outcome)
		}
		return true
	})
}

func (e *exchange) answerApplication(outcome structs.Outcome) {
	if outcome.Status != structs.OutcomeCompleted {
		e.answerOutcome(outcome)
		return
	}
	status := outcome.BodyStatus
	if status == 0 {
		status = http.StatusOK
	}
	e.recordOutcome(status, outcome)
	e.setIdentityHeaders()
	e.w.Header().Set("Content-Type", "application/json")
	e.w.WriteHeader(status)
	_, _ = e.w.Write(outcome.Body) // fails when the caller has disconnected
}
