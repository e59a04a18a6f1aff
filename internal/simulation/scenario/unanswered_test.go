package scenario

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestCheckUnansweredReportsRequestsWithoutOutcome runs the check just after a
// request was sent, with and without the callers being cut off permanently:
// only the second is a violation.
func TestCheckUnansweredReportsRequestsWithoutOutcome(t *testing.T) {
	for name, cut := range map[string]bool{"just sent": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			r := newRun(find(t, "calm"), Options{Seed: 1})
			r.Operators.PublishInitial(r.initialConfiguration())
			r.Cluster.Start()
			r.Cluster.Run(warmUp)
			r.Callers.Start(&workload.Plan{
				Key:      structs.ProgramKey{Tenant: tenants[0], Program: "p"},
				Template: workload.Template,
				Steps:    []workload.Step{{Kind: structs.CallModel, Tokens: 40}},
			})
			r.Cluster.Run(20 * time.Millisecond)
			if !r.Callers.Busy() {
				t.Fatal("the request is over already")
			}
			if cut {
				r.Cluster.Network.Cut("callers", "")
				r.Cluster.Network.Cut("", "callers")
			}
			r.checkUnanswered()
			found := 0
			for _, finding := range r.Checker.Findings() {
				if finding.Violation == checker.AnswerIncomplete {
					found++
				}
			}
			if cut != (found == 1) {
				t.Errorf("%d requests without an outcome", found)
			}
		})
	}
}
