package dispatch_test

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestLeaderKeepsCallsUntilConfigured(t *testing.T) {
	f := newFixture(t)
	known := f.configuration
	f.configuration = nil
	caller, _ := f.submit(modelCall("a"))
	f.run(900 * time.Millisecond)
	if len(caller.outcomes) != 0 {
		t.Fatalf("refused at once: %+v", caller.outcomes)
	}
	f.configuration = known
	f.run(200 * time.Millisecond)
	if len(f.engine.requests) != 1 {
		t.Fatalf("%d requests to the engine, want 1", len(f.engine.requests))
	}
	f.engine.answer("twenty loaves")
	f.run(time.Second)
	if got := caller.status(t); got != structs.OutcomeCompleted {
		t.Errorf("status %s", got)
	}
}

func TestLeaderWithoutAnyConfigurationRefuses(t *testing.T) {
	f := newFixture(t)
	f.configuration = nil
	caller, _ := f.submit(modelCall("a"))
	f.run(3 * time.Second)
	if got := caller.status(t); got != structs.OutcomeNotRun || caller.outcomes[0].Reason != structs.ReasonNoConfiguration {
		t.Errorf("outcome %+v", caller.outcomes[0])
	}
}
