package httpapp

import (
	"strings"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn/answertest"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func invoke(t *testing.T, answer string) framework.AttemptEnd {
	t.Helper()
	driver := New(framework.DriverSettings{Timeout: 10 * time.Second})
	done := make(chan framework.AttemptEnd, 1)
	request := framework.ApplicationRequest{BackEnd: structs.EngineID(answertest.Serve(t, answer)), Operation: "o", Body: []byte("{}")}
	driver.Invoke(request, func(end framework.AttemptEnd) { done <- end })
	return <-done
}

func inspect(t *testing.T, answer string) error {
	t.Helper()
	driver := New(framework.DriverSettings{Timeout: 10 * time.Second})
	done := make(chan error, 1)
	driver.Inspect(structs.EngineID(answertest.Serve(t, answer)), "a", 1, func(_ framework.AttemptStatus, err error) { done <- err })
	return <-done
}

func TestBrokenAnswersOfBackEndsAreLost(t *testing.T) {
	longest := strings.Repeat("x", maximumAnswerBytes)
	for _, sound := range []string{"ok", longest} {
		if end := invoke(t, answertest.Sound(sound)); end.Kind != framework.EndCompleted || string(end.Body) != sound {
			t.Errorf("a sound answer of %d bytes: %s with %d bytes", len(sound), end.Kind, len(end.Body))
		}
	}
	broken := answertest.Broken("ok")
	broken["one byte too long"] = answertest.Sound(longest + "x")
	for name, answer := range broken {
		if end := invoke(t, answer); end.Kind != framework.EndLost {
			t.Errorf("%s: the end is %s with %d bytes, want %s", name, end.Kind, len(end.Body), framework.EndLost)
		}
	}
}

func TestBrokenAnswersToInspectionsAreErrors(t *testing.T) {
	const status = `{}`
	if err := inspect(t, answertest.Sound(status)); err != nil {
		t.Errorf("a sound answer: %v", err)
	}
	for name, answer := range answertest.Broken(status) {
		if inspect(t, answer) == nil {
			t.Errorf("%s: the answer looks sound", name)
		}
	}
}
