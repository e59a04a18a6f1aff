package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"

	"github.com/mintpulley/mintpulley/internal/gateway"
)

func TestProgramOfManyCalls(t *testing.T) {
	ctx, name := testContext(t), uniqueName(t, "p")
	var messages []openai.ChatCompletionMessageParamUnion
	type turn struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	var spoken []turn
	for i := range 5 {
		question := fmt.Sprintf("Turn %d: how many loaves?", i)
		messages = append(messages, openai.UserMessage(question))
		api := client(t, i%3, gateway.HeaderProgram, name)
		completion, err := api.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: testModel, Messages: messages})
		if err != nil {
			t.Fatal(err)
		}
		answer := completion.Choices[0].Message
		if answer.Content == "" || completion.Usage.CompletionTokens == 0 || completion.Choices[0].FinishReason != "stop" {
			t.Fatalf("turn %d: %s", i, completion.RawJSON())
		}
		messages = append(messages, answer.ToParam())
		spoken = append(spoken, turn{"user", question}, turn{"assistant", answer.Content})
	}
	view := program(t, 1, name)
	if view.State != "running" || view.Turns != 5 || view.Spent == 0 || view.Reserved != 0 || len(view.OpenCalls) != 0 {
		t.Errorf("program %+v", view)
	}
	_, history := call[struct{ Messages []turn }](t, 2, villageKey, http.MethodGet, "/v1/programs/"+name+"/history", "")
	if diff := cmp.Diff(spoken, history.Messages); diff != "" {
		t.Errorf("history (-want +got):\n%s", diff)
	}
}

func TestSubAgentAndToolPause(t *testing.T) {
	ctx, name := testContext(t), uniqueName(t, "p")
	parent, child := client(t, 0, gateway.HeaderProgram, name), client(t, 1, gateway.HeaderProgram, name+"/flour")
	if _, err := parent.Chat.Completions.New(ctx, completionParams("Which flour is left?")); err != nil {
		t.Fatal(err)
	}
	if _, err := child.Chat.Completions.New(ctx, completionParams("Count the flour.")); err != nil {
		t.Fatal(err)
	}
	status, order := call[struct{ Accepted bool }](t, 2, villageKey, http.MethodPost, "/v1/applications/wholesale/bread_order", `{"loaves":20}`,
		gateway.HeaderProgram, name, gateway.HeaderRequestID, "order", gateway.HeaderRepeatable, "false")
	if status != http.StatusOK || !order.Accepted {
		t.Errorf("order: status %d, %+v", status, order)
	}
	if before, after := program(t, 0, name), program(t, 0, name+"%2Fflour"); before.Spent != after.Spent {
		t.Errorf("the sub-agent's budget is not its family's: %d and %d", before.Spent, after.Spent)
	}
	status, ended := call[programView](t, 1, villageKey, http.MethodPost, "/v1/programs/"+name+"/end", "")
	if status != http.StatusOK || ended.State != "ended" || ended.EndReason != "completed" {
		t.Errorf("end: status %d, %+v", status, ended)
	}
	_, err := child.Chat.Completions.New(ctx, completionParams("Count again."))
	if refused := apiError(t, err); refused.Code != "program_ended" || refused.Type != "not_run" {
		t.Errorf("the sub-agent did not end with its parent: %v", refused)
	}
}

func TestCallsArriveOutOfOrder(t *testing.T) {
	ctx, name := testContext(t), uniqueName(t, "p")
	begin := client(t, 0, gateway.HeaderProgram, name, gateway.HeaderRequestID, "first", gateway.HeaderSequence, "1", gateway.HeaderHistory, "append")
	if _, err := begin.Chat.Completions.New(ctx, completionParams("one")); err != nil {
		t.Fatal(err)
	}
	// The third call arrives before the second, each at a different daemon.
	answers := make([]string, 4)
	var group sync.WaitGroup
	for _, sequence := range []int{3, 2} {
		api := client(t, sequence-1, gateway.HeaderProgram, name, gateway.HeaderHistory, "append",
			gateway.HeaderRequestID, fmt.Sprintf("call-%d", sequence), gateway.HeaderSequence, fmt.Sprint(sequence))
		group.Go(func() {
			completion, err := api.Chat.Completions.New(ctx, completionParams(fmt.Sprintf("question %d", sequence)))
			if err != nil {
				t.Error(err)
				return
			}
			answers[sequence] = completion.Choices[0].Message.Content
		})
	}
	group.Wait()
	for sequence := 2; sequence <= 3; sequence++ {
		if asked := request(t, name, fmt.Sprintf("call-%d", sequence)); answers[sequence] == "" || asked.Completion.Choices[0].Message.Content != answers[sequence] {
			t.Errorf("call %d got %q", sequence, answers[sequence])
		}
	}
	if view := program(t, 0, name); len(view.SettledCalls) != 3 || view.SettledCalls[1].RequestID != "call-2" {
		t.Errorf("order of calls %+v", view.SettledCalls)
	}
}

func request(t *testing.T, program, name string) requestView {
	t.Helper()
	query := url.Values{"program": {program}, "request": {name}}
	status, view := call[requestView](t, 0, villageKey, http.MethodGet, "/v1/requests?"+query.Encode(), "")
	if status != http.StatusOK {
		t.Fatalf("request %s: status %d", name, status)
	}
	return view
}

func TestTenantsAreIsolated(t *testing.T) {
	ctx, name := testContext(t), uniqueName(t, "p")
	if _, err := client(t, 0, gateway.HeaderProgram, name, gateway.HeaderRequestID, "r").Chat.Completions.New(ctx, completionParams("secret")); err != nil {
		t.Fatal(err)
	}
	paths := map[string]string{
		http.MethodGet + " /v1/programs/%s":                      "",
		http.MethodGet + " /v1/programs/%s/history":              "",
		http.MethodPost + " /v1/programs/%s/end":                 "",
		http.MethodGet + " /v1/requests?request=r&program=%s":    "",
		http.MethodDelete + " /v1/requests?request=r&program=%s": "",
	}
	for path := range paths {
		var method, pattern string
		if _, err := fmt.Sscan(path, &method, &pattern); err != nil {
			t.Fatal(err)
		}
		status, others := call[failure](t, 0, cityKey, method, fmt.Sprintf(pattern, name), "")
		_, nobodys := call[failure](t, 0, cityKey, method, fmt.Sprintf(pattern, "nobody"), "")
		if status != http.StatusNotFound || others.Error.Type != "not_found" {
			t.Errorf("%s: status %d, %+v", path, status, others)
		}
		if diff := cmp.Diff(nobodys, others); diff != "" {
			t.Errorf("%s reveals that the program exists:\n%s", path, diff)
		}
	}
	if view := program(t, 0, name); view.State != "running" {
		t.Errorf("another tenant ended the program: %+v", view)
	}
}

func TestModels(t *testing.T) {
	api := client(t, 0)
	page, err := api.Models.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Data) != 1 || page.Data[0].ID != testModel {
		t.Errorf("models %+v", page.Data)
	}
	if _, err := api.Models.Get(context.Background(), "other"); apiError(t, err).StatusCode != http.StatusNotFound {
		t.Errorf("a model of no template: %v", err)
	}
}

func TestRequestIsTracedThroughDaemons(t *testing.T) {
	const trace = "trace-of-one-request"
	if _, err := client(t, 0, gateway.HeaderTrace, trace).Chat.Completions.New(testContext(t), completionParams("Follow me.")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a line of the gateway and lines of the leader", func() bool {
		steps := map[string]bool{}
		for _, line := range strings.Split(logs.String(), "\n") {
			var entry struct{ Part, Step, Trace string }
			if strings.Contains(line, trace) && json.Unmarshal([]byte(line), &entry) == nil && entry.Trace == trace {
				steps[entry.Part+" "+entry.Step] = true
			}
		}
		return steps["gateway "] && steps["dispatch accept"] && steps["dispatch route"] && steps["dispatch settle"]
	})
}

func TestHealthAndMetrics(t *testing.T) {
	if _, err := client(t, 0).Chat.Completions.New(testContext(t), completionParams("Count me.")); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{
		"/healthz": "ok",
		"/readyz":  "ready",
		"/metrics": `mintpulley_callers_requests_total{reason="",result="completed",route="completions",status="200"}`,
	} {
		response, err := http.Get("http://" + cluster(t).HTTPAddresses[0] + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(body), want) {
			t.Errorf("%s: status %d, no %q", path, response.StatusCode, want)
		}
	}
}
