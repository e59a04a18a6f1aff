package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/engine/openai"
	"github.com/mintpulley/mintpulley/internal/standin/control"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// requestLimit is the maximum size of a request in bytes, enough for a prompt
// of 670,000 tokens.
const requestLimit = 64 << 20

// completion is one completion request in its handler.
type completion struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	body    openai.Request
	attempt structs.AttemptID
	// plain requests come from clients without the scheduler's extension;
	// nobody can resume them, so they end with their connection.
	plain   bool
	created int64
	// tool is the tool to call instead of answering with text, "" for none.
	tool   string
	faults Faults
	// cut and stall are the faults drawn for this stream.
	cut, stall bool
	connection *connection
	began      bool
	sent       int64
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	faults := e.Faults.Get()
	c := &completion{engine: e, writer: w, request: r, faults: faults, created: time.Now().Unix()}
	if !c.read() {
		return
	}
	defer c.close()
	faults.Serve(e.chance, w, r, func() func() {
		c.cut = e.chance.Happens(faults.CutStreams)
		c.stall = e.chance.Happens(faults.StallStreams)
		c.connection = e.open(c.engineRequest())
		return c.answer
	})
}

// close stops reading, and cancels an attempt that nobody can resume.
func (c *completion) close() {
	if c.connection == nil {
		return
	}
	c.connection.detach()
	if c.plain {
		c.engine.queue.Do(func() { c.engine.model.Cancel(c.attempt, func() {}) })
	}
}

// read decodes and validates the request.
func (c *completion) read() bool {
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, requestLimit))
	if err == nil {
		err = json.Unmarshal(body, &c.body)
	}
	switch {
	case err != nil:
		writeError(c.writer, http.StatusBadRequest, err.Error())
		return false
	case len(c.body.Messages) == 0:
		writeError(c.writer, http.StatusBadRequest, "messages must not be empty")
		return false
	}
	c.tool = wantedTool(body, c.body.Messages)
	c.attempt = c.body.Scheduler.Attempt
	if c.attempt == "" {
		c.plain = true
		c.attempt = c.engine.plainAttempt()
	}
	return true
}

func (c *completion) engineRequest() framework.EngineRequest {
	extension := c.body.Scheduler
	return framework.EngineRequest{
		Attempt:       c.attempt,
		Epoch:         extension.Epoch,
		Model:         structs.ModelName(c.body.Model),
		Adapter:       extension.Adapter,
		Messages:      c.body.Messages,
		AnswerPrefix:  extension.AnswerPrefix,
		MaximumTokens: c.body.MaximumTokens,
		Priority:      extension.Priority,
		ResumeAt:      extension.ResumeAt,
		ResumeOnly:    extension.ResumeOnly,
		Hold:          extension.Hold,
		Program:       extension.Program,
		Deadline:      extension.Deadline,
	}
}

// answer streams the answer, or collects it for a client that did not ask for
// a stream.
func (c *completion) answer() {
	var whole strings.Builder
	for {
		chunks, end := c.connection.take()
		for _, chunk := range chunks {
			if c.body.Stream {
				c.writeChunk(chunk)
			} else {
				whole.WriteString(chunk.Text)
			}
		}
		if end != nil {
			c.writeEnd(*end, whole.String())
			return
		}
		if c.began {
			_ = http.NewResponseController(c.writer).Flush()
		}
		select {
		case <-c.request.Context().Done():
			return
		case <-c.connection.ready:
		}
	}
}

func (c *completion) writeChunk(chunk structs.Chunk) {
	if c.tool != "" {
		return
	}
	if c.sent >= c.faults.CutAfter {
		c.applyStreamFault()
	}
	c.sent += int64(len(chunk.Text))
	c.writeEvent(openai.Event{Offset: chunk.Offset, Choices: []openai.Choice{{Delta: openai.Delta{Content: chunk.Text}}}})
}

// applyStreamFault cuts or stalls the stream if either fault was drawn for it.
func (c *completion) applyStreamFault() {
	if !c.cut && !c.stall {
		return
	}
	if c.began {
		_ = http.NewResponseController(c.writer).Flush()
	}
	c.connection.detach()
	if c.stall {
		control.Hang(c.request)
	}
	control.AbortConnection()
}

func (c *completion) writeEvent(event openai.Event) {
	if !c.began {
		c.began = true
		c.writer.Header().Set("Content-Type", "text/event-stream")
	}
	if c.plain {
		event.ID, event.Object = string(c.attempt), "chat.completion.chunk"
		event.Created, event.Model = c.created, c.body.Model
	}
	data, _ := json.Marshal(event)
	_, _ = c.writer.Write(append(append([]byte("data: "), data...), "\n\n"...))
}

func (c *completion) writeEnd(end framework.AttemptEnd, whole string) {
	switch end.Kind {
	case framework.EndLost:
		control.AbortConnection()
	case framework.EndRejected, framework.EndFailed:
		c.writeRefusal(end)
	default:
		if c.body.Stream {
			c.writeStreamEnd(end)
			return
		}
		c.writeWhole(end, whole)
	}
}

// writeRefusal answers an attempt that was rejected or failed.
func (c *completion) writeRefusal(end framework.AttemptEnd) {
	if c.began {
		control.AbortConnection()
	}
	status := http.StatusServiceUnavailable
	switch {
	case end.Kind == framework.EndFailed:
		status = http.StatusInternalServerError
	case end.Message == fencedMessage:
		status = http.StatusConflict
	case end.Reason == structs.ReasonUnknownModel:
		status = http.StatusNotFound
	case end.Reason == structs.ReasonInvalidRequest:
		status = http.StatusBadRequest
	}
	if end.Kind == framework.EndRejected {
		c.writer.Header().Set(openai.HeaderRejected, rejectedValue(end))
	}
	if seconds := int(end.RetryAfter / time.Second); seconds > 0 {
		c.writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeError(c.writer, status, end.Message)
}

// fencedMessage is the message of enginemodel for a fenced attempt.
const fencedMessage = "fenced by a higher epoch"

func rejectedValue(end framework.AttemptEnd) string {
	if end.Draining {
		return openai.RejectedDraining
	}
	return end.Message
}

func (c *completion) writeStreamEnd(end framework.AttemptEnd) {
	if c.cut || c.stall {
		c.applyStreamFault()
	}
	reason := c.finishReason(end)
	choice := openai.Choice{FinishReason: &reason}
	if reason == finishToolCalls {
		choice.Delta.ToolCalls = c.toolCall()
	}
	c.writeEvent(openai.Event{
		Choices:   []openai.Choice{choice},
		Usage:     usageOf(end.Usage),
		HoldTaken: end.HoldTaken,
		Cancelled: end.Kind == framework.EndCancelled,
	})
	_, _ = c.writer.Write([]byte("data: [DONE]\n\n"))
}

func (c *completion) finishReason(end framework.AttemptEnd) string {
	switch {
	case end.FinishReason == "":
		return "stop"
	case c.tool != "" && end.FinishReason != enginemodel.FinishHandover:
		return finishToolCalls
	}
	return end.FinishReason
}

func usageOf(usage structs.Usage) *openai.Usage {
	return &openai.Usage{
		PromptTokens:        usage.PromptTokens,
		CompletionTokens:    usage.CompletionTokens,
		TotalTokens:         usage.PromptTokens + usage.CompletionTokens,
		PromptTokensDetails: openai.PromptTokensDetails{CachedTokens: usage.CachedTokens},
	}
}

// wholeCompletion is OpenAI's response that is not streamed.
type wholeCompletion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   *openai.Usage `json:"usage"`
}

type wholeChoice struct {
	Index        int          `json:"index"`
	Message      wholeMessage `json:"message"`
	FinishReason string       `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string                 `json:"role"`
	Content   string                 `json:"content"`
	ToolCalls []openai.ToolCallDelta `json:"tool_calls,omitempty"`
}

func (c *completion) writeWhole(end framework.AttemptEnd, text string) {
	message := wholeMessage{Role: "assistant", Content: text}
	reason := c.finishReason(end)
	if reason == finishToolCalls {
		message = wholeMessage{Role: "assistant", ToolCalls: c.toolCall()}
	}
	control.WriteJSON(c.writer, wholeCompletion{
		ID:      string(c.attempt),
		Object:  "chat.completion",
		Created: c.created,
		Model:   c.body.Model,
		Choices: []wholeChoice{{Message: message, FinishReason: reason}},
		Usage:   usageOf(end.Usage),
	})
}

// errorResponse is OpenAI's error object.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: errorDetail{Message: message, Type: "engine_error"}})
}
