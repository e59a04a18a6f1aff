package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// collector records the chunks of a stream.
type collector struct{ chunks []structs.Chunk }

func (c *collector) Chunks(chunks []structs.Chunk) { c.chunks = append(c.chunks, chunks...) }
func (c *collector) End(framework.AttemptEnd)      {}

func TestReadStream(t *testing.T) {
	const body = ": comment\n\n" +
		`data: {"choices":[{"index":0,"delta":{"content":"twenty "},"finish_reason":null}],"offset":0}` + "\n\n" +
		`data:{"id":"x","offset":7,"choices":[{"index":0,"delta":{"role":"assistant","content":"\u017eeml\u00ed"}}]}` + "\r\n\r\n" +
		`data: {"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"flour","arguments":"{\"kg\""}}]}}]}` + "\n\n" +
		`data: {"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":40}"}}]}}]}` + "\n\n" +
		`data: {"choices":[{"delta":{},"finish_reason":"tool_calls"}]}` + "\n\n" +
		`data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":5}},"hold_taken":true}` + "\n\n" +
		"data: [DONE]\n\n"
	var got collector
	end := readStream(strings.NewReader(body), &got)
	want := []structs.Chunk{{Offset: 0, Text: "twenty "}, {Offset: 7, Text: "žemlí"}}
	if diff := cmp.Diff(want, got.chunks); diff != "" {
		t.Errorf("chunks (-want +got):\n%s", diff)
	}
	wantEnd := framework.AttemptEnd{
		Kind: framework.EndCompleted, FinishReason: "tool_calls", HoldTaken: true,
		Usage:     structs.Usage{PromptTokens: 9, CachedTokens: 5, CompletionTokens: 4},
		ToolCalls: []structs.ToolCall{{ID: "c1", Name: "flour", Arguments: `{"kg":40}`}},
	}
	if diff := cmp.Diff(wantEnd, end); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
}

func TestBrokenStreamIsLost(t *testing.T) {
	for name, body := range map[string]string{
		"cut off":   `data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}],"offset":0}` + "\n\n",
		"malformed": "data: {\"choices\":\n\n",
		"empty":     "",
	} {
		if end := readStream(strings.NewReader(body), &collector{}); end.Kind != framework.EndLost {
			t.Errorf("%s: %s", name, end.Kind)
		}
	}
}

func TestEncodeRequestInOpenAIForm(t *testing.T) {
	encoded, err := encodeRequest(framework.EngineRequest{
		Model: "m",
		Messages: []structs.Message{
			{Role: "assistant", ToolCalls: []structs.ToolCall{{ID: "c1", Name: "flour", Arguments: "{}"}}},
			{Role: "tool", ToolCallID: "c1", Content: "40 kg"},
		},
		Parameters: json.RawMessage(`{"temperature":0.5,"stream":false}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Temperature float64           `json:"temperature"`
		Stream      bool              `json:"stream"`
		Messages    []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	const call = `{"role":"assistant","content":"","tool_calls":[{"id":"c1","type":"function","function":{"name":"flour","arguments":"{}"}}]}`
	if got.Temperature != 0.5 || !got.Stream || string(got.Messages[0]) != call {
		t.Errorf("request %s", encoded)
	}
	var list MessageList
	if err := json.Unmarshal([]byte("["+call+"]"), &list); err != nil || list[0].ToolCalls[0].Name != "flour" {
		t.Errorf("read back %+v, %v", list, err)
	}
}

// FuzzReadStream checks that no stream causes a panic and that scanTextEvent
// agrees with encoding/json.
func FuzzReadStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}],\"offset\":0}\n\ndata: [DONE]\n"))
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":-1},{\"index\":9999999}]}}]}\n"))
	f.Add([]byte("\n\r\ndata:\n"))
	f.Add([]byte(`{"id":"a","object":"chat.completion.chunk","created":17,"model":"m","choices":[{"index":0,"delta":{"content":"x "},"finish_reason":null}],"offset":4}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		readStream(strings.NewReader(string(body)), &collector{})
		chunk, isText := scanTextEvent(body)
		if !isText {
			return
		}
		var event Event
		if err := json.Unmarshal(body, &event); err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		if event.Offset != chunk.Offset || event.Choices[0].Delta.Content != chunk.Text {
			t.Errorf("%q read as %+v", body, chunk)
		}
	})
}

func BenchmarkTextEvent(b *testing.B) {
	line := []byte(`data: {"choices":[{"index":0,"delta":{"content":"loaves "},"finish_reason":null}],"offset":4096}` + "\n")
	parser := &eventParser{}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parser.parseLine(line); err != nil {
			b.Fatal(err)
		}
		parser.takeChunks()
	}
}
