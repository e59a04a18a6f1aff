package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// problem is the refusal of a request before it became a call.
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

// errorType is the "type" of an error: the status of the call's outcome, or one of the
// types below.
type errorType string

// Error types in addition to the statuses of outcomes.
const (
	// errorNotFound: the object does not exist, or belongs to another tenant.
	errorNotFound errorType = "not_found"
	// errorDetached: the daemon stopped streaming; the call continues.
	errorDetached errorType = "detached"
	// errorUnavailable: the query could not be answered at this time.
	errorUnavailable errorType = "unavailable"
)

// errorBody is OpenAI's error object with additional fields.
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
	// ResumeAt is the answer byte at which the stream may be resumed.
	ResumeAt int64 `json:"resume_at,omitempty"`
	// BackEndStatus and BackEndBody are an application's response to a call that it
	// ran and that failed.
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

// shouldRetry reports whether OpenAI's client libraries may automatically send a call
// again. Unless the caller has set the request identifier, the copy would be a new
// call.
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

// writeOutcome writes the error response for an outcome other than completed.
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
	_ = json.NewEncoder(w).Encode(value) // fails when the caller has disconnected
}
