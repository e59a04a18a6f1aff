package httplist

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn/answertest"
)

func listFrom(t *testing.T, answer string) error {
	t.Helper()
	machines := New(framework.DriverSettings{Addresses: []string{answertest.Serve(t, answer)}, Timeout: 10 * time.Second})
	done := make(chan error, 1)
	machines.List("", func(_ framework.ListResponse, err error) { done <- err })
	return <-done
}

func TestBrokenAnswersAreNoLists(t *testing.T) {
	const list = `{"version":"1","total":0}`
	for _, sound := range []string{list, "[]"} {
		if err := listFrom(t, answertest.Sound(sound)); err != nil {
			t.Errorf("a sound answer: %v", err)
		}
	}
	for name, answer := range answertest.Broken(list) {
		if listFrom(t, answer) == nil {
			t.Errorf("%s: the answer looks like a list", name)
		}
	}
	for _, body := range []string{"", "null", "{}"} {
		if listFrom(t, answertest.Sound(body)) == nil {
			t.Errorf("the body %q looks like a list", body)
		}
	}
}
