package httplog

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/httpconn/answertest"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func newLog(t *testing.T, answer string) framework.EventLog {
	t.Helper()
	return New(framework.DriverSettings{Addresses: []string{answertest.Serve(t, answer)}, Timeout: 10 * time.Second})
}

func appendTo(t *testing.T, answer string) (structs.LogOffset, error) {
	t.Helper()
	type result struct {
		offset structs.LogOffset
		err    error
	}
	done := make(chan result, 1)
	newLog(t, answer).Append("s", "o", []byte("p"), func(offset structs.LogOffset, err error) { done <- result{offset, err} })
	got := <-done
	return got.offset, got.err
}

func readFrom(t *testing.T, answer string) error {
	t.Helper()
	done := make(chan error, 1)
	newLog(t, answer).Read("s", 0, 10, func(_ []framework.LogEntry, err error) { done <- err })
	return <-done
}

func TestBrokenAnswersOfTheLogAreErrors(t *testing.T) {
	const appended, entries = `{"offset":7}`, `[{"offset":0,"operation_id":"o","payload":"cA=="}]`
	if offset, err := appendTo(t, answertest.Sound(appended)); err != nil || offset != 7 {
		t.Errorf("a sound answer to an append: %d, %v", offset, err)
	}
	for _, sound := range []string{entries, "[]"} {
		if err := readFrom(t, answertest.Sound(sound)); err != nil {
			t.Errorf("a sound answer to a read: %v", err)
		}
	}
	for name, answer := range answertest.Broken(appended) {
		if offset, err := appendTo(t, answer); err == nil {
			t.Errorf("%s: the append seems to be at offset %d", name, offset)
		}
	}
	for name, answer := range answertest.Broken(entries) {
		if readFrom(t, answer) == nil {
			t.Errorf("%s: the answer to a read looks sound", name)
		}
	}
	for _, body := range []string{"", "null", "{}"} {
		if offset, err := appendTo(t, answertest.Sound(body)); err == nil {
			t.Errorf("with the body %q, the append seems to be at offset %d", body, offset)
		}
		if readFrom(t, answertest.Sound(body)) == nil {
			t.Errorf("the body %q looks like a list of entries", body)
		}
	}
}
