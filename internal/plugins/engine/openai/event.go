package openai

import (
	"bytes"
	"encoding/json"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/jsontext"
	"github.com/mintpulley/mintpulley/internal/structs"
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// eventParser parses the lines of a stream. Its end is the result of the attempt
// according to the events so far.
type eventParser struct {
	chunks    []structs.Chunk
	end       framework.AttemptEnd
	toolCalls []structs.ToolCall
}

// parseLine parses one line and reports whether it is the end marker. Lines
// without data, such as comments, are ignored.
func (p *eventParser) parseLine(line []byte) (done bool, malformed error) {
	data, isData := bytes.CutPrefix(line, dataPrefix)
	if !isData {
		return false, nil
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
		return true, nil
	}
	if chunk, isText := scanTextEvent(data); isText {
		p.chunks = append(p.chunks, chunk)
		return false, nil
	}
	var event Event
	if err := json.Unmarshal(data, &event); err != nil {
		return false, err
	}
	p.applyEvent(&event)
	return false, nil
}

func (p *eventParser) applyEvent(event *Event) {
	for i := range event.Choices {
		p.applyChoice(event, &event.Choices[i])
	}
	if event.Cancelled {
		p.end.Kind = framework.EndCancelled
	}
	if event.Usage != nil {
		p.end.Usage = fromWireUsage(event.Usage)
	}
	if event.HoldTaken {
		p.end.HoldTaken = true
	}
}

func (p *eventParser) applyChoice(event *Event, choice *Choice) {
	if choice.Delta.Content != "" {
		p.chunks = append(p.chunks, structs.Chunk{Offset: event.Offset, Text: choice.Delta.Content})
	}
	for _, piece := range choice.Delta.ToolCalls {
		p.addToolCallDelta(piece)
	}
	if choice.FinishReason != nil {
		p.end.Kind = framework.EndCompleted
		p.end.Message = ""
		p.end.FinishReason = *choice.FinishReason
		p.end.ToolCalls = p.toolCalls
	}
}

// maximumToolCalls bounds the tool calls of one answer.
const maximumToolCalls = 128

// addToolCallDelta appends a fragment to the tool call with its index.
func (p *eventParser) addToolCallDelta(piece ToolCallDelta) {
	if piece.Index < 0 || piece.Index >= maximumToolCalls {
		return
	}
	for len(p.toolCalls) <= piece.Index {
		p.toolCalls = append(p.toolCalls, structs.ToolCall{})
	}
	call := &p.toolCalls[piece.Index]
	call.ID += piece.ID
	call.Name += piece.Function.Name
	call.Arguments += piece.Function.Arguments
}

// takeChunks returns the chunks parsed since the last call.
func (p *eventParser) takeChunks() []structs.Chunk {
	chunks := p.chunks
	p.chunks = nil
	return chunks
}

// Fixed parts of the JSON of an event with text only, as engines write it.
var (
	textEventPrefix = []byte(`"choices":[{"index":0,"delta":{"content":`)
	textEventOffset = []byte(`},"finish_reason":null}],"offset":`)
	textEventSuffix = []byte(`}`)
)

// scanTextEvent parses an event with text only, without encoding/json, which is
// too slow to run for every token. It returns false for events of any other form.
func scanTextEvent(data []byte) (structs.Chunk, bool) {
	rest, ok := bytes.CutPrefix(data, []byte("{"))
	if !ok {
		return structs.Chunk{}, false
	}
	if rest, ok = bytes.CutPrefix(skipMetadataFields(rest), textEventPrefix); !ok {
		return structs.Chunk{}, false
	}
	text, rest, ok := jsontext.ScanString(rest)
	if !ok || text == "" {
		return structs.Chunk{}, false
	}
	if rest, ok = bytes.CutPrefix(rest, textEventOffset); !ok {
		return structs.Chunk{}, false
	}
	offset, rest, ok := jsontext.ScanInteger(rest)
	if !ok || !bytes.Equal(rest, textEventSuffix) {
		return structs.Chunk{}, false
	}
	return structs.Chunk{Offset: offset, Text: text}, true
}

// skipMetadataFields skips the fields that are the same in all events of a
// stream.
func skipMetadataFields(data []byte) []byte {
	for _, key := range [][]byte{[]byte(`"id":`), []byte(`"object":`), []byte(`"created":`), []byte(`"model":`)} {
		rest, found := bytes.CutPrefix(data, key)
		if !found {
			continue
		}
		rest, ok := jsontext.SkipScalar(rest)
		if !ok || len(rest) == 0 || rest[0] != ',' {
			return data
		}
		data = rest[1:]
	}
	return data
}
