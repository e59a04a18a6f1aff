package gateway

import (
	"encoding/json"
	"fmt"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Roles of messages.
const (
	roleSystem    = "system"
	roleDeveloper = "developer"
	roleUser      = "user"
	roleAssistant = "assistant"
	roleTool      = "tool"
)

// toolTypeFunction is the only supported type of tool call.
const toolTypeFunction = "function"

// requestMessage is one message; its content is text or a list of text parts. It
// accepts the additional fields of answers, so that callers may send them back.
type requestMessage struct {
	Role        string            `json:"role"`
	Content     json.RawMessage   `json:"content"`
	Name        string            `json:"name"`
	ToolCallID  string            `json:"tool_call_id"`
	ToolCalls   []requestToolCall `json:"tool_calls"`
	Refusal     json.RawMessage   `json:"refusal"`
	Annotations json.RawMessage   `json:"annotations"`
}

type requestToolCall struct {
	ID       string             `json:"id"`
	Type     string             `json:"type"`
	Index    int                `json:"index"`
	Function structuredFunction `json:"function"`
}

type structuredFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func convertMessage(position int, message *requestMessage) (structs.Message, *problem) {
	field := func(name string) string { return fmt.Sprintf("messages[%d].%s", position, name) }
	switch message.Role {
	case roleSystem, roleDeveloper, roleUser, roleAssistant:
	case roleTool:
		if message.ToolCallID == "" {
			return structs.Message{}, invalid(field("tool_call_id"), "Name the tool call that this answers.")
		}
	case "":
		return structs.Message{}, invalid(field("role"), "The role is missing.")
	default:
		return structs.Message{}, invalid(field("role"), "Use system, developer, user, assistant or tool.")
	}
	content, refused := convertContent(field("content"), message.Content)
	if refused != nil {
		return structs.Message{}, refused
	}
	converted := structs.Message{Role: message.Role, Content: content, Name: message.Name, ToolCallID: message.ToolCallID}
	for i, call := range message.ToolCalls {
		if call.Type != "" && call.Type != toolTypeFunction {
			return structs.Message{}, invalid(fmt.Sprintf("%s[%d].type", field("tool_calls"), i), "Only functions are supported.")
		}
		converted.ToolCalls = append(converted.ToolCalls, structs.ToolCall{ID: call.ID, Name: call.Function.Name, Arguments: call.Function.Arguments})
	}
	return converted, nil
}

func convertContent(field string, raw json.RawMessage) (string, *problem) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return "", invalid(field, "The text cannot be read.")
		}
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", invalid(field, "Use text or a list of parts.")
	}
	text := ""
	for i, part := range parts {
		if part.Type != textModality {
			return "", invalid(fmt.Sprintf("%s[%d].type", field, i), fmt.Sprintf("Content of type %q is not supported; only text is.", part.Type))
		}
		text += part.Text
	}
	return text, nil
}

// answerMessage is a message in OpenAI's format.
type answerMessage struct {
	Role       string           `json:"role"`
	Content    *string          `json:"content"`
	Name       string           `json:"name,omitempty"`
	ToolCallID string           `json:"tool_call_id,omitempty"`
	ToolCalls  []answerToolCall `json:"tool_calls,omitempty"`
}

type answerToolCall struct {
	ID       string             `json:"id"`
	Type     string             `json:"type"`
	Function structuredFunction `json:"function"`
}

// answerMessageOf converts a message. One with tool calls only has null content.
func answerMessageOf(message structs.Message) answerMessage {
	answer := answerMessage{Role: message.Role, Name: message.Name, ToolCallID: message.ToolCallID, ToolCalls: toolCallsOf(message.ToolCalls)}
	if message.Content != "" || len(message.ToolCalls) == 0 {
		answer.Content = &message.Content
	}
	return answer
}

func toolCallsOf(calls []structs.ToolCall) []answerToolCall {
	var converted []answerToolCall
	for _, call := range calls {
		converted = append(converted, answerToolCall{
			ID:       call.ID,
			Type:     toolTypeFunction,
			Function: structuredFunction{Name: call.Name, Arguments: call.Arguments},
		})
	}
	return converted
}
