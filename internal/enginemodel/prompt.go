package enginemodel

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// maximumRememberedPrograms limits the programs whose last prompt a
	// PromptReader remembers, maximumRememberedBytes the total text of those
	// prompts.
	maximumRememberedPrograms = 4096
	maximumRememberedBytes    = 64 << 20
)

// PromptReader turns prompts into hashes and counts. It remembers the prompt
// of each program's last call, since the next call usually extends it. It is
// not safe for concurrent use.
type PromptReader struct {
	// AnswerTokens is the default length of an answer, used when the prompt
	// sets none.
	AnswerTokens int64
	lastPrompts  map[structs.ProgramKey]*hashedPrompt
	order        []structs.ProgramKey
	bytes        int64
}

// hashedPrompt is a prompt with its block hashes.
type hashedPrompt struct {
	messages []structs.Message
	blocks   []structs.BlockHash
	hasher   prefix.Hasher
}

// NewPromptReader returns a reader that remembers no prompts.
func NewPromptReader(answerTokens int64) *PromptReader {
	return &PromptReader{AnswerTokens: answerTokens, lastPrompts: map[structs.ProgramKey]*hashedPrompt{}}
}

// Read returns the model's request for an engine request.
func (r *PromptReader) Read(request framework.EngineRequest) Request {
	prompt := r.prompt(request.Program, request.Messages)
	answer := NewAnswer(prompt.hasher)
	tokens, cut := r.answerTokens(request)
	whole := structs.Message{Role: "assistant", Content: answer.Text(0, tokens*prefix.BytesPerToken)}
	after := prompt.hasher
	return Request{
		Attempt:           request.Attempt,
		Epoch:             request.Epoch,
		Program:           request.Program,
		Model:             request.Model,
		Adapter:           request.Adapter,
		Priority:          request.Priority,
		Hold:              request.Hold,
		Discard:           request.Discard,
		Deadline:          request.Deadline,
		Blocks:            prompt.blocks,
		PromptTokens:      prompt.hasher.Tokens(),
		AnswerBlocks:      after.Write(whole, nil),
		AnswerTokens:      tokens,
		Truncated:         cut,
		Answer:            answer,
		AnswerPrefixBytes: int64(len(request.AnswerPrefix)),
		ResumeAt:          request.ResumeAt,
		ResumeOnly:        request.ResumeOnly,
	}
}

func (r *PromptReader) answerTokens(request framework.EngineRequest) (int64, bool) {
	tokens, directed := DirectedTokens(request.Messages)
	if !directed {
		tokens = r.AnswerTokens
	}
	if request.MaximumTokens > 0 && request.MaximumTokens < tokens {
		return request.MaximumTokens, true
	}
	return tokens, false
}

func (r *PromptReader) prompt(key structs.ProgramKey, messages []structs.Message) *hashedPrompt {
	known := r.lastPrompts[key]
	if known == nil {
		r.order = append(r.order, key)
	}
	next := &hashedPrompt{}
	if known != nil && startsWith(messages, known.messages) {
		next.hasher = known.hasher
		next.blocks = slices.Clip(known.blocks)
		next.messages = known.messages
	}
	for _, message := range messages[len(next.messages):] {
		next.blocks = next.hasher.Write(message, next.blocks)
	}
	next.messages = slices.Clone(messages)
	r.bytes += next.bytes()
	if known != nil {
		r.bytes -= known.bytes()
	}
	r.lastPrompts[key] = next
	r.forgetOldest()
	return next
}

// forgetOldest enforces the limits, keeping at least the newest prompt.
func (r *PromptReader) forgetOldest() {
	for len(r.order) > 1 && (len(r.order) > maximumRememberedPrograms || r.bytes > maximumRememberedBytes) {
		r.bytes -= r.lastPrompts[r.order[0]].bytes()
		delete(r.lastPrompts, r.order[0])
		r.order = r.order[1:]
	}
}

// bytes returns the approximate length of the prompt's text.
func (p *hashedPrompt) bytes() int64 { return p.hasher.Tokens() * prefix.BytesPerToken }

func startsWith(messages, beginning []structs.Message) bool {
	if len(messages) < len(beginning) {
		return false
	}
	return slices.EqualFunc(messages[:len(beginning)], beginning, equalMessages)
}

func equalMessages(a, b structs.Message) bool {
	return a.Content == b.Content && a.Role == b.Role && a.Name == b.Name &&
		a.ToolCallID == b.ToolCallID && slices.Equal(a.ToolCalls, b.ToolCalls)
}
