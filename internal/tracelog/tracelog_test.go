package tracelog

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const logOfA = `12.3 a {"machine":"a","part":"relay","request":"q1","message":"first","time":"2026-01-01T00:00:05.000Z"}
{"machine":"a","request":"q1","message":"clock set back","time":"2026-01-01T00:00:01.000Z"}
{"machine":"a","request":"other","message":"not this","time":"2026-01-01T00:00:05.000Z"}
{"machine":"a","request":"q1","mess
not a line q1
`

const logOfB = `{"machine":"b","part":"ledger","request":"q1","program":"p","epoch":7,"message":"between","time":"2026-01-01T00:00:05.500Z"}
{"machine":"b","message":"names it","error":"turn q1: gone","time":"2026-01-01T00:00:04.000Z"}
`

func readTrace(t *testing.T, id string) *Trace {
	t.Helper()
	s := NewTrace(id)
	for _, text := range []string{logOfA, logOfB} {
		if err := s.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func TestTraceKeepsOrderWhenClocksAreSetBack(t *testing.T) {
	s := readTrace(t, "q1")
	var messages []string
	for _, line := range s.Lines() {
		messages = append(messages, line.Machine+" "+line.Message)
	}
	want := []string{"a first", "a clock set back", "b between", "b names it"}
	if diff := cmp.Diff(want, messages); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if s.Skipped != 1 {
		t.Errorf("%d lines skipped, want 1: the truncated one", s.Skipped)
	}
}

func TestTraceIsPrinted(t *testing.T) {
	var output strings.Builder
	if err := readTrace(t, "p").Write(&output); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(output.String(), "between request=q1 program=p epoch=7") {
		t.Errorf("got:\n%s", output.String())
	}
	output.Reset()
	if err := readTrace(t, "nobody").Write(&output); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(output.String(), "no log line mentions nobody") {
		t.Errorf("got:\n%s", output.String())
	}
}
