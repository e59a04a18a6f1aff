package engine

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/plugins/engine/openai"
)

const (
	finishToolCalls = "tool_calls"
	// toolCallTokens is the length in tokens of the answer text from which a
	// tool call's ID is made.
	toolCallTokens = 6
)

// offeredTools is the part of a request that lists tools.
type offeredTools struct {
	Tools []struct {
		Function struct {
			Name string `json:"name"`
		} `json:"function"`
	} `json:"tools"`
}

// wantedTool returns the tool that "[[tool=NAME]]" in the last user message
// names, if the request offers it; "" otherwise.
func wantedTool(body []byte, messages openai.MessageList) string {
	name, directed := enginemodel.DirectedTool(messages)
	if !directed {
		return ""
	}
	var offered offeredTools
	if json.Unmarshal(body, &offered) != nil {
		return ""
	}
	var names []string
	for _, tool := range offered.Tools {
		names = append(names, tool.Function.Name)
	}
	if !slices.Contains(names, name) {
		return ""
	}
	return name
}

// toolCall returns the tool call that replaces the answer text; its ID is the
// same at every engine.
func (c *completion) toolCall() []openai.ToolCallDelta {
	id := strings.ReplaceAll(strings.Join(Answer(c.body.Messages, toolCallTokens), ""), " ", "")
	return []openai.ToolCallDelta{{
		ID:       "call_" + id,
		Type:     "function",
		Function: openai.Function{Name: c.tool, Arguments: "{}"},
	}}
}
