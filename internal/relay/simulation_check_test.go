package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// checkCall compares what a caller heard with what the instances did.
func checkCall(t *testing.T, d *simulatedDriver, call *Call, heard *recorder) {
	t.Helper()
	runs, most := d.ran(call.ID)
	kind := call.Route.Kind
	if heard.endings != 1 {
		t.Errorf("%s was ended %d times", call.ID, heard.endings)
	}
	if kind == route.KindOnce && runs > 1 {
		t.Errorf("%s may run once and ran %d times", call.ID, runs)
	}
	if kind == route.KindRepeatable && runs > call.Route.MaxAttempts {
		t.Errorf("%s ran %d times of %d", call.ID, runs, call.Route.MaxAttempts)
	}
	if most > call.Route.MaxAttempts {
		t.Errorf("%s ran at %d instances at once, of %d: %s", call.ID, most, call.Route.MaxAttempts, d.story(call.ID))
	}
	if heard.refusal != nil && heard.refusal.Reason.PromisesNotRun() && runs > 0 {
		t.Errorf("%s was refused as %s and ran %d times", call.ID, heard.refusal.Reason, runs)
	}
	if kind == route.KindStream {
		checkStream(t, call, heard)
		return
	}
	if got, want := heard.body.String(), "answer to "+call.ID; heard.status != 0 && got != want {
		t.Errorf("%s got %q with status %d", call.ID, got, heard.status)
	}
}

// checkStream: a caller gets a stream's events in order, each once, and an end
// only after the last.
func checkStream(t *testing.T, call *Call, heard *recorder) {
	t.Helper()
	if heard.status != http.StatusOK {
		return
	}
	whole := ""
	for number := 1; number <= streamEvents; number++ {
		whole += event(call.ID, number)
	}
	got := heard.body.String()
	if !strings.HasPrefix(whole, got) {
		t.Errorf("%s got other events than it should:\n%s", call.ID, got)
	}
	if heard.ended && got != whole {
		t.Errorf("%s ended after %q", call.ID, got)
	}
}

// checkSettled: every turn that was granted is settled once, with what its
// caller got.
func checkSettled(t *testing.T, l *fakeLedger, call *Call, heard *recorder) {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	granted, settled, used := 0, 0, int64(0)
	for _, turn := range l.turns {
		if turn.ID == call.ID {
			granted++
		}
	}
	for _, outcome := range l.outcomes {
		if outcome.Turn == call.ID {
			settled++
			used = outcome.UsedTokens
		}
	}
	got := int64(strings.Count(heard.body.String(), "\n\n")) * perEventTokens
	if heard.status != http.StatusOK {
		got = 0
	}
	// An event on its way when the caller left counts as his.
	if granted > 1 || settled != granted || used < got || used > got+perEventTokens {
		t.Errorf("%s was granted %d times and settled %d, with %d tokens; its caller got %d", call.ID, granted, settled, used, got)
	}
}

// simulatedEnd is when a call ended, and why its context had, if it had.
type simulatedEnd struct {
	at   time.Time
	left error
}

// checkEnding compares what is told of a call's ending with what its caller heard and did,
// and with what instances did.
func checkEnding(t *testing.T, d *simulatedDriver, call *Call, heard *recorder, end simulatedEnd, told []loggedEnding) {
	t.Helper()
	wasAnswered := heard.status != 0 && !heard.aborted
	if wasAnswered && !heard.gone {
		if len(told) != 0 {
			t.Errorf("%s was answered, told: %+v", call.ID, told)
		}
		return
	}
	if len(told) != 1 {
		t.Errorf("%s has %d endings: %+v", call.ID, len(told), told)
		return
	}
	ending, story := told[0], d.story(call.ID)
	got := 0
	if call.Route.Kind == route.KindStream && heard.status == http.StatusOK {
		got = strings.Count(heard.body.String(), "\n\n")
	}
	runs, _ := d.ran(call.ID)
	isOverdue := slices.Contains([]Cause{CauseTimeOver, Cause(ReasonTimeout), Cause(ReasonNotInTime)}, ending.Cause)
	for fault, is := range map[string]bool{
		"left by a caller that was there":        ending.By == PartyCaller && !heard.gone && end.left != errCut,
		"broken off by no back end":              ending.By == PartyBackEnd && !brokeOff(story),
		"at the bound of no stop":                ending.Cause == CauseShutdownDeadline && end.left != ErrShutdownDeadline,
		"over before its time":                   isOverdue && call.Deadline.Sub(end.at) > leastTime,
		"said not to have run":                   !ending.MayHaveRun && runs > 0,
		"said to have other events":              ending.Events != got,
		"told a refusal and broken off":          ending.Ending == EndingRefused && heard.refusal == nil,
		"closed, and the log tells of a refusal": ending.Ending == EndingRefused && heard.aborted,
	} {
		if is {
			t.Errorf("%s was %s: %+v; events %d, runs %d, %v: %s", call.ID, fault, ending, got, runs, end.left, story)
		}
	}
}

// brokeOff tells whether an instance in a story lost or broke off what it was sent.
func brokeOff(story string) bool {
	for _, does := range []behaviour{resetsBeforeRun, losesAnswer, fails, crashesMidway, resetsMidway} {
		if strings.Contains(story, fmt.Sprintf("behaviour %v ", does)) {
			return true
		}
	}
	return false
}
