package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
)

// TestCheckerDetectsSkippedRecovery disables the recovery of shards that lost
// all their replicas: the checker must find the violations that callers see.
func TestCheckerDetectsSkippedRecovery(t *testing.T) {
	t.Parallel()
	skipsRecovery := *find(t, "all_holders_lost")
	skipsRecovery.Fleet = func(fleet *cluster.Options) { fleet.Guards.Dispatch.SkipRecovery = true }
	expected := map[uint64][]checker.Violation{
		4:  {checker.HistoryLost, checker.RefusalWasRun},
		12: {checker.RanMoreThanOnce},
	}
	for seed, violations := range expected {
		report := Execute(&skipsRecovery, Options{Seed: seed})
		for _, violation := range violations {
			if report.Violations[violation] == 0 {
				t.Errorf("seed %d: %s was not found: %v", seed, violation, report.Violations)
			}
		}
	}
}

// BenchmarkArchive measures the log space that the archives of a fleet without
// faults use.
func BenchmarkArchive(b *testing.B) {
	for range b.N {
		r := newRun(&Scenario{Name: "calm", Load: Load{Programs: 400, Over: 100 * time.Second}}, Options{Seed: 1})
		report := execute(r)
		entries, bytes := 0, 0
		for shard := range simulatedShards {
			stream := framework.StreamName(fmt.Sprintf("%s-%d", framework.StreamSnapshots, shard))
			for _, entry := range r.Cluster.Log.Entries(stream) {
				entries++
				bytes += len(entry.Payload)
			}
		}
		b.ReportMetric(float64(bytes)/float64(report.Calls.Dispatched), "archive-B/call")
		b.ReportMetric(float64(entries)/float64(report.Calls.Dispatched), "appends/call")
		b.ReportMetric(float64(report.Calls.Dispatched), "calls")
	}
}
