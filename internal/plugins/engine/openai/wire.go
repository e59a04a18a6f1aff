package openai

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/httpdriver"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Paths of an engine's HTTP interface.
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
	// PathExport is what engines ask of each other for a transfer.
	PathExport = "/scheduler/export"
)

// HeaderRejected is set on answers that say the request certainly did not run.
const HeaderRejected = httpdriver.HeaderRejected

// RejectedDraining is its value when the engine is leaving.
const RejectedDraining = httpdriver.RejectedDraining

// Request is the body of a completion: OpenAI's fields, and what a scheduler
// adds under "scheduler".
type Request struct {
	Model         string         `json:"model"`
	Messages      MessageList    `json:"messages"`
	MaximumTokens int64          `json:"max_completion_tokens,omitempty"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	Scheduler     Extension      `json:"scheduler"`
}

// StreamOptions asks for the usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Extension is what a scheduler adds to a completion.
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
	// Deadline is when nobody waits any more.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Event is one server-sent event of a streamed completion.
type Event struct {
	// ID, Object, Created and Model are for clients without the extension.
	ID      string   `json:"id,omitempty"`
	Object  string   `json:"object,omitempty"`
	Created int64    `json:"created,omitempty"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Offset is the number of answer bytes before this piece.
	Offset int64 `json:"offset"`
	// HoldTaken is set on the last event when the hold is in place.
	HoldTaken bool `json:"hold_taken,omitempty"`
	// Cancelled is set on the last event of a stopped attempt.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Choice is OpenAI's choice of a streamed completion.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the new text of a choice.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
	// ToolCalls come in pieces; those with the same index belong together.
	ToolCalls []ToolCallDelta `json:"tool_calls,omitempty"`
}

// ToolCallDelta is a piece of a tool call.
type ToolCallDelta struct {
	Index    int      `json:"index"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function Function `json:"function"`
}

// Usage is OpenAI's count of tokens.
type Usage struct {
	PromptTokens        int64               `json:"prompt_tokens"`
	CompletionTokens    int64               `json:"completion_tokens"`
	TotalTokens         int64               `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails tells how much of the prompt was cached.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// CancelRequest names the attempt to stop.
type CancelRequest struct {
	Attempt structs.AttemptID `json:"attempt"`
}

// ReleaseRequest names the hold to free.
type ReleaseRequest struct {
	Hold structs.HoldID `json:"hold"`
}

// TransferRequest asks an engine to fetch a program's cache from another.
type TransferRequest struct {
	From    structs.EngineID   `json:"from"`
	Program structs.ProgramKey `json:"program"`
	// Hold is what the receiver pins the cache under.
	Hold structs.HoldID `json:"hold,omitempty"`
}

// TransferAnswer tells how much of the program's cache is there now.
type TransferAnswer struct {
	Tokens int64 `json:"tokens"`
}

// InspectQuery is the query of an inspection.
type InspectQuery struct {
	Attempt structs.AttemptID `url:"attempt"`
	Epoch   structs.Epoch     `url:"epoch"`
}

// EventsQuery is the query for cache events.
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
