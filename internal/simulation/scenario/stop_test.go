package scenario

import (
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
)

// stopping returns a short run in which one daemon is gracefully shut down
// after 5 s.
func stopping(injectFault func(r *Run, stopped *cluster.Daemon)) *Scenario {
	return &Scenario{
		Name: "stopping",
		Load: Load{Programs: 40, Over: 6 * time.Second},
		Faults: func(r *Run) {
			r.After(5*time.Second, func() {
				daemon := r.busiestLeader()
				injectFault(r, daemon)
				r.StopGracefully(daemon, time.Second)
			})
		},
	}
}

func TestCrashDuringGracefulStopIsNoViolation(t *testing.T) {
	t.Parallel()
	crashed := false
	s := stopping(func(r *Run, stopped *cluster.Daemon) {
		r.After(10*time.Millisecond, func() {
			crashed = stopped.OpenRequests() > 0
			r.Crash(stopped, time.Second)
		})
	})
	report := Execute(s, Options{Seed: 1})
	if !crashed {
		t.Fatal("no request was under way when the daemon crashed")
	}
	expectNoViolations(t, report)
}

func TestGracefulStopCountsCutRequestsOfUnreachableCallers(t *testing.T) {
	t.Parallel()
	s := stopping(func(r *Run, stopped *cluster.Daemon) {
		r.CutOneWay(stopped.Address, "callers", time.Second)
	})
	report := Execute(s, Options{Seed: 1, Break: checker.StopCutRequest})
	if report.Violations[checker.StopCutRequest] == 0 {
		t.Error("requests of unreachable callers were cut off and not counted")
	}
}
