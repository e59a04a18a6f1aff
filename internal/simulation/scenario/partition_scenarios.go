package scenario

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// partitionScenarios returns the scenarios with network partitions and racing
// operators.
func partitionScenarios() []*Scenario {
	return []*Scenario{{
		Name:    "zone_partition",
		Summary: "A zone is cut off from the others and from callers, then another.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			r.After(5*time.Second, func() { r.CutZone(cluster.Zone(0), 10*time.Second) })
			r.After(22*time.Second, func() { r.CutZone(cluster.Zone(1), 8*time.Second) })
		},
	}, {
		Name:    "zone_isolated_log_down",
		Summary: "A zone is cut off from everything while the platform's log is down.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			r.After(4*time.Second, func() { r.LogDown(25 * time.Second) })
			r.After(8*time.Second, func() { r.IsolateZone(cluster.Zone(2), 12*time.Second) })
			r.After(12*time.Second, func() { r.Crash(r.busiestLeader(), 10*time.Second) })
		},
	}, {
		Name:    "one_way_link",
		Summary: "A leader can send but not receive, then receive but not send.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			r.After(5*time.Second, func() { r.CutOneWay("", r.busiestLeader().Address, 8*time.Second) })
			r.After(20*time.Second, func() { r.CutOneWay(r.busiestLeader().Address, "", 8*time.Second) })
			r.After(30*time.Second, func() { r.CutOneWay(string(cluster.Zone(0)), string(cluster.Zone(1)), 6*time.Second) })
		},
	}, {
		Name:    "operators_racing",
		Summary: "Operators in all zones publish during partitions, a degraded log and restarts.",
		Load:    Load{Programs: 10, Over: 40 * time.Second},
		Faults:  racingOperators,
	}, {
		Name:    "lagging_readers",
		Summary: "Operators publish while readers of the log fall behind again and again, and daemons restart.",
		Load:    Load{Programs: 10, Over: 40 * time.Second},
		Faults:  laggingReaders,
	}}
}

func laggingReaders(r *Run) {
	zones := []structs.ZoneName{cluster.Zone(0), cluster.Zone(1), cluster.Zone(2)}
	for at := 2 * time.Second; at < 40*time.Second; at += time.Second {
		r.After(at, func() { r.race(zones) })
	}
	for at := 5 * time.Second; at < 38*time.Second; at += 7 * time.Second {
		r.After(at, func() { r.DegradeLog(4 * time.Second) })
	}
	r.After(13*time.Second, func() { r.Crash(r.Cluster.Daemons[1], time.Second) })
	r.After(27*time.Second, func() { r.Crash(r.Cluster.Daemons[3], time.Second) })
}

func racingOperators(r *Run) {
	zones := []structs.ZoneName{cluster.Zone(0), cluster.Zone(1), cluster.Zone(2)}
	for at := 2 * time.Second; at < 40*time.Second; at += 2 * time.Second {
		r.After(at, func() { r.race(zones) })
	}
	r.After(5*time.Second, func() { r.IsolateZone(zones[0], 9*time.Second) })
	r.After(8*time.Second, func() { r.DegradeLog(10 * time.Second) })
	r.After(20*time.Second, func() { r.CutOneWay(string(zones[1]), "log", 8*time.Second) })
	r.After(22*time.Second, func() { r.Crash(r.Cluster.Daemons[2], 2*time.Second) })
	r.After(30*time.Second, func() { r.LogDown(5 * time.Second) })
	r.After(31*time.Second, func() { r.Crash(r.Cluster.Daemons[4], time.Second) })
}

func (r *Run) race(zones []structs.ZoneName) {
	r.Fault("operator_race")
	r.Operators.Race(zones...)
}
