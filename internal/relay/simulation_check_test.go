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

// checkCall compares what a caller got with what the instances did.
func checkCall(t *testing.T, d *simulatedDriver, call *Call, recorded *recorder) {
	t.Helper()
	runs, maxConcurrent := d.ran(call.ID)
	kind := call.Route.Kind
	if recorded.endings != 1 {
		t.Errorf("%s was ended %d times", call.ID, recorded.endings)
	}
	if kind == route.KindOnce && runs > 1 {
		t.Errorf("%s may run once and ran %d times", call.ID, runs)
	}
	if kind == route.KindRepeatable && runs > call.Route.MaxAttempts {
		t.Errorf("%s ran %d times of %d", call.ID, runs, call.Route.MaxAttempts)
	}
	if maxConcurrent > call.Route.MaxAttempts {
		t.Errorf("%s ran at %d instances at once, of %d: %s", call.ID, maxConcurrent, call.Route.MaxAttempts, d.offerLog(call.ID))
	}
	if recorded.refusal != nil && recorded.refusal.Reason.PromisesNotRun() && runs > 0 {
		t.Errorf("%s was refused as %s and ran %d times", call.ID, recorded.refusal.Reason, runs)
	}
	if kind == route.KindStream {
		checkStream(t, call, recorded)
		return
	}
	if got, want := recorded.body.String(), "answer to "+call.ID; recorded.status != 0 && got != want {
		t.Errorf("%s got %q with status %d", call.ID, got, recorded.status)
	}
}

// checkStream checks that the caller got the stream's events in order, each once, and its
// end only after the last.
func checkStream(t *testing.T, call *Call, recorded *recorder) {
	t.Helper()
	if recorded.status != http.StatusOK {
		return
	}
	whole := ""
	for number := 1; number <= streamEvents; number++ {
		whole += event(call.ID, number)
	}
	got := recorded.body.String()
	if !strings.HasPrefix(whole, got) {
		t.Errorf("%s got unexpected events:\n%s", call.ID, got)
	}
	if recorded.ended && got != whole {
		t.Errorf("%s ended after %q", call.ID, got)
	}
}

// checkSettled checks that every granted turn was settled once, with the tokens that its
// caller got.
func checkSettled(t *testing.T, l *fakeLedger, call *Call, recorded *recorder) {
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
	got := int64(strings.Count(recorded.body.String(), "\n\n")) * perEventTokens
	if recorded.status != http.StatusOK {
		got = 0
	}
	// An event in transit when the caller disconnected counts as received.
	if granted > 1 || settled != granted || used < got || used > got+perEventTokens {
		t.Errorf("%s was granted %d times and settled %d, with %d tokens; its caller got %d", call.ID, granted, settled, used, got)
	}
}

// simulatedEnd is when a call ended, and why its context had ended, if it had.
type simulatedEnd struct {
	at           time.Time
	contextCause error
}

// checkEnding compares a call's logged ending with what its caller got and did, and with
// what the instances did.
func checkEnding(t *testing.T, d *simulatedDriver, call *Call, recorded *recorder, end simulatedEnd, told []loggedEnding) {
	t.Helper()
	wasAnswered := recorded.status != 0 && !recorded.aborted
	if wasAnswered && !recorded.disconnected {
		if len(told) != 0 {
			t.Errorf("%s was answered, but its logged endings are: %+v", call.ID, told)
		}
		return
	}
	if len(told) != 1 {
		t.Errorf("%s has %d logged endings: %+v", call.ID, len(told), told)
		return
	}
	ending, offerLog := told[0], d.offerLog(call.ID)
	got := 0
	if call.Route.Kind == route.KindStream && recorded.status == http.StatusOK {
		got = strings.Count(recorded.body.String(), "\n\n")
	}
	runs, _ := d.ran(call.ID)
	isOverdue := slices.Contains([]Cause{CauseTimeOver, Cause(ReasonTimeout), Cause(ReasonNotInTime)}, ending.Cause)
	for fault, is := range map[string]bool{
		"logged as left by a caller that had not disconnected":        ending.By == PartyCaller && !recorded.disconnected && end.contextCause != errCut,
		"logged as ended by a back end that did not break off":        ending.By == PartyBackEnd && !brokeOff(offerLog),
		"logged as ended at a shutdown deadline that was not reached": ending.Cause == CauseShutdownDeadline && end.contextCause != ErrShutdownDeadline,
		"logged as timed out before its deadline":                     isOverdue && call.Deadline.Sub(end.at) > minTimeLeft,
		"logged as not run although it ran":                           !ending.MayHaveRun && runs > 0,
		"logged with a wrong number of events":                        ending.Events != got,
		"logged as refused although its caller got no refusal":        ending.Ending == EndingRefused && recorded.refusal == nil,
		"logged as refused although its connection was closed":        ending.Ending == EndingRefused && recorded.aborted,
	} {
		if is {
			t.Errorf("%s was %s: %+v; events %d, runs %d, %v: %s", call.ID, fault, ending, got, runs, end.contextCause, offerLog)
		}
	}
}

// brokeOff reports whether, according to an offer log, an instance lost or broke off what
// it was sent.
func brokeOff(offerLog string) bool {
	for _, does := range []behaviour{resetsBeforeRun, losesAnswer, fails, crashesMidway, resetsMidway} {
		if strings.Contains(offerLog, fmt.Sprintf("behaviour %v ", does)) {
			return true
		}
	}
	return false
}
