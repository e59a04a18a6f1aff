package operator

import (
	"testing"

	"github.com/mintpulley/mintpulley/internal/httpconn/answertest"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestBrokenAnswersToOperatorsAreNoVerdicts(t *testing.T) {
	const verdict = `{"operation":"o","accepted":true}`
	publish := func(answer string) error {
		_, err := NewClient([]string{answertest.Serve(t, answer)}, "key").Publish(structs.Change{})
		return err
	}
	if err := publish(answertest.Sound(verdict)); err != nil {
		t.Errorf("a sound answer: %v", err)
	}
	for name, answer := range answertest.Broken(verdict) {
		if publish(answer) == nil {
			t.Errorf("%s: the answer looks sound", name)
		}
	}
	for _, empty := range []string{"", "null"} {
		if publish(answertest.Sound(empty)) == nil {
			t.Errorf("the body %q looks like a verdict", empty)
		}
	}
}
