package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// requestBody describes a request: its progress until it has an outcome, and then its
// answer or error.
type requestBody struct {
	Program   structs.ProgramID `json:"program"`
	RequestID structs.RequestID `json:"request_id"`
	// State is "running" or the status of the outcome.
	State      string              `json:"state"`
	Open       *openCallBody       `json:"open,omitempty"`
	Completion *completionResponse `json:"completion,omitempty"`
	BodyStatus int                 `json:"body_status,omitempty"`
	Body       json.RawMessage     `json:"body,omitempty"`
	Error      *errorDetail        `json:"error,omitempty"`
}

// noRequestMessage is the message for a request that the program has not seen. It may
// still run, since a copy may be on its way.
const noRequestMessage = "The program has not seen this request."

// requestFromQuery returns the program and the request that the URL names, and reports
// whether both are given. If it returns false, it has written the response.
func (e *exchange) requestFromQuery() (structs.ProgramKey, structs.RequestID, bool) {
	query := e.r.URL.Query()
	key := structs.ProgramKey{Tenant: e.tenant, Program: structs.ProgramID(query.Get("program"))}
	request := structs.RequestID(query.Get("request"))
	switch {
	case key.Program == "":
		e.refuse(invalid("program", "Name it in the query."))
		return key, request, false
	case request == "":
		e.refuse(invalid("request", "Name it in the query."))
		return key, request, false
	}
	return key, request, true
}

func (e *exchange) serveRequest() {
	key, request, named := e.requestFromQuery()
	if !named {
		return
	}
	described, found := e.describe(dispatch.Describe{Key: key, RequestID: request})
	if !found {
		return
	}
	if described.Request == nil {
		e.answerNotFound(structs.ReasonUnknownProgram, noRequestMessage)
		return
	}
	e.answerJSON(http.StatusOK, requestBodyOf(key, request, described.Request))
}

func requestBodyOf(key structs.ProgramKey, request structs.RequestID, status *dispatch.RequestStatus) requestBody {
	body := requestBody{Program: key.Program, RequestID: request, State: stateRunning}
	if status.Open != nil {
		open := openBodyOf(*status.Open)
		body.Open = &open
		return body
	}
	outcome := status.Outcome
	body.State = string(outcome.Status)
	switch {
	case outcome.Status != structs.OutcomeCompleted:
		detail := detailOf(*outcome, request)
		body.Error = &detail
	case outcome.BodyStatus != 0 || outcome.Body != nil:
		body.BodyStatus = outcome.BodyStatus
		body.Body = jsonOrText(outcome.Body)
	default:
		completion := completionOf(request, "", *outcome)
		body.Completion = &completion
	}
	return body
}

// serveCancel cancels a call. The outcome is queried afterwards, since a call that its
// back end cannot stop runs to its end.
func (e *exchange) serveCancel() {
	key, request, named := e.requestFromQuery()
	if !named {
		return
	}
	cancelled, err := await(func(done func(dispatch.CallCancelled, error)) {
		e.gateway.Queries.CancelCall(key, request, e.gateway.Limits.QueryTimeout, done)
	})
	switch {
	case err != nil:
		e.answerUnavailable()
	case cancelled.Request == nil:
		e.answerNotFound(structs.ReasonUnknownProgram, noRequestMessage)
	default:
		e.answerJSON(http.StatusOK, requestBodyOf(key, request, cancelled.Request))
	}
}
