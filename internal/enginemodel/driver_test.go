package enginemodel

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// testDriver is a testEngine that is called through a driver with a one-way
// delay of 5 ms.
type testDriver struct {
	*testEngine
	driver *Driver
	fault  map[Operation]Fault
}

func newTestDriver(t *testing.T) *testDriver {
	d := &testDriver{testEngine: newTestEngine(t, nil), fault: map[Operation]Fault{}}
	fleet := NewFleet(3)
	fleet.Add(d.engine)
	d.driver = NewDriver(DriverOptions{
		Clock:   d.clock,
		Fleet:   fleet,
		Delay:   func(structs.EngineID) time.Duration { return 5 * millisecond },
		Fault:   func(_ structs.EngineID, operation Operation) Fault { return d.fault[operation] },
		Timeout: time.Second,
	})
	return d
}

func engineRequest(attempt, text string) framework.EngineRequest {
	return framework.EngineRequest{
		Engine:   "e",
		Attempt:  structs.AttemptID(attempt),
		Epoch:    1,
		Model:    testModel,
		Messages: []structs.Message{{Role: "user", Content: text}},
		Program:  structs.ProgramKey{Tenant: "t", Program: "p"},
	}
}

func (d *testDriver) send(request framework.EngineRequest) (*streamRecorder, framework.Stream) {
	r := &streamRecorder{testEngine: d.testEngine}
	return r, d.driver.Start(request, r)
}

func TestDriverAddsTheDelayBothWays(t *testing.T) {
	d := newTestDriver(t)
	r, _ := d.send(engineRequest("a", "hello"))
	d.runFor(time.Second)
	// "user\nhello\n" is 3 tokens: 10+3, then 2 tokens of 11 ms each.
	if r.first != 23*millisecond || r.ended != 45*millisecond {
		t.Errorf("first %v, end %v; want 23ms and 45ms", r.first, r.ended)
	}
	if r.end.Kind != framework.EndCompleted || len(r.text) != 12 {
		t.Errorf("end %q, text %q", r.end.Kind, r.text)
	}
}

func TestDriverFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   Fault
		wantErr error
		ran     bool
	}{
		{"none", Fault{}, nil, true},
		{"refused", Fault{Refuse: true}, framework.ErrUnreachable, false},
		{"request lost", Fault{LoseRequest: true}, framework.ErrUnreachable, false},
		{"answer lost", Fault{LoseAnswer: true}, framework.ErrUnreachable, true},
		{"too late", Fault{Delay: 2 * time.Second}, framework.ErrUnreachable, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDriver(t)
			d.fault[OperationOrder] = c.fault
			var calls []error
			d.driver.Order(structs.Order{Engine: "e", Kind: structs.OrderUnloadModel, Fence: 1, Model: testModel}, func(err error) {
				calls = append(calls, err)
			})
			d.runFor(10 * time.Second)
			if len(calls) != 1 || !eris.Is(calls[0], c.wantErr) {
				t.Errorf("called back with %v, want once %v", calls, c.wantErr)
			}
			if ran := len(d.engine.Load().Models) == 0; ran != c.ran {
				t.Errorf("took effect: %v, want %v", ran, c.ran)
			}
		})
	}
}

func TestBrokenStreamResumesAtItsEngine(t *testing.T) {
	d := newTestDriver(t)
	r, _ := d.send(engineRequest("a", "[[tokens=50]]"))
	d.runFor(200 * millisecond)
	d.driver.BreakStreams("e")
	if r.end.Kind != framework.EndLost || r.ends != 1 {
		t.Fatalf("end %q, %d times", r.end.Kind, r.ends)
	}
	request := engineRequest("a", "[[tokens=50]]")
	request.ResumeAt = int64(len(r.text))
	rest, _ := d.send(request)
	d.runFor(time.Second)
	if whole := r.text + rest.text; len(whole) != 200 || rest.end.Kind != framework.EndCompleted {
		t.Errorf("%d bytes, end %q", len(whole), rest.end.Kind)
	}
	if got := d.engine.Statistics().CompletionTokens; got != 50 {
		t.Errorf("the engine made %d tokens, want 50", got)
	}
}

func TestStreamContinuesAtAnotherEngine(t *testing.T) {
	d := newTestDriver(t)
	whole, _ := d.send(engineRequest("a", "[[tokens=50]]"))
	d.runFor(2 * time.Second)
	request := engineRequest("b", "[[tokens=50]]")
	request.AnswerPrefix = whole.text[:81]
	rest, _ := d.send(request)
	d.runFor(2 * time.Second)
	if diff := cmp.Diff(whole.text[81:], rest.text); diff != "" {
		t.Error(diff)
	}
}

func TestDetachStopsReadingNotRunning(t *testing.T) {
	d := newTestDriver(t)
	r, stream := d.send(engineRequest("a", "hello"))
	d.runFor(20 * millisecond)
	stream.Detach()
	d.runFor(time.Second)
	if r.text != "" || r.ends != 0 {
		t.Errorf("heard %q and %d ends", r.text, r.ends)
	}
	if got := d.engine.Inspect("a", 1).State; got != framework.AttemptDone {
		t.Errorf("state %q, want done", got)
	}
}

func TestPromptReaderMatchesPrefixBlocks(t *testing.T) {
	reader := NewPromptReader(5)
	request := engineRequest("a", string(make([]byte, 700)))
	first := reader.Read(request)
	request.Messages = append(request.Messages,
		structs.Message{Role: "assistant", Content: first.Answer.Text(0, 20)},
		structs.Message{Role: "user", Content: string(make([]byte, 999))})
	for range 2 {
		got := reader.Read(request)
		blocks, tokens := prefix.Blocks(request.Messages)
		if diff := cmp.Diff(blocks, got.Blocks); diff != "" || got.PromptTokens != tokens {
			t.Errorf("tokens %d, want %d; %s", got.PromptTokens, tokens, diff)
		}
		// An edited history must not be taken for the remembered one.
		request.Messages[0].Content = "edited" + request.Messages[0].Content
	}
}
