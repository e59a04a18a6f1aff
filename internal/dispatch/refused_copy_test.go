package dispatch_test

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// resentCall returns a copy of a request of which another may be in flight.
func resentCall(request string) structs.Call {
	call := applicationCall(request)
	call.Retry = true
	return call
}

// rejectAllCalls makes the application reject every call.
func (f *fixture) rejectAllCalls() {
	f.application.end = framework.AttemptEnd{Kind: framework.EndRejected, Message: "draining"}
}

func (f *fixture) wantUnknownWithRetry(who string, caller *recordedCaller) {
	f.t.Helper()
	if status := caller.status(f.t); status != structs.OutcomeUnknown || caller.outcomes[0].RetryAfter == 0 {
		f.t.Errorf("%s: %+v, want unknown with a retry-after time", who, caller.outcomes[0])
	}
}

// A copy arrives after another one was accepted and refused. It is accepted
// anew and runs, so the first must not have been reported as not run.
func TestRefusedCopyIsUnknownWhileAnotherMayRun(t *testing.T) {
	f := newFixture(t)
	f.rejectAllCalls()
	first, _ := f.submit(resentCall("a"))
	f.run(time.Minute)
	f.wantUnknownWithRetry("the first copy", first)
	f.application.end = framework.AttemptEnd{Kind: framework.EndCompleted}
	f.wantCompleted("the second copy", resentCall("a"))
}

// The caller's second copy joins the first, before or after a takeover, while a
// third may be in flight.
func TestAttachedCopyMakesRefusalUnknown(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		f := newFixture(t)
		f.scheduler.holdBack = true
		f.submit(modelCall("a"))
		again := modelCall("a")
		again.Retry = true
		caller, _ := f.submit(again)
		if takeover {
			f.group.lead()
			f.run(time.Minute)
		}
		held := f.scheduler.held[len(f.scheduler.held)-1]
		held.Refuse(structs.Refused(structs.ReasonOverloaded, "", "Full.", time.Second))
		f.run(time.Second)
		f.wantUnknownWithRetry("the copy that joined", caller)
	}
}

// The program of a refused call ends: no copy of the call can be accepted any
// more.
func TestPermanentRefusalIsNotRunForEveryCopy(t *testing.T) {
	f := newFixture(t)
	f.scheduler.holdBack = true
	call := modelCall("a")
	call.Retry = true
	caller, _ := f.submit(call)
	f.coordinator.Receive(self, &dispatch.EndProgram{Query: 1, Key: call.Key})
	f.run(time.Second)
	if status := caller.status(t); status != structs.OutcomeNotRun {
		t.Errorf("outcome %q, want not run", status)
	}
}
