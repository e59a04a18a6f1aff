package structs

import (
	"encoding/json"
	"time"
)

// CallKind is the kind of back end that serves a call.
type CallKind string

// Kinds of call.
const (
	CallModel       CallKind = "model"
	CallApplication CallKind = "application"
	CallTool        CallKind = "tool"
)

// HistoryMode is how the messages of a model call relate to the stored history
// of the program.
type HistoryMode string

// Modes of history.
const (
	// HistoryFull: the messages are the whole conversation; they must start with
	// the stored history.
	HistoryFull HistoryMode = "full"
	// HistoryAppend: the messages are appended to the stored history.
	HistoryAppend HistoryMode = "append"
)

// ToolCall is a model's request that the caller run a tool.
type ToolCall struct {
	ID        string `json:"id"`
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// Message is one turn of a conversation.
type Message struct {
	Role       string     `json:"role"`
	Content    string     `json:"content"`
	Name       string     `json:"name,omitempty"`
	ToolCallID string     `json:"tool_call_id,omitempty"`
	ToolCalls  []ToolCall `json:"tool_calls,omitempty"`
}

// Call is one request of a program, as accepted by a gateway.
type Call struct {
	Key       ProgramKey   `json:"key"`
	Template  TemplateName `json:"template"`
	RequestID RequestID    `json:"request_id"`
	// Sequence orders the calls of a program, from 1. 0 means that the shard's
	// leader assigns the next number.
	Sequence   uint64      `json:"sequence"`
	Kind       CallKind    `json:"kind"`
	Repeatable bool        `json:"repeatable"`
	History    HistoryMode `json:"history,omitempty"`
	// Model, Messages and MaximumTokens are for model calls.
	Model         ModelName   `json:"model,omitempty"`
	Adapter       AdapterName `json:"adapter,omitempty"`
	Messages      []Message   `json:"messages,omitempty"`
	MaximumTokens int64       `json:"maximum_tokens,omitempty"`
	// Parameters is a JSON object of engine parameters (sampling, tools), which
	// is passed through unchanged; empty for none.
	Parameters json.RawMessage `json:"parameters,omitempty"`
	// Target, Operation and Body are for application and tool calls.
	Target    string `json:"target,omitempty"`
	Operation string `json:"operation,omitempty"`
	Body      []byte `json:"body,omitempty"`
	// EndProgram ends the program once this call has its outcome.
	EndProgram bool `json:"end_program,omitempty"`
	// Anonymous is set when the program was created for this call alone; it ends
	// with the call, even if the call is refused.
	Anonymous bool `json:"anonymous,omitempty"`
	// ResumeAt is the number of bytes of answer text that the caller has.
	ResumeAt int64 `json:"resume_at,omitempty"`
	// Retry is set when the caller may have sent the request before, to this
	// daemon or another. A daemon must then ask the shard's leader before it
	// answers that the call was not run.
	Retry bool `json:"retry,omitempty"`
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
	// TraceID correlates the log lines of one request across daemons.
	TraceID string `json:"trace_id,omitempty"`
}

// Usage is the token usage of a model call.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// OutcomeStatus is how a call ended.
type OutcomeStatus string

// Ends of a call.
const (
	// OutcomeCompleted: the complete answer is recorded.
	OutcomeCompleted OutcomeStatus = "completed"
	// OutcomeFailed: the back end ran the call and answered with an error.
	OutcomeFailed OutcomeStatus = "failed"
	// OutcomeNotRun: the call was certainly not run.
	OutcomeNotRun OutcomeStatus = "not_run"
	// OutcomeUnknown: the call may or may not have been run.
	OutcomeUnknown OutcomeStatus = "outcome_unknown"
	// OutcomeCancelled: the call was cancelled on request and may have started.
	OutcomeCancelled OutcomeStatus = "cancelled"
)

// Reason is a stable, machine-readable cause of a refusal or failure.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonInvalidRequest   Reason = "invalid_request"
	ReasonUnknownTemplate  Reason = "unknown_template"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownProgram   Reason = "unknown_program"
	ReasonModelNotAllowed  Reason = "model_not_allowed"
	ReasonToolNotAllowed   Reason = "tool_not_allowed"
	ReasonBudgetExhausted  Reason = "budget_exhausted"
	ReasonTenantQuota      Reason = "tenant_quota"
	ReasonOverloaded       Reason = "overloaded"
	ReasonMemoryFull       Reason = "memory_full"
	ReasonDeadline         Reason = "deadline"
	ReasonProgramEnded     Reason = "program_ended"
	ReasonSequenceConflict Reason = "sequence_conflict"
	ReasonRequestConflict  Reason = "request_conflict"
	ReasonHistoryConflict  Reason = "history_conflict"
	ReasonTurnLimit        Reason = "turn_limit"
	ReasonTimeLimit        Reason = "time_limit"
	ReasonRepetitionLimit  Reason = "repetition_limit"
	ReasonNoMajority       Reason = "no_majority"
	ReasonNoConfiguration  Reason = "no_configuration"
	ReasonStopping         Reason = "stopping"
	ReasonNoEngine         Reason = "no_engine"
	ReasonBackEnd          Reason = "back_end_error"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonCancelled        Reason = "cancelled"
	ReasonCompleted        Reason = "completed"
	ReasonStalled          Reason = "stalled"
	// ReasonRecordsLost: all replicas of the program's records were lost, and
	// the platform's log does not contain the answer either.
	ReasonRecordsLost Reason = "records_lost"
	// ReasonHistoryGap: turns of the program may be missing; the caller must
	// send the whole conversation to restore them.
	ReasonHistoryGap Reason = "history_gap"
)

// Outcome is the recorded result of a call.
type Outcome struct {
	Status OutcomeStatus `json:"status"`
	Reason Reason        `json:"reason,omitempty"`
	// Field names the offending field of a refused request.
	Field   string `json:"field,omitempty"`
	Message string `json:"message,omitempty"`
	// RetryAfter is when a refused caller may retry.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Answer is the model's answer; Body is the application's.
	Answer       Message `json:"answer,omitzero"`
	FinishReason string  `json:"finish_reason,omitempty"`
	Body         []byte  `json:"body,omitempty"`
	BodyStatus   int     `json:"body_status,omitempty"`
	Usage        Usage   `json:"usage,omitzero"`
	Cost         Cost    `json:"cost,omitempty"`
}

// Refused returns the outcome of a call that was certainly not run.
func Refused(reason Reason, field, message string, retryAfter time.Duration) Outcome {
	return Outcome{
		Status:     OutcomeNotRun,
		Reason:     reason,
		Field:      field,
		Message:    message,
		RetryAfter: retryAfter,
	}
}

// Chunk is one part of a streamed answer.
type Chunk struct {
	// Offset is the number of bytes of answer text before this chunk. It counts
	// bytes because token boundaries differ between engines and are not
	// recorded.
	Offset int64  `json:"o"`
	Text   string `json:"t"`
}
