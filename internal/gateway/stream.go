package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/mintpulley/mintpulley/internal/jsontext"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	doneEvent   = "data: [DONE]\n\n"
	// deadlineRenewal is how often a stream's write deadline is extended.
	deadlineRenewal = time.Second
)

// serveStream writes an answer as server-sent events. The status line is written with
// the first event, so that a refusal still gets its own status.
func (e *exchange) serveStream(withUsage bool) {
	stream := newEventStream(e, withUsage)
	e.follow(e.gateway.Limits.MaxPendingBytes, stream.write)
}

// eventStream writes OpenAI's chat completion chunks. Chunks with text are encoded by
// hand, since they are most of what a daemon writes.
type eventStream struct {
	*exchange
	withUsage bool
	created   int64
	// eventHead is the part of each event before its choices.
	eventHead []byte
	buffer    []byte
	begun     bool
	written   int64
	deadline  time.Time
}

func newEventStream(e *exchange, withUsage bool) *eventStream {
	s := &eventStream{exchange: e, withUsage: withUsage, created: time.Now().Unix(), written: e.call.ResumeAt}
	s.eventHead = append(s.eventHead, eventPrefix+`{"id":`...)
	s.eventHead = jsontext.AppendString(s.eventHead, string(e.call.RequestID))
	s.eventHead = append(s.eventHead, `,"object":"chat.completion.chunk","created":`...)
	s.eventHead = strconv.AppendInt(s.eventHead, s.created, 10)
	s.eventHead = append(s.eventHead, `,"model":`...)
	s.eventHead = jsontext.AppendString(s.eventHead, string(e.call.Model))
	s.eventHead = append(s.eventHead, `,"choices":[`...)
	return s
}

// write writes an update, and reports whether the stream goes on; false ends it before
// its outcome.
func (s *eventStream) write(n answerUpdate) bool {
	failed := n.outcome != nil && n.outcome.Status != structs.OutcomeCompleted
	if failed && !s.begun && len(n.text) == 0 {
		s.answerOutcome(*n.outcome)
		return true
	}
	if !s.begun && len(n.text) > 0 && !utf8.RuneStart(n.text[0]) {
		s.answerInsideCharacter()
		return false
	}
	s.buffer = s.buffer[:0]
	if len(n.text) > 0 {
		s.appendText(n)
	}
	switch {
	case n.overflowed:
		s.appendSlowReader()
	case failed:
		s.appendError(detailOf(*n.outcome, s.call.RequestID))
	case n.outcome != nil:
		s.appendCompletion(n.outcome)
	}
	if n.outcome != nil {
		s.recordOutcome(http.StatusOK, *n.outcome)
	}
	return s.send() && !n.overflowed
}

// answerInsideCharacter refuses to resume in the middle of a UTF-8 character, since a
// JSON string cannot hold a part of one. The call itself goes on.
func (s *eventStream) answerInsideCharacter() {
	s.status, s.reason = http.StatusBadRequest, structs.ReasonInvalidRequest
	s.setIdentityHeaders()
	writeError(s.w, s.status, errorDetail{
		Type:      errorDetached,
		Code:      structs.ReasonInvalidRequest,
		Param:     HeaderResumeAt,
		Message:   "The byte lies inside a character. Count the bytes of the UTF-8 text received.",
		RequestID: s.call.RequestID,
	})
}

// appendText adds the event for new answer text. Its mintpulley_offset is the number
// of answer bytes before it, for a caller that wants to resume.
func (s *eventStream) appendText(n answerUpdate) {
	s.buffer = append(s.buffer, s.eventHead...)
	if s.written == s.call.ResumeAt {
		s.buffer = append(s.buffer, `{"index":0,"delta":{"role":"assistant","content":`...)
	} else {
		s.buffer = append(s.buffer, `{"index":0,"delta":{"content":`...)
	}
	s.buffer = jsontext.AppendString(s.buffer, n.text)
	s.buffer = append(s.buffer, `},"finish_reason":null}],"mintpulley_offset":`...)
	s.buffer = strconv.AppendInt(s.buffer, n.offset, 10)
	s.buffer = append(s.buffer, '}')
	s.buffer = append(s.buffer, eventEnd...)
	s.written = n.offset + int64(len(n.text))
	s.countText(len(n.text))
}

// streamEvent is a chunk without text.
type streamEvent struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   structs.ModelName `json:"model"`
	Choices []streamChoice    `json:"choices"`
	Usage   *usage            `json:"usage,omitempty"`
	Offset  int64             `json:"mintpulley_offset"`
}

type streamChoice struct {
	Index        int         `json:"index"`
	Delta        streamDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type streamDelta struct {
	ToolCalls []streamToolCall `json:"tool_calls,omitempty"`
}

type streamToolCall struct {
	Index int `json:"index"`
	answerToolCall
}

// appendCompletion adds tool calls, the finish reason, the usage if requested, and the
// final [DONE] event.
func (s *eventStream) appendCompletion(outcome *structs.Outcome) {
	var delta streamDelta
	for i, call := range toolCallsOf(outcome.Answer.ToolCalls) {
		delta.ToolCalls = append(delta.ToolCalls, streamToolCall{Index: i, answerToolCall: call})
	}
	if len(delta.ToolCalls) > 0 {
		s.appendEvent(s.event([]streamChoice{{Delta: delta}}))
	}
	s.appendEvent(s.event([]streamChoice{{FinishReason: &outcome.FinishReason}}))
	if s.withUsage {
		counted := usageOf(outcome.Usage)
		event := s.event([]streamChoice{})
		event.Usage = &counted
		s.appendEvent(event)
	}
	s.buffer = append(s.buffer, doneEvent...)
}

func (s *eventStream) event(choices []streamChoice) streamEvent {
	return streamEvent{
		ID:      string(s.call.RequestID),
		Object:  "chat.completion.chunk",
		Created: s.created,
		Model:   s.call.Model,
		Choices: choices,
		Offset:  s.written,
	}
}

// appendSlowReader tells a caller that reads too slowly at which byte it may resume.
func (s *eventStream) appendSlowReader() {
	s.slowReader = true
	s.appendError(errorDetail{
		Type:      errorDetached,
		Code:      structs.ReasonConnectionLost,
		Message:   "The stream was read too slowly. Resume it with the same request identifier.",
		RequestID: s.call.RequestID,
		ResumeAt:  s.written,
	})
}

func (s *eventStream) appendError(detail errorDetail) { s.appendEvent(errorBody{Error: detail}) }

func (s *eventStream) appendEvent(value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return // unreachable: events consist of strings and numbers only
	}
	s.buffer = append(s.buffer, eventPrefix...)
	s.buffer = append(s.buffer, encoded...)
	s.buffer = append(s.buffer, eventEnd...)
}

func (s *eventStream) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.status = http.StatusOK
	s.setIdentityHeaders()
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// send writes the buffer, and reports whether the caller is still connected.
func (s *eventStream) send() bool {
	if len(s.buffer) == 0 {
		return true
	}
	s.begin()
	s.renewDeadline()
	if _, err := s.w.Write(s.buffer); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

func (s *eventStream) renewDeadline() {
	now := time.Now()
	if now.Sub(s.deadline) < deadlineRenewal {
		return
	}
	s.deadline = now
	_ = s.control.SetWriteDeadline(now.Add(s.gateway.Limits.WriteTimeout))
}
