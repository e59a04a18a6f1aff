package openai

import (
	"strings"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn/answertest"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// endObserver receives the end of an attempt.
type endObserver chan framework.AttemptEnd

func (o endObserver) Chunks([]structs.Chunk) {}

func (o endObserver) End(end framework.AttemptEnd) { o <- end }

func startAt(t *testing.T, answer string) framework.AttemptEnd {
	t.Helper()
	ended := make(endObserver, 1)
	engine := structs.EngineID(answertest.Serve(t, answer))
	New(framework.DriverSettings{}).Start(framework.EngineRequest{Engine: engine}, ended)
	return <-ended
}

const (
	textEvent = `data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}],"offset":0}` + "\n\n"
	lastEvent = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"offset":1}` + "\n\n"
	endMarker = "data: [DONE]\n\n"
)

func TestBrokenStreamsAreLost(t *testing.T) {
	const whole = textEvent + lastEvent + endMarker
	if end := startAt(t, answertest.Sound(whole)); end.Kind != framework.EndCompleted {
		t.Errorf("a sound stream: %s, %s", end.Kind, end.Message)
	}
	broken := map[string]string{
		"no end marker":    answertest.Sound(textEvent + lastEvent),
		"no finish reason": answertest.Sound(textEvent + endMarker),
		"no events":        answertest.Sound(""),
		"endless line":     answertest.Sound("data: " + strings.Repeat("x", maxLineBytes+1) + "\n\n" + whole),
	}
	for name, answer := range answertest.Broken(textEvent + lastEvent) {
		broken[name] = answer
	}
	for name, answer := range broken {
		if end := startAt(t, answer); end.Kind != framework.EndLost {
			t.Errorf("%s: the end is %s, want %s", name, end.Kind, framework.EndLost)
		}
	}
}

func TestBrokenReportsAreErrors(t *testing.T) {
	const report = `{"running":1}`
	load := func(answer string) error {
		done := make(chan error, 1)
		engine := structs.EngineID(answertest.Serve(t, answer))
		New(framework.DriverSettings{Timeout: 10 * time.Second}).Load(engine, func(_ structs.LoadReport, err error) { done <- err })
		return <-done
	}
	order := func(answer string) error {
		done := make(chan error, 1)
		engine := structs.EngineID(answertest.Serve(t, answer))
		New(framework.DriverSettings{Timeout: 10 * time.Second}).Order(structs.Order{Engine: engine}, func(err error) { done <- err })
		return <-done
	}
	for name, call := range map[string]func(string) error{"report": load, "order": order} {
		if err := call(answertest.Sound(report)); err != nil {
			t.Errorf("%s, a sound answer: %v", name, err)
		}
		for fault, answer := range answertest.Broken(report) {
			if call(answer) == nil {
				t.Errorf("%s, %s: the answer looks sound", name, fault)
			}
		}
	}
}
