package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func testExchange(headers map[string]string) *exchange {
	r := httptest.NewRequest("POST", "/v1/chat/completions", nil)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	g := New(Options{Limits: DefaultLimits()})
	e := newExchange(g, httptest.NewRecorder(), r, "completions")
	e.tenant = "village"
	return e
}

func TestCallFromOptions(t *testing.T) {
	e := testExchange(map[string]string{
		HeaderProgram: "morning/flour", HeaderRequestID: "r1", HeaderSequence: "3", HeaderResumeAt: "17",
		HeaderTrace: "t1", HeaderTimeout: "30s", HeaderClientRetry: "1",
	})
	options := optionsFromHeader(e.r.Header)
	if refused := options.merge(map[string]string{"template": "order", "repeatable": "false", "history": "append", "end": "true", "request_id": "r1", "mood": "good"}); refused != nil {
		t.Fatal(refused.outcome)
	}
	got, refused := e.newCall(options)
	if refused != nil {
		t.Fatal(refused.outcome)
	}
	want := &structs.Call{
		Key: structs.ProgramKey{Tenant: "village", Program: "morning/flour"}, Template: "order", RequestID: "r1",
		Sequence: 3, ResumeAt: 17, History: structs.HistoryAppend, EndProgram: true, Retry: true, TraceID: "t1",
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(structs.Call{}, "Deadline")); diff != "" {
		t.Errorf("call (-want +got):\n%s", diff)
	}
	if wait := got.Deadline.Sub(e.started); wait != 30*time.Second {
		t.Errorf("deadline after %s", wait)
	}
}

func TestCallWithoutIdentifiersGetsThem(t *testing.T) {
	e := testExchange(map[string]string{HeaderClientRetry: "2"})
	first, _ := e.newCall(callOptions{})
	second, _ := e.newCall(callOptions{})
	if first.Key == second.Key || first.RequestID == second.RequestID || !first.EndProgram || !first.Anonymous || first.Retry {
		t.Errorf("calls %+v and %+v", first, second)
	}
	same, _ := e.newCall(callOptions{requestID: "r1"})
	again, _ := e.newCall(callOptions{requestID: "r1"})
	if same.Key != again.Key || same.Anonymous || !same.Retry {
		t.Errorf("the same request sent again: %+v and %+v", same, again)
	}
}

func TestInvalidOptionsAreRefused(t *testing.T) {
	cases := map[string]struct {
		header string
		value  string
	}{
		"program with a space":        {HeaderProgram, "a b"},
		"program without a parent":    {HeaderProgram, "/child"},
		"empty sub-agent":             {HeaderProgram, "parent//child"},
		"sequence from zero":          {HeaderSequence, "0"},
		"sequence in words":           {HeaderSequence, "three"},
		"resumption of nothing":       {HeaderResumeAt, "5"},
		"resumption before the start": {HeaderResumeAt, "-1"},
		"unknown history":             {HeaderHistory, "some"},
		"end is neither":              {HeaderEnd, "maybe"},
		"unrepeatable without a name": {HeaderRepeatable, "false"},
		"timeout in words":            {HeaderTimeout, "soon"},
		"timeout too long":            {HeaderTimeout, "24h"},
		"trace with a quote":          {HeaderTrace, `a"b`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			e := testExchange(map[string]string{test.header: test.value})
			_, refused := e.newCall(optionsFromHeader(e.r.Header))
			if refused == nil {
				t.Fatal("the request was accepted")
			}
			if refused.outcome.Field == "" || refused.outcome.Status != structs.OutcomeNotRun {
				t.Errorf("outcome %+v", refused.outcome)
			}
		})
	}
}

func TestMetadataMustAgreeWithHeaders(t *testing.T) {
	options := callOptions{program: "a"}
	if refused := options.merge(map[string]string{"program": "b"}); refused == nil || refused.outcome.Field != "metadata.program" {
		t.Errorf("got %+v", refused)
	}
}

func FuzzCallOptions(f *testing.F) {
	f.Add("morning", "r1", "3", "17", "true", "append")
	f.Add("", "", "-1", "x", "", "full")
	f.Fuzz(func(t *testing.T, program, request, sequence, resumeAt, end, history string) {
		e := testExchange(nil)
		call, refused := e.newCall(callOptions{program: program, requestID: request, sequence: sequence, resumeAt: resumeAt, end: end, history: history})
		if refused != nil {
			return
		}
		if !validProgram(string(call.Key.Program)) || call.RequestID == "" || call.ResumeAt < 0 || call.Key.Tenant != "village" {
			t.Errorf("call %+v", call)
		}
	})
}
