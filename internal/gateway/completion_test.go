package gateway

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestMalformedCompletionNamesTheField(t *testing.T) {
	cases := map[string]struct {
		body  string
		field string
	}{
		"cut off":              {`{"model":"m"`, "body"},
		"not JSON":             {`model=m`, "body"},
		"two objects":          {`{"model":"m","messages":[]} {}`, "body"},
		"wrong type":           {`{"model":7}`, "model"},
		"wrong type inside":    {`{"model":"m","messages":[{"role":7}]}`, "messages.role"},
		"unknown field":        {`{"model":"m","frobnicate":1}`, "frobnicate"},
		"no model":             {`{"messages":[{"role":"user","content":"x"}]}`, "model"},
		"no messages":          {`{"model":"m"}`, "messages"},
		"no role":              {`{"model":"m","messages":[{"content":"x"}]}`, "messages[0].role"},
		"unknown role":         {`{"model":"m","messages":[{"role":"baker","content":"x"}]}`, "messages[0].role"},
		"tool without call":    {`{"model":"m","messages":[{"role":"tool","content":"x"}]}`, "messages[0].tool_call_id"},
		"image":                {`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"},{"type":"image_url"}]}]}`, "messages[0].content[1].type"},
		"content is a number":  {`{"model":"m","messages":[{"role":"user","content":7}]}`, "messages[0].content"},
		"several answers":      {`{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`, "n"},
		"log probabilities":    {`{"model":"m","messages":[{"role":"user","content":"x"}],"logprobs":true}`, "logprobs"},
		"old functions":        {`{"model":"m","messages":[{"role":"user","content":"x"}],"functions":[]}`, "functions"},
		"audio":                {`{"model":"m","messages":[{"role":"user","content":"x"}],"audio":{}}`, "audio"},
		"temperature":          {`{"model":"m","messages":[{"role":"user","content":"x"}],"temperature":3}`, "temperature"},
		"negative maximum":     {`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`, "max_tokens"},
		"options, no stream":   {`{"model":"m","messages":[{"role":"user","content":"x"}],"stream_options":{}}`, "stream_options"},
		"metadata not strings": {`{"model":"m","metadata":{"sequence":1}}`, "metadata"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request, refused := decodeCompletion([]byte(test.body))
			if refused == nil {
				refused = fillModelCall(&structs.Call{}, request)
			}
			if refused == nil {
				t.Fatal("the request was accepted")
			}
			if refused.status != http.StatusBadRequest || refused.outcome.Status != structs.OutcomeNotRun {
				t.Errorf("status %d, outcome %s", refused.status, refused.outcome.Status)
			}
			if refused.outcome.Field != test.field || refused.outcome.Message == "" {
				t.Errorf("field %q (%s), want %q", refused.outcome.Field, refused.outcome.Message, test.field)
			}
		})
	}
}

func TestCompletionPassesToolsAndParameters(t *testing.T) {
	const body = `{"model":"m","user":"cook","temperature":0.5,"tools":[{"type":"function","function":{"name":"flour"}}],"messages":[
		{"role":"developer","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},
		{"role":"assistant","content":null,"refusal":null,"tool_calls":[{"id":"c1","type":"function","function":{"name":"flour","arguments":"{}"}}]},
		{"role":"tool","tool_call_id":"c1","content":"40 kg"}]}`
	request, refused := decodeCompletion([]byte(body))
	if refused != nil {
		t.Fatal(refused.outcome)
	}
	var call structs.Call
	if refused := fillModelCall(&call, request); refused != nil {
		t.Fatal(refused.outcome)
	}
	want := structs.Call{
		Kind:  structs.CallModel,
		Model: "m",
		Messages: []structs.Message{
			{Role: "developer", Content: "ab"},
			{Role: "assistant", ToolCalls: []structs.ToolCall{{ID: "c1", Name: "flour", Arguments: "{}"}}},
			{Role: "tool", ToolCallID: "c1", Content: "40 kg"},
		},
		Parameters: json.RawMessage(`{"temperature":0.5,"tools":[{"type":"function","function":{"name":"flour"}}]}`),
	}
	if diff := cmp.Diff(want, call); diff != "" {
		t.Errorf("call (-want +got):\n%s", diff)
	}
}

func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"stream_options":{"include_usage":true}}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"tool","tool_call_id":"c","content":[{"type":"text","text":"x"}]}],"metadata":{"end":"true"}}`))
	f.Add([]byte(`{"messages":[{}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, refused := decodeCompletion(body)
		if refused == nil {
			refused = fillModelCall(&structs.Call{}, request)
		}
		if refused != nil && (refused.outcome.Field == "" || refused.outcome.Message == "") {
			t.Errorf("a refusal without field or message: %+v", refused.outcome)
		}
	})
}
