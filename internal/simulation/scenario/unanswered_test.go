package scenario

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// TestOnlyRequestsWithoutAnOutcomeAreUnanswered looks at callers while a
// request has just been sent, once with the callers cut off for good.
func TestOnlyRequestsWithoutAnOutcomeAreUnanswered(t *testing.T) {
	for name, cut := range map[string]bool{"just sent": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			r := newRun(find(t, "calm"), Options{Seed: 1})
			r.Operators.PublishInitial(r.firstConfiguration())
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
			r.judgeUnanswered()
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
