package dispatch_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestCallIsAnswered(t *testing.T) {
	f := newFixture(t)
	caller, _ := f.submit(modelCall("a"))
	f.engine.answer("twenty loaves")
	f.run(time.Second)
	if got := caller.status(t); got != structs.OutcomeCompleted || caller.text != "twenty loaves" {
		t.Errorf("status %s text %q", got, caller.text)
	}
	if f.scheduler.assigned != f.scheduler.finished {
		t.Errorf("%d slots assigned, %d returned", f.scheduler.assigned, f.scheduler.finished)
	}
}

func TestIntentIsRecordedBeforeTheSend(t *testing.T) {
	f := newFixture(t)
	f.scheduler.holdBack = true
	f.submit(modelCall("a"))
	f.group.delayAcks = true
	f.scheduler.held[0].Assign(assignmentOf(f))
	f.run(100 * time.Millisecond)
	if len(f.engine.requests) != 0 {
		t.Fatal("the call was sent before its intent was acknowledged")
	}
	f.group.queue.Do(func() { f.group.delayedAcks[0](nil) })
	f.run(100 * time.Millisecond)
	if len(f.engine.requests) != 1 {
		t.Errorf("%d requests after the acknowledgement, want 1", len(f.engine.requests))
	}
}

func TestStalledLeaderConfirmsItsEpoch(t *testing.T) {
	f := newFixture(t)
	f.scheduler.holdBack = true
	f.submit(modelCall("a"))
	f.group.delayAcks = true
	f.scheduler.held[0].Assign(assignmentOf(f))
	f.run(5 * time.Second)
	f.group.refuseConfirm = true
	f.group.queue.Do(func() { f.group.delayedAcks[0](nil) })
	f.run(time.Second)
	if len(f.engine.requests) != 0 {
		t.Error("a leader that stalled past its takeover still sent the call")
	}
}

func TestSecondCallWaitsForTheFirst(t *testing.T) {
	f := newFixture(t)
	first, _ := f.submit(modelCall("a"))
	second, _ := f.submit(modelCall("b"))
	if len(f.engine.requests) != 1 {
		t.Fatalf("%d calls sent, want 1", len(f.engine.requests))
	}
	f.engine.answer("one")
	f.run(100 * time.Millisecond)
	f.engine.answer("two")
	f.run(100 * time.Millisecond)
	if first.text != "one" || second.text != "two" {
		t.Errorf("answers %q and %q", first.text, second.text)
	}
	want := []structs.Message{{Role: "user", Content: "question a"}, {Role: "assistant", Content: "one"}, {Role: "user", Content: "question b"}}
	if diff := cmp.Diff(want, f.engine.requests[1].Messages); diff != "" {
		t.Errorf("second prompt (-want +got):\n%s", diff)
	}
}

func TestTakeoverResumesTheStream(t *testing.T) {
	f := newFixture(t)
	caller, _ := f.submit(modelCall("a"))
	f.engine.observers[0].Chunks([]structs.Chunk{{Offset: 0, Text: "twenty "}})
	f.run(10 * time.Millisecond)
	f.engine.status = framework.AttemptStatus{State: framework.AttemptRunning, StartedUnixNano: 1, Fenced: true}
	f.group.lead()
	f.run(3 * time.Second)
	// Epoch 2, after the first dispatch.
	const want structs.Epoch = 2<<16 | 2
	if len(f.engine.inspected) == 0 || f.engine.inspected[0] != want {
		t.Fatalf("inspections %v, want one in epoch %d", f.engine.inspected, want)
	}
	f.engine.answer("twenty loaves")
	f.run(3 * time.Second)
	if caller.status(t) != structs.OutcomeCompleted || caller.text != "twenty loaves" {
		t.Errorf("the caller got %q", caller.text)
	}
	if len(f.engine.requests) != 2 {
		t.Errorf("%d requests, want the first and its resumption", len(f.engine.requests))
	}
}

func TestLostEngineIsReplacedAfterDeliveredText(t *testing.T) {
	f := newFixture(t)
	caller, _ := f.submit(modelCall("a"))
	f.engine.observers[0].Chunks([]structs.Chunk{{Offset: 0, Text: "twenty "}})
	f.run(10 * time.Millisecond)
	f.engine.statusErr = framework.ErrUnreachable
	f.engine.observers[0].End(framework.AttemptEnd{Kind: framework.EndLost})
	f.run(5 * time.Second)
	if len(f.engine.requests) != 2 || f.engine.requests[1].AnswerPrefix != "twenty " {
		t.Fatalf("requests %+v", f.engine.requests)
	}
	f.engine.observers[1].Chunks([]structs.Chunk{{Offset: 7, Text: "loaves"}})
	f.engine.observers[1].End(framework.AttemptEnd{Kind: framework.EndCompleted})
	f.run(time.Second)
	if caller.status(t) != structs.OutcomeCompleted || caller.text != "twenty loaves" {
		t.Errorf("the caller got %q", caller.text)
	}
}

func TestTakeoverResumesAfterTheAnswerPrefix(t *testing.T) {
	f := newFixture(t)
	caller, _ := f.submit(modelCall("a"))
	f.engine.observers[0].Chunks([]structs.Chunk{{Offset: 0, Text: "twenty "}})
	f.run(10 * time.Millisecond)
	f.engine.statusErr = framework.ErrUnreachable
	f.engine.observers[0].End(framework.AttemptEnd{Kind: framework.EndLost})
	f.run(5 * time.Second)
	f.engine.statusErr = nil
	f.engine.status = framework.AttemptStatus{State: framework.AttemptRunning, StartedUnixNano: 1, Fenced: true}
	f.group.lead()
	f.run(10 * time.Millisecond)
	resumed := f.engine.requests[len(f.engine.requests)-1]
	if !resumed.ResumeOnly || resumed.ResumeAt != int64(len("twenty ")) {
		t.Fatalf("the stream is resumed at %d, want it after the answer prefix of the attempt", resumed.ResumeAt)
	}
	f.engine.observers[len(f.engine.observers)-1].Chunks([]structs.Chunk{{Offset: 7, Text: "loaves"}})
	f.engine.observers[len(f.engine.observers)-1].End(framework.AttemptEnd{Kind: framework.EndCompleted})
	f.run(3 * time.Second)
	if caller.status(t) != structs.OutcomeCompleted || caller.text != "twenty loaves" {
		t.Errorf("the caller got %q", caller.text)
	}
}

func TestStreamWithRepeatedGapsMovesOn(t *testing.T) {
	f := newFixture(t)
	f.engine.status = framework.AttemptStatus{State: framework.AttemptRunning, StartedUnixNano: 1, Fenced: true}
	caller, _ := f.submit(modelCall("a"))
	for range 10 {
		latest := len(f.engine.observers) - 1
		if latest > 0 && !f.engine.requests[latest].ResumeOnly {
			break
		}
		f.engine.observers[latest].Chunks([]structs.Chunk{{Offset: 7, Text: "loaves"}})
		f.run(10 * time.Millisecond)
	}
	if f.engine.requests[len(f.engine.requests)-1].ResumeOnly || len(f.engine.cancelled) != 1 {
		t.Fatalf("%d requests, %d cancelled: want the call to move on", len(f.engine.requests), len(f.engine.cancelled))
	}
	f.engine.answer("twenty loaves")
	f.run(time.Second)
	if caller.status(t) != structs.OutcomeCompleted || caller.text != "twenty loaves" {
		t.Errorf("the caller got %q", caller.text)
	}
}

func TestUnrepeatableRequestIsNeverSentTwice(t *testing.T) {
	cases := map[string]struct {
		status framework.AttemptStatus
		err    error
		sent   int
		want   structs.OutcomeStatus
	}{
		"it ran":                      {status: framework.AttemptStatus{State: framework.AttemptDone, Body: []byte("ok")}, sent: 1, want: structs.OutcomeCompleted},
		"absent and fenced":           {status: framework.AttemptStatus{State: framework.AttemptAbsent, Fenced: true}, sent: 5, want: structs.OutcomeUnknown},
		"absent without a fence":      {status: framework.AttemptStatus{State: framework.AttemptAbsent}, sent: 1, want: structs.OutcomeUnknown},
		"absent after its restart":    {status: framework.AttemptStatus{State: framework.AttemptAbsent, Fenced: true, StartedUnixNano: 9}, sent: 1, want: structs.OutcomeUnknown},
		"the back end is unreachable": {err: framework.ErrUnreachable, sent: 1, want: structs.OutcomeUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.application.end = framework.AttemptEnd{Kind: framework.EndLost}
			f.application.status, f.application.statusErr = test.status, test.err
			caller, _ := f.submit(applicationCall("a"))
			f.run(10 * time.Minute)
			if len(f.application.invoked) != test.sent {
				t.Errorf("sent %d times, want %d", len(f.application.invoked), test.sent)
			}
			if test.sent == 1 && caller.status(t) != test.want {
				t.Errorf("the caller got %s, want %s", caller.status(t), test.want)
			}
			if caller.status(t) == structs.OutcomeNotRun && test.sent == 1 {
				t.Error("a call that may have run was reported as not run")
			}
		})
	}
}

func TestRejectedEverywhereIsNotRun(t *testing.T) {
	f := newFixture(t)
	f.application.end = framework.AttemptEnd{Kind: framework.EndRejected, Message: "draining"}
	caller, _ := f.submit(applicationCall("a"))
	f.run(time.Minute)
	outcome := caller.outcomes[0]
	if outcome.Status != structs.OutcomeNotRun || outcome.RetryAfter == 0 {
		t.Errorf("outcome %+v, want not run with a retry-after time", outcome)
	}
	again, _ := f.submit(applicationCall("a"))
	if len(again.outcomes) != 1 {
		t.Error("the refused request could not be sent again")
	}
}

func TestHoldsAreReleasedWhenTheProgramEnds(t *testing.T) {
	f := newFixture(t)
	f.submit(modelCall("a"))
	f.engine.answer("one")
	f.run(100 * time.Millisecond)
	if len(f.engine.released) != 0 {
		t.Fatalf("released %v while the program pauses", f.engine.released)
	}
	last := modelCall("b")
	last.EndProgram = true
	f.submit(last)
	f.engine.answer("two")
	f.run(time.Second)
	if len(f.engine.released) != 1 {
		t.Errorf("released %v, want the first call's hold", f.engine.released)
	}
}

func TestLongPauseReleasesTheHold(t *testing.T) {
	f := newFixture(t)
	f.submit(modelCall("a"))
	f.engine.answer("one")
	f.run(time.Minute)
	if len(f.engine.released) != 1 {
		t.Errorf("released %v after a long pause, want one hold", f.engine.released)
	}
}

func TestUnaccountedHoldIsReleased(t *testing.T) {
	f := newFixture(t)
	f.coordinator.Receive(self, holdSeen("forgotten"))
	f.run(time.Second)
	if diff := cmp.Diff([]structs.HoldID{"forgotten"}, f.engine.released); diff != "" {
		t.Errorf("released (-want +got):\n%s", diff)
	}
}

func TestCancelledCallStopsAtTheEngine(t *testing.T) {
	f := newFixture(t)
	_, submission := f.submit(modelCall("a"))
	submission.Cancel()
	f.run(time.Second)
	if len(f.engine.cancelled) != 1 {
		t.Fatalf("cancelled %v", f.engine.cancelled)
	}
	f.engine.observers[0].End(framework.AttemptEnd{Kind: framework.EndCancelled})
	f.run(time.Second)
	again, _ := f.submit(modelCall("a"))
	if again.status(t) != structs.OutcomeCancelled {
		t.Errorf("second submission: %s", again.status(t))
	}
}

func TestCallLeavesStalledEngine(t *testing.T) {
	f := newFixture(t)
	caller, _ := f.submit(modelCall("a"))
	f.run(45 * time.Second)
	if len(f.engine.requests) < 2 || len(f.engine.cancelled) == 0 {
		t.Fatalf("%d requests, cancelled %v", len(f.engine.requests), f.engine.cancelled)
	}
	f.engine.answer("late")
	f.run(time.Second)
	if caller.text != "late" {
		t.Errorf("the caller got %q", caller.text)
	}
}

func TestDeadlineRefusesWhatWasNotSent(t *testing.T) {
	f := newFixture(t)
	f.scheduler.holdBack = true
	call := modelCall("a")
	call.Deadline = begin.Add(3 * time.Second)
	caller, _ := f.submit(call)
	f.run(6 * time.Second)
	if got := caller.outcomes; len(got) != 1 || got[0].Status != structs.OutcomeNotRun || got[0].Reason != structs.ReasonDeadline {
		t.Errorf("outcomes %+v", got)
	}
}

func TestAnswerArrivesOnceWhenTheCallerComesBack(t *testing.T) {
	f := newFixture(t)
	_, submission := f.submit(modelCall("a"))
	f.engine.observers[0].Chunks([]structs.Chunk{{Offset: 0, Text: "twenty "}})
	f.run(10 * time.Millisecond)
	submission.Detach()
	back := modelCall("a")
	back.ResumeAt = 3
	caller, _ := f.submit(back)
	f.engine.answer("twenty loaves")
	f.run(time.Second)
	if caller.text != "nty loaves" {
		t.Errorf("resumed at byte 3: %q", caller.text)
	}
}

func TestFullQueueRefusesNewProgramsUnrecorded(t *testing.T) {
	f := newFixture(t)
	f.submit(modelCall("a"))
	f.engine.answer("one")
	f.run(100 * time.Millisecond)
	f.scheduler.full = true
	recorded := len(f.group.records)
	other := modelCall("a")
	other.Key.Program = "another"
	caller, _ := f.submit(other)
	if got := caller.outcomes; len(got) != 1 || got[0].Status != structs.OutcomeNotRun || got[0].RetryAfter == 0 {
		t.Errorf("a new program: %+v", got)
	}
	if len(f.group.records) != recorded {
		t.Errorf("%d records of a refused program", len(f.group.records)-recorded)
	}
	f.submit(modelCall("b"))
	if len(f.engine.requests) != 2 {
		t.Error("a call of a program in progress was refused")
	}
}

// The program ends between the proposal of a call's intent and its
// acknowledgement. The end comes first in the log, so the call was refused and
// must not be sent.
func TestProgramEndDuringIntentSendsNothing(t *testing.T) {
	f := newFixture(t)
	f.scheduler.holdBack = true
	caller, _ := f.submit(modelCall("a"))
	f.group.delayAcks = true
	f.coordinator.Receive(self, &dispatch.EndProgram{Query: 1, Key: modelCall("a").Key})
	f.scheduler.held[0].Assign(assignmentOf(f))
	f.run(100 * time.Millisecond)
	if len(f.group.delayedAcks) != 2 {
		t.Fatalf("%d open proposals, want the end and the intent", len(f.group.delayedAcks))
	}
	f.group.delayAcks = false
	for _, acknowledge := range f.group.delayedAcks {
		f.group.queue.Do(func() { acknowledge(nil) })
	}
	f.run(time.Second)
	if status := caller.status(t); status != structs.OutcomeNotRun {
		t.Errorf("outcome %q, want not run", status)
	}
	if len(f.engine.requests) != 0 {
		t.Error("a call that was reported as not run was sent")
	}
}
