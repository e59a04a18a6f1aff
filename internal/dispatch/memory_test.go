package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// outcomeOf submits a call and returns its outcome.
func (f *fixture) outcomeOf(call structs.Call) structs.Outcome {
	f.t.Helper()
	caller, _ := f.submit(call)
	f.run(time.Second)
	caller.status(f.t)
	return caller.outcomes[0]
}

// laterCall returns a further call of a program.
func laterCall(program, call int) structs.Call {
	next := numberedCall(program)
	next.RequestID = structs.RequestID(fmt.Sprintf("r%d-%d", program, call))
	return next
}

func (f *fixture) wantRefusedForMemory(what string, call structs.Call) {
	f.t.Helper()
	outcome := f.outcomeOf(call)
	if outcome.Status != structs.OutcomeNotRun || outcome.Reason != structs.ReasonMemoryFull || outcome.RetryAfter <= 0 {
		f.t.Errorf("%s: %+v, want not_run with memory_full and a retry-after time", what, outcome)
	}
}

func (f *fixture) wantCompleted(what string, call structs.Call) {
	f.t.Helper()
	if outcome := f.outcomeOf(call); outcome.Status != structs.OutcomeCompleted {
		f.t.Errorf("%s: %+v, want it completed", what, outcome)
	}
}

func TestFullDaemonRefusesNewProgramsThenCalls(t *testing.T) {
	f := newFixture(t)
	f.application.end.Body = make([]byte, 600<<10)
	f.wantCompleted("first program", numberedCall(1))
	f.wantCompleted("second program", numberedCall(2))
	f.wantRefusedForMemory("third program at 1.2 of 1 MB", numberedCall(3))
	f.wantCompleted("call of a program in progress", laterCall(1, 2))
	subAgent := numberedCall(1)
	subAgent.Key.Program += "/flour"
	subAgent.RequestID = "sub"
	f.application.end.Body = nil
	f.wantCompleted("sub-agent of a program in progress", subAgent)
	f.application.end.Body = make([]byte, 600<<10)
	f.wantCompleted("call of a program in progress at 1.8 of 2 MB", laterCall(2, 2))
	f.wantRefusedForMemory("call of a program in progress at 2.4 of 2 MB", laterCall(2, 3))
	if got := len(f.application.invoked); got != 5 {
		t.Errorf("the application got %d calls, want the 5 that were accepted", got)
	}
}

func TestMemoryIsFreedWhenProgramsAreRemoved(t *testing.T) {
	f := newFixture(t)
	f.application.end.Body = make([]byte, 1100<<10)
	last := numberedCall(1)
	last.EndProgram = true
	f.wantCompleted("first program", last)
	f.wantRefusedForMemory("second program", numberedCall(2))
	f.run(11 * time.Minute)
	f.wantCompleted("second program after the first was removed", numberedCall(2))
}

func TestFullFollowerRefusesNewPrograms(t *testing.T) {
	f := newFixture(t)
	f.wantCompleted("first program", numberedCall(1))
	f.group.pressure = replication.PressureRefuseNew
	f.wantRefusedForMemory("second program", numberedCall(2))
	f.wantCompleted("call of a program in progress", laterCall(1, 2))
	f.group.pressure = replication.PressureRefuseAll
	f.wantRefusedForMemory("call of a program in progress", laterCall(1, 3))
	f.group.pressure = replication.PressureNone
	f.wantCompleted("second program with room again", numberedCall(2))
}
