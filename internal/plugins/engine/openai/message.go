package openai

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// MessageList is a prompt that is encoded in OpenAI's form.
type MessageList []structs.Message

// wireMessage is a message in OpenAI's form.
type wireMessage struct {
	Role       string         `json:"role"`
	Content    string         `json:"content"`
	Name       string         `json:"name,omitempty"`
	ToolCallID string         `json:"tool_call_id,omitempty"`
	ToolCalls  []wireToolCall `json:"tool_calls,omitempty"`
}

type wireToolCall struct {
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Function Function `json:"function"`
}

// Function is the name of a function and its arguments as JSON text.
type Function struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// toolTypeFunction is the only supported type of tool call.
const toolTypeFunction = "function"

// MarshalJSON implements json.Marshaler.
func (l MessageList) MarshalJSON() ([]byte, error) {
	wire := make([]wireMessage, len(l))
	for i, message := range l {
		wire[i] = wireMessage{Role: message.Role, Content: message.Content, Name: message.Name, ToolCallID: message.ToolCallID}
		for _, call := range message.ToolCalls {
			wire[i].ToolCalls = append(wire[i].ToolCalls, wireToolCall{
				ID:       call.ID,
				Type:     toolTypeFunction,
				Function: Function{Name: call.Name, Arguments: call.Arguments},
			})
		}
	}
	return json.Marshal(wire)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *MessageList) UnmarshalJSON(data []byte) error {
	var wire []wireMessage
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	*l = make(MessageList, len(wire))
	for i, message := range wire {
		(*l)[i] = structs.Message{Role: message.Role, Content: message.Content, Name: message.Name, ToolCallID: message.ToolCallID}
		for _, call := range message.ToolCalls {
			(*l)[i].ToolCalls = append((*l)[i].ToolCalls, structs.ToolCall{ID: call.ID, Name: call.Function.Name, Arguments: call.Function.Arguments})
		}
	}
	return nil
}

// errParameters is returned for parameters that are not a JSON object.
var errParameters = eris.New("openai: the parameters are not a JSON object")

// encodeRequest returns the body of a request: the caller's parameters, followed
// by the fields of the request, which take precedence over parameters of the
// same name.
func encodeRequest(request framework.EngineRequest) ([]byte, error) {
	encoded, err := json.Marshal(toWireRequest(request))
	if err != nil {
		return nil, eris.Wrap(err, "openai: encode request")
	}
	parameters := request.Parameters
	if len(parameters) <= len("{}") {
		return encoded, nil
	}
	if parameters[0] != '{' || parameters[len(parameters)-1] != '}' {
		return nil, errParameters
	}
	joined := make([]byte, 0, len(parameters)+len(encoded))
	joined = append(joined, parameters[:len(parameters)-1]...)
	joined = append(joined, ',')
	return append(joined, encoded[1:]...), nil
}
