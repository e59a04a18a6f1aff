package openai

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/httpdriver"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Paths of an engine's HTTP API.
const (
	PathCompletions = "/v1/chat/completions"
	PathAttempts    = "/scheduler/attempts"
	PathCancel      = "/scheduler/cancel"
	PathHolds       = "/scheduler/holds"
	PathRelease     = "/scheduler/holds/release"
	PathLoad        = "/scheduler/load"
	PathCacheEvents = "/scheduler/cache_events"
	PathOrders      = "/scheduler/orders"
	PathTransfer    = "/scheduler/transfer"
	// PathExport is requested by engines from each other for a transfer.
	PathExport = "/scheduler/export"
)

// HeaderRejected is set on responses to requests that certainly did not run.
const HeaderRejected = httpdriver.HeaderRejected

// RejectedDraining is the value of HeaderRejected when the engine is draining.
const RejectedDraining = httpdriver.RejectedDraining

// Request is the body of a completion request: OpenAI's fields, and the
// extension under "scheduler".
type Request struct {
	Model         string         `json:"model"`
	Messages      MessageList    `json:"messages"`
	MaximumTokens int64          `json:"max_completion_tokens,omitempty"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	Scheduler     Extension      `json:"scheduler"`
}

// StreamOptions requests the usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Extension holds the fields that extend OpenAI's protocol.
type Extension struct {
	Attempt      structs.AttemptID   `json:"attempt,omitempty"`
	Epoch        structs.Epoch       `json:"epoch,omitempty"`
	Adapter      structs.AdapterName `json:"adapter,omitempty"`
	AnswerPrefix string              `json:"answer_prefix,omitempty"`
	Priority     int                 `json:"priority,omitempty"`
	ResumeAt     int64               `json:"resume_at,omitempty"`
	ResumeOnly   bool                `json:"resume_only,omitempty"`
	Hold         structs.HoldID      `json:"hold,omitempty"`
	Discard      bool                `json:"discard,omitempty"`
	Program      structs.ProgramKey  `json:"program"`
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Event is one server-sent event of a streamed completion.
type Event struct {
	// ID, Object, Created and Model are for clients that do not know the
	// extension.
	ID      string   `json:"id,omitempty"`
	Object  string   `json:"object,omitempty"`
	Created int64    `json:"created,omitempty"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Offset is the number of bytes of answer text before this event.
	Offset int64 `json:"offset"`
	// HoldTaken is set on the last event if the requested hold is in place.
	HoldTaken bool `json:"hold_taken,omitempty"`
	// Cancelled is set on the last event of a cancelled attempt.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Choice is one choice of a streamed completion.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the new content of a choice.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
	// ToolCalls are fragments; those with the same index form one tool call.
	ToolCalls []ToolCallDelta `json:"tool_calls,omitempty"`
}

// ToolCallDelta is a fragment of a tool call.
type ToolCallDelta struct {
	Index    int      `json:"index"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function Function `json:"function"`
}

// Usage is the token usage in OpenAI's form.
type Usage struct {
	PromptTokens        int64               `json:"prompt_tokens"`
	CompletionTokens    int64               `json:"completion_tokens"`
	TotalTokens         int64               `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails holds the number of cached prompt tokens.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// CancelRequest is the body of a request to PathCancel.
type CancelRequest struct {
	Attempt structs.AttemptID `json:"attempt"`
}

// ReleaseRequest is the body of a request to PathRelease.
type ReleaseRequest struct {
	Hold structs.HoldID `json:"hold"`
}

// TransferRequest is the body of a request to PathTransfer: the engine fetches a
// program's cache from another.
type TransferRequest struct {
	From    structs.EngineID   `json:"from"`
	Program structs.ProgramKey `json:"program"`
	// Hold is the identifier under which the receiver pins the cache.
	Hold structs.HoldID `json:"hold,omitempty"`
}

// TransferAnswer holds the number of the program's tokens that the engine has
// cached.
type TransferAnswer struct {
	Tokens int64 `json:"tokens"`
}

// InspectQuery holds the query parameters of PathAttempts.
type InspectQuery struct {
	Attempt structs.AttemptID `url:"attempt"`
	Epoch   structs.Epoch     `url:"epoch"`
}

// EventsQuery holds the query parameters of PathCacheEvents.
type EventsQuery struct {
	After uint64 `url:"after"`
}

func fromWireUsage(usage *Usage) structs.Usage {
	if usage == nil {
		return structs.Usage{}
	}
	return structs.Usage{
		PromptTokens:     usage.PromptTokens,
		CachedTokens:     usage.PromptTokensDetails.CachedTokens,
		CompletionTokens: usage.CompletionTokens,
	}
}

func toWireRequest(request framework.EngineRequest) Request {
	return Request{
		Model:         string(request.Model),
		Messages:      request.Messages,
		MaximumTokens: request.MaximumTokens,
		Stream:        true,
		StreamOptions: &StreamOptions{IncludeUsage: true},
		Scheduler: Extension{
			Attempt:      request.Attempt,
			Epoch:        request.Epoch,
			Adapter:      request.Adapter,
			AnswerPrefix: request.AnswerPrefix,
			Priority:     request.Priority,
			ResumeAt:     request.ResumeAt,
			ResumeOnly:   request.ResumeOnly,
			Hold:         request.Hold,
			Discard:      request.Discard,
			Program:      request.Program,
			Deadline:     request.Deadline,
		},
	}
}
