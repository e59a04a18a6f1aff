package scenario

import (
	"slices"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/workload"
)

// TestCachesMoveAmidFailures requires that the scenario causes transfers and
// crashes. That engines hold nothing at the end is checked in every scenario.
func TestCachesMoveAmidFailures(t *testing.T) {
	t.Parallel()
	r := newRun(find(t, "caches_move"), Options{Seed: 2})
	report := execute(r)
	expectNoViolations(t, report)
	if r.cacheTransfers < 10 || report.Faults["process_crash"] == 0 || report.Faults["engine_crash"] == 0 {
		t.Errorf("%d transfers, faults %v", r.cacheTransfers, report.Faults)
	}
}

// TestVersionRolloutRefusesNoCall requires that a rollout refuses no call,
// keeps at least three engines serving the model, limits concurrent loads, and
// ends with the last version on every engine.
func TestVersionRolloutRefusesNoCall(t *testing.T) {
	t.Parallel()
	r := newRun(find(t, "version_rollout"), Options{Seed: 1})
	minServing := len(r.Cluster.EngineList)
	var watch func()
	watch = func() {
		serving := 0
		for _, engine := range r.Cluster.EngineList {
			if slices.Contains(engine.Model.Models(), workload.Model) {
				serving++
			}
		}
		minServing = min(minServing, serving)
		r.Cluster.After(100*time.Millisecond, watch)
	}
	watch()
	report := execute(r)
	expectNoViolations(t, report)
	if report.Calls.Refused != 0 || report.Programs.Completed != report.Programs.Started {
		t.Errorf("%d calls refused, %d of %d programs completed", report.Calls.Refused, report.Programs.Completed, report.Programs.Started)
	}
	if minServing < 3 || minServing == len(r.Cluster.EngineList) {
		t.Errorf("%d engines served at the least, want 3 or more, and some that did not", minServing)
	}
	if bound := r.Cluster.Options.Node.Placement.MaximumLoading; r.Cluster.Weights.PeakLoads > bound {
		t.Errorf("%d engines read weights at a time, want at most %d", r.Cluster.Weights.PeakLoads, bound)
	}
	for _, engine := range r.Cluster.EngineList {
		if load := engine.Model.Load(); load.Versions[workload.Model] != "3" {
			t.Errorf("%s ended with version %q", engine.ID(), load.Versions[workload.Model])
		}
	}
}
