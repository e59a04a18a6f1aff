package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// problem is a request's refusal before it became a call.
type problem struct {
	status  int
	outcome structs.Outcome
}

func invalid(field, message string) *problem {
	return refusal(structs.ReasonInvalidRequest, field, message, 0)
}

func refusal(reason structs.Reason, field, message string, retryAfter time.Duration) *problem {
	outcome := structs.Refused(reason, field, message, retryAfter)
	return &problem{status: statusOf(outcome), outcome: outcome}
}

// errorType is the "type" of an error: the status of the call's outcome, or
// what became of a question.
type errorType string

// Types of error beside the statuses of outcomes.
const (
	// errorNotFound: there is no such thing, or it is another tenant's.
	errorNotFound errorType = "not_found"
	// errorDetached: the daemon stopped streaming; the call goes on.
	errorDetached errorType = "detached"
	// errorUnavailable: the question could not be answered now.
	errorUnavailable errorType = "unavailable"
)

// errorBody is OpenAI's error object with what else a caller needs.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    errorType      `json:"type"`
	Code    structs.Reason `json:"code"`
	// Param names the offending field.
	Param             string            `json:"param,omitempty"`
	RetryAfterSeconds int               `json:"retry_after_seconds,omitempty"`
	RequestID         structs.RequestID `json:"request_id,omitempty"`
	// ResumeAt is set when the answer goes on from this byte.
	ResumeAt int64 `json:"resume_at,omitempty"`
	// BackEndStatus and BackEndBody are what an application answered to a
	// call that it ran and failed.
	BackEndStatus int             `json:"back_end_status,omitempty"`
	BackEndBody   json.RawMessage `json:"back_end_body,omitempty"`
}

// statusOf maps an outcome to an HTTP status.
func statusOf(outcome structs.Outcome) int {
	if outcome.Status == structs.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	switch outcome.Reason {
	case structs.ReasonInvalidRequest:
		return http.StatusBadRequest
	case structs.ReasonUnknownTemplate, structs.ReasonUnknownModel, structs.ReasonUnknownProgram:
		return http.StatusNotFound
	case structs.ReasonModelNotAllowed, structs.ReasonToolNotAllowed:
		return http.StatusForbidden
	case structs.ReasonBudgetExhausted:
		return http.StatusPaymentRequired
	case structs.ReasonTenantQuota, structs.ReasonTurnLimit, structs.ReasonTimeLimit, structs.ReasonRepetitionLimit:
		return http.StatusTooManyRequests
	case structs.ReasonProgramEnded, structs.ReasonSequenceConflict, structs.ReasonRequestConflict, structs.ReasonHistoryConflict, structs.ReasonHistoryGap, structs.ReasonCancelled:
		return http.StatusConflict
	case structs.ReasonDeadline:
		return http.StatusRequestTimeout
	case structs.ReasonBackEnd, structs.ReasonConnectionLost:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// shouldRetry tells whether OpenAI's client libraries may send a call again by
// themselves. Without a request identifier of the caller's, another copy would
// be another call.
func shouldRetry(outcome structs.Outcome, hasRequestID bool) bool {
	switch outcome.Status {
	case structs.OutcomeNotRun:
		return outcome.RetryAfter > 0
	case structs.OutcomeUnknown:
		return hasRequestID
	default:
		return false
	}
}

func detailOf(outcome structs.Outcome, request structs.RequestID) errorDetail {
	return errorDetail{
		Message:           outcome.Message,
		Type:              errorType(outcome.Status),
		Code:              outcome.Reason,
		Param:             outcome.Field,
		RetryAfterSeconds: int(math.Ceil(outcome.RetryAfter.Seconds())),
		RequestID:         request,
		BackEndStatus:     outcome.BodyStatus,
		BackEndBody:       jsonOrText(outcome.Body),
	}
}

// writeOutcome answers with an outcome that is not an answer.
func writeOutcome(w http.ResponseWriter, status int, outcome structs.Outcome, request structs.RequestID) {
	writeError(w, status, detailOf(outcome, request))
}

func writeError(w http.ResponseWriter, status int, detail errorDetail) {
	if detail.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	}
	writeJSON(w, status, errorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails when the caller is gone
}
