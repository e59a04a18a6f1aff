package dispatch_test

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// A back end answers "absent and fenced" while the first request may still be
// in flight: the fence must stop that one and let the next one pass.
func TestInspectionFencesOwnEarlierDispatches(t *testing.T) {
	f := newFixture(t)
	f.application.end = framework.AttemptEnd{Kind: framework.EndLost}
	f.application.status = framework.AttemptStatus{State: framework.AttemptAbsent, Fenced: true}
	f.submit(applicationCall("a"))
	f.run(10 * time.Minute)
	sent, fences := f.application.invoked, f.application.inspected
	if len(sent) < 2 || len(fences) < len(sent)-1 {
		t.Fatalf("%d sent, %d inspections", len(sent), len(fences))
	}
	for i := range len(sent) - 1 {
		if sent[i].Epoch >= fences[i] {
			t.Errorf("send %d has epoch %d: the fence at %d does not stop it", i, sent[i].Epoch, fences[i])
		}
		if sent[i+1].Epoch < fences[i] {
			t.Errorf("send %d has epoch %d: the fence at %d stops it", i+1, sent[i+1].Epoch, fences[i])
		}
	}
}

// A call is refused after inspections whose fences the back end keeps. The
// caller, told "not run", submits it again: the new dispatches must pass the
// old fences.
func TestResubmittedCallPassesEarlierFences(t *testing.T) {
	f := newFixture(t)
	f.application.end = framework.AttemptEnd{Kind: framework.EndLost}
	f.application.status = framework.AttemptStatus{State: framework.AttemptAbsent, Fenced: true}
	for round := range 3 {
		first := len(f.application.invoked)
		caller, _ := f.submit(applicationCall("a"))
		f.run(10 * time.Minute)
		if status := caller.status(t); status != structs.OutcomeNotRun {
			t.Fatalf("round %d: outcome %q", round, status)
		}
		sent, fences := f.application.invoked, f.application.inspected
		if len(sent) <= first {
			t.Fatalf("round %d: nothing was sent", round)
		}
		if round == 0 {
			continue
		}
		if fence := fences[first-1]; sent[first].Epoch < fence {
			t.Errorf("round %d: sent with epoch %d, which the fence at %d stops", round, sent[first].Epoch, fence)
		}
	}
}
