package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// completionRequest is the body of a chat completion request.
type completionRequest struct {
	Model               string            `json:"model"`
	Messages            []requestMessage  `json:"messages"`
	Stream              bool              `json:"stream"`
	StreamOptions       *streamOptions    `json:"stream_options"`
	MaxTokens           int64             `json:"max_tokens"`
	MaxCompletionTokens int64             `json:"max_completion_tokens"`
	Metadata            map[string]string `json:"metadata"`
	engineParameters
	unsupportedFields
	ignoredFields
}

type streamOptions struct {
	IncludeUsage       bool `json:"include_usage"`
	IncludeObfuscation bool `json:"include_obfuscation"`
}

// engineParameters are passed to the engine unchanged.
type engineParameters struct {
	Temperature       *float64         `json:"temperature,omitempty"`
	TopP              *float64         `json:"top_p,omitempty"`
	FrequencyPenalty  *float64         `json:"frequency_penalty,omitempty"`
	PresencePenalty   *float64         `json:"presence_penalty,omitempty"`
	Seed              *int64           `json:"seed,omitempty"`
	Stop              json.RawMessage  `json:"stop,omitempty"`
	LogitBias         map[string]int64 `json:"logit_bias,omitempty"`
	Tools             json.RawMessage  `json:"tools,omitempty"`
	ToolChoice        json.RawMessage  `json:"tool_choice,omitempty"`
	ParallelToolCalls *bool            `json:"parallel_tool_calls,omitempty"`
	ResponseFormat    json.RawMessage  `json:"response_format,omitempty"`
	ReasoningEffort   string           `json:"reasoning_effort,omitempty"`
	Verbosity         string           `json:"verbosity,omitempty"`
}

// unsupportedFields are fields of OpenAI's API that are refused unless they have their
// default effect.
type unsupportedFields struct {
	N                int64           `json:"n"`
	Logprobs         bool            `json:"logprobs"`
	TopLogprobs      int64           `json:"top_logprobs"`
	Audio            json.RawMessage `json:"audio"`
	Modalities       []string        `json:"modalities"`
	Prediction       json.RawMessage `json:"prediction"`
	WebSearchOptions json.RawMessage `json:"web_search_options"`
	Moderation       json.RawMessage `json:"moderation"`
	Functions        json.RawMessage `json:"functions"`
	FunctionCall     json.RawMessage `json:"function_call"`
	Store            bool            `json:"store"`
}

// ignoredFields do not affect the answer; they are accepted and ignored.
type ignoredFields struct {
	User                 string          `json:"user"`
	SafetyIdentifier     string          `json:"safety_identifier"`
	PromptCacheKey       string          `json:"prompt_cache_key"`
	PromptCacheRetention string          `json:"prompt_cache_retention"`
	PromptCacheOptions   json.RawMessage `json:"prompt_cache_options"`
	ServiceTier          string          `json:"service_tier"`
}

func (e *exchange) serveCompletion() {
	request, refused := e.readCompletion()
	if refused != nil {
		e.refuse(refused)
		return
	}
	options := optionsFromHeader(e.r.Header)
	if refused := options.merge(request.Metadata); refused != nil {
		e.refuse(refused)
		return
	}
	call, refused := e.newCall(options)
	if refused != nil {
		e.refuse(refused)
		return
	}
	if refused := fillModelCall(call, request); refused != nil {
		e.refuse(refused)
		return
	}
	e.call = call
	if request.Stream {
		e.serveStream(request.StreamOptions != nil && request.StreamOptions.IncludeUsage)
		return
	}
	e.serveUnstreamed()
}

func (e *exchange) readCompletion() (*completionRequest, *problem) {
	body, release, refused := e.readBody()
	defer release()
	if refused != nil {
		return nil, refused
	}
	return decodeCompletion(body)
}

// decodeCompletion decodes a body strictly: an unknown field would otherwise be
// ignored silently.
func decodeCompletion(body []byte) (*completionRequest, *problem) {
	request := &completionRequest{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return nil, malformed(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("body", "Something follows the JSON object.")
	}
	return request, nil
}

// unknownFieldPrefix is the prefix of encoding/json's error for an unknown field,
// which has no type of its own.
const unknownFieldPrefix = "json: unknown field "

// malformed returns the refusal of a body that cannot be decoded, with the field and
// the reason.
func malformed(err error) *problem {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		field := wrongType.Field
		if field == "" {
			field = "body"
		}
		return invalid(field, fmt.Sprintf("A JSON %s stands where %s is expected (byte %d).", wrongType.Value, jsonName(wrongType.Type.Kind().String()), wrongType.Offset))
	case errors.As(err, &syntax):
		return invalid("body", fmt.Sprintf("The JSON is malformed at byte %d: %s.", syntax.Offset, syntax.Error()))
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return invalid("body", "The JSON ends early.")
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		field := strings.Trim(strings.TrimPrefix(err.Error(), unknownFieldPrefix), `"`)
		if field == "" {
			field = "body"
		}
		return invalid(field, "The field is not known.")
	default:
		return invalid("body", "The JSON cannot be read: "+err.Error())
	}
}

// jsonName returns the JSON name for a kind of Go type.
func jsonName(kind string) string {
	switch kind {
	case "struct", "map":
		return "an object"
	case "slice":
		return "an array"
	case "bool":
		return "a boolean"
	case "string":
		return "a string"
	default:
		return "a number"
	}
}

func fillModelCall(call *structs.Call, request *completionRequest) *problem {
	if refused := checkCompletion(request); refused != nil {
		return refused
	}
	call.Kind = structs.CallModel
	call.Model = structs.ModelName(request.Model)
	call.MaximumTokens = max(request.MaxCompletionTokens, request.MaxTokens)
	call.Parameters = request.engineParameters.encode()
	call.Messages = make([]structs.Message, 0, len(request.Messages))
	for i := range request.Messages {
		converted, refused := convertMessage(i, &request.Messages[i])
		if refused != nil {
			return refused
		}
		call.Messages = append(call.Messages, converted)
	}
	return nil
}

// encode returns the parameters as a JSON object, nil when there are none.
func (p engineParameters) encode() json.RawMessage {
	encoded, err := json.Marshal(p)
	if err != nil || string(encoded) == "{}" {
		return nil
	}
	return encoded
}
