package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	openaiclient "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/plugins/engine/openai"
	"github.com/mintpulley/mintpulley/internal/standin/weights"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	model structs.ModelName = "m"
	// longTimeout limits waits that should be short.
	longTimeout = 3 * time.Second
)

// harness is an engine behind HTTP, called through the scheduler's own driver.
type harness struct {
	*testing.T
	engine *Engine
	driver framework.EngineDriver
	id     structs.EngineID
	url    string
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	settings := DefaultSettings(model)
	settings.Parameters.StepBase = time.Millisecond
	settings.Parameters.Publication.LoadLag = 0
	settings.Parameters.Publication.EventDelay = 0
	if change != nil {
		change(&settings)
	}
	e := New(settings)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return &harness{
		T:      t,
		engine: e,
		driver: openai.New(framework.DriverSettings{Timeout: longTimeout}),
		id:     structs.EngineID(strings.TrimPrefix(server.URL, "http://")),
		url:    server.URL,
	}
}

// reader collects one attempt's stream.
type reader struct {
	mutex sync.Mutex
	text  string
	first chan struct{}
	ended chan framework.AttemptEnd
}

func (r *reader) Chunks(chunks []structs.Chunk) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.text == "" {
		close(r.first)
	}
	for _, chunk := range chunks {
		r.text += chunk.Text
	}
}

func (r *reader) End(end framework.AttemptEnd) { r.ended <- end }

func (r *reader) whole() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text
}

func (h *harness) request(attempt, text string) framework.EngineRequest {
	return framework.EngineRequest{
		Engine:   h.id,
		Attempt:  structs.AttemptID(attempt),
		Epoch:    2,
		Model:    model,
		Messages: []structs.Message{{Role: "user", Content: text}},
		Program:  structs.ProgramKey{Tenant: "t", Program: "p"},
	}
}

func (h *harness) start(request framework.EngineRequest) *reader {
	r := &reader{first: make(chan struct{}), ended: make(chan framework.AttemptEnd, 1)}
	h.driver.Start(request, r)
	return r
}

func (h *harness) end(r *reader) framework.AttemptEnd {
	h.Helper()
	select {
	case end := <-r.ended:
		return end
	case <-time.After(longTimeout):
		h.Fatal("the attempt did not end")
		return framework.AttemptEnd{}
	}
}

// ask performs an exchange and returns its error.
func ask(exchange func(done func(error))) error {
	answered := make(chan error, 1)
	exchange(func(err error) { answered <- err })
	return <-answered
}

func (h *harness) inspect(attempt structs.AttemptID, epoch structs.Epoch) framework.AttemptStatus {
	h.Helper()
	var status framework.AttemptStatus
	err := ask(func(done func(error)) {
		h.driver.Inspect(h.id, attempt, epoch, func(got framework.AttemptStatus, err error) {
			status = got
			done(err)
		})
	})
	if err != nil {
		h.Fatal(err)
	}
	return status
}

func TestStreamAndResume(t *testing.T) {
	h := newHarness(t, nil)
	request := h.request("a", "hello [[tokens=12]]")
	first := h.start(request)
	end := h.end(first)
	if end.Kind != framework.EndCompleted || end.Usage.CompletionTokens != 12 {
		t.Fatalf("end %+v", end)
	}
	want := strings.Join(Answer(request.Messages, 12), "")
	if diff := cmp.Diff(want, first.whole()); diff != "" {
		t.Error(diff)
	}
	request.ResumeAt = 10
	again := h.start(request)
	h.end(again)
	if diff := cmp.Diff(want[10:], again.whole()); diff != "" {
		t.Error(diff)
	}
	if got := len(h.engine.Runs()); got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}

func TestCutStreamCanBeResumed(t *testing.T) {
	h := newHarness(t, nil)
	if err := h.engine.Faults.Set(Faults{CutStreams: 1, CutAfter: 16}); err != nil {
		t.Fatal(err)
	}
	request := h.request("a", "[[tokens=20]]")
	first := h.start(request)
	if end := h.end(first); end.Kind != framework.EndLost {
		t.Fatalf("end %q, want lost", end.Kind)
	}
	_ = h.engine.Faults.Set(Faults{})
	request.ResumeAt = int64(len(first.whole()))
	rest := h.start(request)
	if end := h.end(rest); end.Kind != framework.EndCompleted {
		t.Fatalf("end %q", end.Kind)
	}
	want := strings.Join(Answer(request.Messages, 20), "")
	if diff := cmp.Diff(want, first.whole()+rest.whole()); diff != "" {
		t.Error(diff)
	}
}

func TestFenceCancelAndHold(t *testing.T) {
	h := newHarness(t, nil)
	if got := h.inspect("never", 5); got.State != framework.AttemptAbsent || !got.Fenced || got.StartedUnixNano == 0 {
		t.Errorf("status %+v", got)
	}
	if end := h.end(h.start(h.request("never", "x"))); end.Kind != framework.EndRejected {
		t.Errorf("a fenced attempt ended as %q", end.Kind)
	}
	held := h.request("held", "hello "+strings.Repeat("x", 300))
	held.Hold = "h"
	if end := h.end(h.start(held)); !end.HoldTaken || h.engine.HoldCount() != 1 {
		t.Errorf("hold taken %v, %d held", end.HoldTaken, h.engine.HoldCount())
	}
	release := func(done func(error)) { h.driver.Release(structs.Hold{ID: "h", Engine: h.id}, done) }
	if err := ask(release); err != nil || h.engine.HoldCount() != 0 {
		t.Errorf("release: %v, %d held", err, h.engine.HoldCount())
	}
	long := h.start(h.request("long", "[[tokens=100000]]"))
	<-long.first
	if err := ask(func(done func(error)) { h.driver.Cancel(h.id, "long", done) }); err != nil {
		t.Error(err)
	}
	if end := h.end(long); end.Kind != framework.EndCancelled {
		t.Errorf("end %q, want cancelled", end.Kind)
	}
}

func TestDrainAndRestart(t *testing.T) {
	h := newHarness(t, nil)
	long := h.start(h.request("long", "[[tokens=100000]]"))
	<-long.first
	before := h.inspect("long", 1)
	_ = h.engine.Faults.Set(Faults{Draining: true})
	if end := h.end(h.start(h.request("late", "x"))); end.Kind != framework.EndRejected || !end.Draining {
		t.Errorf("end %+v, want a draining rejection", end)
	}
	h.engine.Restart()
	if end := h.end(long); end.Kind != framework.EndLost {
		t.Errorf("end %q, want lost", end.Kind)
	}
	after := h.inspect("long", 1)
	if after.State != framework.AttemptAbsent || after.StartedUnixNano <= before.StartedUnixNano {
		t.Errorf("after the restart: %+v, before: %+v", after, before)
	}
}

func TestOrderReadsFromTheWeightStore(t *testing.T) {
	store := httptest.NewServer(weights.New(1_000_000))
	defer store.Close()
	h := newHarness(t, func(s *Settings) {
		s.WeightStore = strings.TrimPrefix(store.URL, "http://")
		s.Parameters.ModelBytes = 50_000
	})
	order := structs.Order{Engine: h.id, Kind: structs.OrderLoadModel, Fence: 3, Model: "n", Version: "1"}
	if err := ask(func(done func(error)) { h.driver.Order(order, done) }); err != nil {
		t.Fatal(err)
	}
	report := h.load()
	if diff := cmp.Diff([]structs.ModelName{"n"}, report.Loading); diff != "" {
		t.Error(diff)
	}
	deadline := time.Now().Add(longTimeout)
	for len(h.load().Models) < 2 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if diff := cmp.Diff([]structs.ModelName{"m", "n"}, h.load().Models); diff != "" {
		t.Error(diff)
	}
	order.Fence = 2
	if err := ask(func(done func(error)) { h.driver.Order(order, done) }); !eris.Is(err, framework.ErrFenced) {
		t.Errorf("a lower fence got %v", err)
	}
}

func (h *harness) load() structs.LoadReport {
	h.Helper()
	var report structs.LoadReport
	err := ask(func(done func(error)) {
		h.driver.Load(h.id, func(got structs.LoadReport, err error) {
			report = got
			done(err)
		})
	})
	if err != nil {
		h.Fatal(err)
	}
	return report
}

func TestTransferBetweenEngines(t *testing.T) {
	from, to := newHarness(t, nil), newHarness(t, nil)
	request := from.request("a", strings.Repeat("ballots ", 200))
	from.end(from.start(request))
	var tokens int64
	err := ask(func(done func(error)) {
		to.driver.Transfer(framework.Transfer{From: from.id, To: to.id, Program: request.Program, Hold: "h"}, func(moved int64, err error) {
			tokens = moved
			done(err)
		})
	})
	if err != nil || tokens != 384 {
		t.Fatalf("%d tokens transferred: %v", tokens, err)
	}
	if held := to.engine.model.Holds(); len(held) != 1 || held[0].ID != "h" || held[0].Tokens != 384 {
		t.Errorf("held for the attempt that follows: %+v", held)
	}
	request.Engine, request.Attempt = to.id, "b"
	// 1600 bytes and the role are 401 tokens, 6 full blocks of them 384.
	if end := to.end(to.start(request)); end.Usage.CachedTokens != 384 {
		t.Errorf("cached %d tokens, want 384", end.Usage.CachedTokens)
	}
	var events []structs.CacheEvent
	_ = ask(func(done func(error)) {
		to.driver.CacheEvents(to.id, 0, func(got []structs.CacheEvent, err error) {
			events = got
			done(err)
		})
	})
	if len(events) == 0 || events[0].Kind != structs.CacheStored || len(events[0].Blocks) != 6 {
		t.Errorf("events %+v, want one that stored 6 blocks", events)
	}
}

func TestPlainClient(t *testing.T) {
	h := newHarness(t, nil)
	client := openaiclient.NewClient(option.WithBaseURL(h.url+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	parameters := openaiclient.ChatCompletionNewParams{
		Model:    string(model),
		Messages: []openaiclient.ChatCompletionMessageParamUnion{openaiclient.UserMessage("hello [[tokens=7]]")},
	}
	whole, err := client.Chat.Completions.New(context.Background(), parameters)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), parameters)
	streamed := ""
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			streamed += chunk.Choices[0].Delta.Content
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if whole.Choices[0].Message.Content != streamed || len(streamed) != 28 || whole.Usage.CompletionTokens != 7 {
		t.Errorf("whole %q, streamed %q, usage %+v", whole.Choices[0].Message.Content, streamed, whole.Usage)
	}
	parameters.Model = "unknown"
	var problem *openaiclient.Error
	if _, err := client.Chat.Completions.New(context.Background(), parameters); !eris.As(err, &problem) || problem.StatusCode != http.StatusNotFound {
		t.Errorf("an unknown model got %v", err)
	}
}

func TestDisconnectOfPlainClientCancelsItsAttempt(t *testing.T) {
	h := newHarness(t, nil)
	ctx, disconnect := context.WithCancel(context.Background())
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"[[tokens=100000]]"}]}`
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.url+openai.PathCompletions, strings.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	disconnect()
	_ = response.Body.Close()
	deadline := time.Now().Add(longTimeout)
	for h.engine.Runs()[0].Kind != framework.EndCancelled && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if kind := h.engine.Runs()[0].Kind; kind != framework.EndCancelled {
		t.Errorf("the attempt ended as %q", kind)
	}
}

func TestDirectedToolCall(t *testing.T) {
	h := newHarness(t, nil)
	client := openaiclient.NewClient(option.WithBaseURL(h.url+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	parameters := openaiclient.ChatCompletionNewParams{
		Model:    string(model),
		Messages: []openaiclient.ChatCompletionMessageParamUnion{openaiclient.UserMessage("hello [[tool=swing]]")},
		Tools: []openaiclient.ChatCompletionToolUnionParam{
			openaiclient.ChatCompletionFunctionTool(openaiclient.FunctionDefinitionParam{Name: "swing"}),
		},
	}
	whole, err := client.Chat.Completions.New(context.Background(), parameters)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), parameters)
	accumulator := openaiclient.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulator.AddChunk(stream.Current())
	}
	for _, choice := range []openaiclient.ChatCompletionChoice{whole.Choices[0], accumulator.Choices[0]} {
		if choice.FinishReason != "tool_calls" || len(choice.Message.ToolCalls) != 1 || choice.Message.ToolCalls[0].Function.Name != "swing" {
			t.Errorf("choice %+v", choice)
		}
	}
	parameters.Tools = nil
	if plain, err := client.Chat.Completions.New(context.Background(), parameters); err != nil || plain.Choices[0].Message.Content == "" {
		t.Errorf("a tool that is not offered: %+v, %v", plain, err)
	}
}
