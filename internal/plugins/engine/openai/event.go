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

// eventParser reads the lines of a stream. The end it holds is what the stream
// has said so far about how the attempt ended.
type eventParser struct {
	chunks    []structs.Chunk
	end       framework.AttemptEnd
	toolCalls []structs.ToolCall
}

// line takes one line; done is set at the mark of the end. Lines that are no
// data, comments for instance, change nothing.
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

// toolCall adds a piece to the tool call with its index.
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

// takeChunks returns the pieces read since the last call.
func (p *eventParser) takeChunks() []structs.Chunk {
	chunks := p.chunks
	p.chunks = nil
	return chunks
}

// Parts of the event of a token, as engines of the dialect write it.
var (
	textEventPrefix = []byte(`"choices":[{"index":0,"delta":{"content":`)
	textEventOffset = []byte(`},"finish_reason":null}],"offset":`)
	textEventSuffix = []byte(`}`)
)

// scanTextEvent reads the event of a token without encoding/json, which took a
// seventh of a daemon's processor time. Events of any other form are left to it.
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

// skipNames passes over the fields that say nothing new in each event.
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
