package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const sender structs.EngineID = "10.0.0.7:8000"

// newTransferFixture returns a fixture with a program that has one answered call, held at
// the fake engine, and a second call whose cache is to be transferred. The fake
// engine plays both ends.
func newTransferFixture(t *testing.T) (*fixture, *recordedCaller) {
	f := newFixture(t)
	f.submit(modelCall("a"))
	f.engine.answer("one")
	f.run(100 * time.Millisecond)
	f.scheduler.transfer = schedule.Transfer{From: engineID, Tokens: 2048, Seconds: 0.05}
	caller, _ := f.submit(modelCall("b"))
	return f, caller
}

// lastHold returns the hold of the last recorded dispatch.
func (f *fixture) lastHold() structs.HoldID {
	for _, record := range slices.Backward(f.group.records) {
		if record.CallDispatched != nil {
			return record.CallDispatched.Hold
		}
	}
	return ""
}

// lastOutcome returns the last recorded outcome.
func (f *fixture) lastOutcome() structs.Outcome {
	for _, record := range slices.Backward(f.group.records) {
		if record.CallSettled != nil {
			return record.CallSettled.Outcome
		}
	}
	return structs.Outcome{}
}

func TestTransferIsRecordedBeforeItIsMade(t *testing.T) {
	f, caller := newTransferFixture(t)
	if len(f.engine.transfers) != 1 || len(f.engine.requests) != 1 {
		t.Fatalf("%d transfers and %d requests, want one transfer and the first call's request", len(f.engine.transfers), len(f.engine.requests))
	}
	want := framework.Transfer{From: engineID, To: engineID, Program: modelCall("b").Key, Hold: f.lastHold()}
	if diff := cmp.Diff(want, f.engine.transfers[0]); diff != "" || want.Hold == "" {
		t.Errorf("transfer (-recorded +made):\n%s", diff)
	}
	f.engine.transferDone[0](2048, nil)
	f.run(100 * time.Millisecond)
	if len(f.engine.requests) != 2 || f.engine.requests[1].Hold != want.Hold || f.scheduler.transferredTokens != 2048 {
		t.Errorf("%d requests, the last with hold %q; the scheduler recorded a transfer of %d tokens", len(f.engine.requests), f.engine.requests[len(f.engine.requests)-1].Hold, f.scheduler.transferredTokens)
	}
	if len(f.engine.released) != 1 || f.engine.released[0] == want.Hold {
		t.Errorf("released %v, want the hold of the previous call", f.engine.released)
	}
	f.engine.answer("two")
	f.run(100 * time.Millisecond)
	if got := caller.status(t); got != structs.OutcomeCompleted {
		t.Errorf("status %s", got)
	}
	if !slices.Contains(f.engine.released, want.Hold) {
		t.Errorf("released %v, want also %q, which is not held over the pause", f.engine.released, want.Hold)
	}
}

func TestFailedTransferCostsOnlyTime(t *testing.T) {
	f, caller := newTransferFixture(t)
	f.engine.transferDone[0](0, framework.ErrUnreachable)
	f.run(100 * time.Millisecond)
	if len(f.engine.released) != 0 {
		t.Errorf("released %v although the transfer failed", f.engine.released)
	}
	f.engine.answer("two")
	f.run(100 * time.Millisecond)
	if got := caller.status(t); got != structs.OutcomeCompleted {
		t.Errorf("status %s", got)
	}
}

// The leader crashes during a cache transfer. The successor finds the hold
// recorded, sends the call again, and makes the engine release what the
// transfer brought or will bring.
func TestCrashBetweenExportAndImport(t *testing.T) {
	f, caller := newTransferFixture(t)
	orphan := f.lastHold()
	f.scheduler.transfer = schedule.Transfer{}
	f.engine.status = framework.AttemptStatus{State: framework.AttemptAbsent, StartedUnixNano: 1, Fenced: true}
	f.group.lead()
	f.run(time.Second)
	f.engine.transferDone[0](2048, nil)
	f.run(5 * time.Second)
	if len(f.engine.requests) != 2 {
		t.Fatalf("%d requests, want one by the successor after the first call's", len(f.engine.requests))
	}
	f.engine.answer("two")
	f.run(time.Second)
	if got := caller.status(t); got != structs.OutcomeCompleted {
		t.Errorf("status %s", got)
	}
	if !slices.Contains(f.engine.released, orphan) {
		t.Errorf("released %v, want %q among them", f.engine.released, orphan)
	}
}

func TestReplacedLeaderDoesNotSendAfterATransfer(t *testing.T) {
	f, _ := newTransferFixture(t)
	f.run(5 * time.Second)
	f.group.refuseConfirm = true
	f.engine.transferDone[0](2048, nil)
	f.run(time.Second)
	if len(f.engine.requests) != 1 {
		t.Error("a leader that was replaced during the transfer still sent the call")
	}
}

func TestCallCancelledDuringATransferIsNotSent(t *testing.T) {
	f := newFixture(t)
	f.scheduler.transfer = schedule.Transfer{From: sender, Tokens: 2048, Seconds: 0.05}
	_, submission := f.submit(modelCall("a"))
	submission.Cancel()
	f.run(100 * time.Millisecond)
	f.engine.transferDone[0](2048, nil)
	f.run(100 * time.Millisecond)
	if got := f.lastOutcome().Status; got != structs.OutcomeNotRun || len(f.engine.requests) != 0 {
		t.Errorf("recorded as %s, %d requests", got, len(f.engine.requests))
	}
	if len(f.engine.released) == 0 {
		t.Error("the hold of the transfer was not released")
	}
}
