package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Bounds of OpenAI's sampling parameters.
const (
	maximumTemperature = 2
	maximumPenalty     = 2
)

// textModality is the only supported modality.
const textModality = "text"

// checkCompletion refuses missing, out-of-range and unsupported fields.
func checkCompletion(request *completionRequest) *problem {
	for _, check := range []func(*completionRequest) *problem{checkRequired, checkBounds, checkUnsupported} {
		if refused := check(request); refused != nil {
			return refused
		}
	}
	return nil
}

func checkRequired(request *completionRequest) *problem {
	switch {
	case request.Model == "":
		return invalid("model", "Name a model.")
	case len(request.Messages) == 0:
		return invalid("messages", "Send at least one message.")
	case request.StreamOptions != nil && !request.Stream:
		return invalid("stream_options", "It is for streamed answers only.")
	default:
		return nil
	}
}

func checkBounds(request *completionRequest) *problem {
	switch {
	case request.MaxTokens < 0:
		return invalid("max_tokens", "Use a whole number from 1.")
	case request.MaxCompletionTokens < 0:
		return invalid("max_completion_tokens", "Use a whole number from 1.")
	case outside(request.Temperature, 0, maximumTemperature):
		return invalid("temperature", fmt.Sprintf("Use a number from 0 to %d.", maximumTemperature))
	case outside(request.TopP, 0, 1):
		return invalid("top_p", "Use a number from 0 to 1.")
	case outside(request.FrequencyPenalty, -maximumPenalty, maximumPenalty):
		return invalid("frequency_penalty", fmt.Sprintf("Use a number from -%d to %d.", maximumPenalty, maximumPenalty))
	case outside(request.PresencePenalty, -maximumPenalty, maximumPenalty):
		return invalid("presence_penalty", fmt.Sprintf("Use a number from -%d to %d.", maximumPenalty, maximumPenalty))
	default:
		return nil
	}
}

func outside(value *float64, low, high float64) bool {
	return value != nil && (*value < low || *value > high)
}

func checkUnsupported(request *completionRequest) *problem {
	switch {
	case request.N > 1:
		return invalid("n", "A call has one answer; make several calls for several.")
	case request.Logprobs || request.TopLogprobs > 0:
		return invalid("logprobs", "Log probabilities are not supported.")
	case slices.ContainsFunc(request.Modalities, func(modality string) bool { return modality != textModality }):
		return invalid("modalities", "Only text is supported.")
	case request.Store:
		return invalid("store", "Completions are not stored; ask for a program's history instead.")
	case present(request.Audio):
		return invalid("audio", "Audio is not supported.")
	case present(request.Prediction):
		return invalid("prediction", "Predicted output is not supported.")
	case present(request.WebSearchOptions):
		return invalid("web_search_options", "Web search is not supported.")
	case present(request.Moderation):
		return invalid("moderation", "Moderation is not supported.")
	case present(request.Functions):
		return invalid("functions", "Use tools instead.")
	case present(request.FunctionCall):
		return invalid("function_call", "Use tool_choice instead.")
	default:
		return nil
	}
}

func present(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }
