package gateway

import (
	"net/http"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// completionResponse is OpenAI's chat completion.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   structs.ModelName  `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type usage struct {
	PromptTokens        int64               `json:"prompt_tokens"`
	CompletionTokens    int64               `json:"completion_tokens"`
	TotalTokens         int64               `json:"total_tokens"`
	PromptTokensDetails promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func usageOf(counted structs.Usage) usage {
	return usage{
		PromptTokens:        counted.PromptTokens,
		CompletionTokens:    counted.CompletionTokens,
		TotalTokens:         counted.PromptTokens + counted.CompletionTokens,
		PromptTokensDetails: promptTokensDetails{CachedTokens: counted.CachedTokens},
	}
}

func (e *exchange) serveUnstreamed() {
	e.follow(0, func(n answerUpdate) bool {
		if n.outcome != nil {
			e.answerCompletion(*n.outcome)
		}
		return true
	})
}

func (e *exchange) answerCompletion(outcome structs.Outcome) {
	if outcome.Status != structs.OutcomeCompleted {
		e.answerOutcome(outcome)
		return
	}
	e.recordOutcome(http.StatusOK, outcome)
	e.countText(len(outcome.Answer.Content))
	e.setIdentityHeaders()
	writeJSON(e.w, http.StatusOK, completionOf(e.call.RequestID, e.call.Model, outcome))
}

func completionOf(request structs.RequestID, model structs.ModelName, outcome structs.Outcome) completionResponse {
	answer := outcome.Answer
	answer.Role = roleAssistant
	return completionResponse{
		ID:      string(request),
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   model,
		Choices: []completionChoice{{Message: answerMessageOf(answer), FinishReason: outcome.FinishReason}},
		Usage:   usageOf(outcome.Usage),
	}
}
