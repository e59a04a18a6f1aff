package scenario

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// lossScenarios returns the scenarios in which daemons crash, pause and
// restart.
func lossScenarios() []*Scenario {
	return []*Scenario{
		holdersLost(),
		twoLostThenAThird(),
		allHoldersLost(),
		pausedPastTakeover(),
		zoneRestart(),
		clockJumps(),
		rollingReplacement(),
		plannedStop(),
	}
}

func holdersLost() *Scenario {
	return &Scenario{
		Name:    "holders_lost",
		Summary: "One leader after another crashes and restarts with empty memory.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			for at := 4 * time.Second; at < 40*time.Second; at += 6 * time.Second {
				r.After(at, func() { r.Crash(r.busiestLeader(), 4*time.Second) })
			}
		},
	}
}

func twoLostThenAThird() *Scenario {
	return &Scenario{
		Name:    "two_lost_then_a_third",
		Summary: "Two machines are lost at once with the log down, a third during the takeover.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			r.After(10*time.Second, func() {
				r.LogDown(8 * time.Second)
				first := r.busiestLeader()
				r.Crash(first, 20*time.Second)
				r.Crash(r.otherZone(first), 20*time.Second)
			})
			r.After(11500*time.Millisecond, func() { r.Crash(r.busiestLeader(), 20*time.Second) })
		},
	}
}

func allHoldersLost() *Scenario {
	return &Scenario{
		Name:    "all_holders_lost",
		Summary: "All three replicas of a shard crash at once; it is recovered from the log, and reports unknown outcomes as unknown.",
		Load:    Load{Programs: 80, Over: 60 * time.Second},
		Shape: func(shape *workload.Shape) {
			shape.Application, shape.FullHistory = 0.5, 0.3
		},
		Faults: func(r *Run) {
			r.After(18*time.Second, func() { r.loseAllAnswers(0.5, 5*time.Second) })
			r.After(20*time.Second, func() { r.CrashReplicas(r.busiestLeader(), 5*time.Second) })
			r.After(38*time.Second, func() { r.DegradeLog(10 * time.Second) })
			r.After(39*time.Second, func() { r.loseAllAnswers(0.5, 5*time.Second) })
			r.After(41*time.Second, func() { r.CrashReplicas(r.busiestLeader(), 5*time.Second) })
		},
	}
}

func pausedPastTakeover() *Scenario {
	return &Scenario{
		Name:    "paused_past_takeover",
		Summary: "Leaders are paused until they are replaced, and resume as if they still led.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			for at := 4 * time.Second; at < 36*time.Second; at += 7 * time.Second {
				r.After(at, func() { r.Pause(r.busiestLeader(), 5*time.Second) })
			}
		},
	}
}

func zoneRestart() *Scenario {
	return &Scenario{
		Name:    "zone_restart",
		Summary: "All daemons of a zone crash together and restart together.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			r.After(8*time.Second, func() { r.crashZone(cluster.Zone(0), 5*time.Second) })
			r.After(25*time.Second, func() { r.crashZone(cluster.Zone(1), 5*time.Second) })
		},
	}
}

func clockJumps() *Scenario {
	return &Scenario{
		Name:    "clock_jumps",
		Summary: "Wall clocks are wrong and jump forward and back.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			for at := 3 * time.Second; at < 36*time.Second; at += 5 * time.Second {
				r.After(at, func() {
					d := r.Cluster.Daemons[r.Random.IntN(len(r.Cluster.Daemons))]
					r.JumpClock(d, time.Duration(r.Random.Int64N(int64(4*time.Second)))-2*time.Second)
				})
			}
		},
	}
}

func rollingReplacement() *Scenario {
	return &Scenario{
		Name:    "rolling_replacement",
		Summary: "Every daemon is replaced under load, one after another; no request is cut off.",
		Load:    Load{Programs: 60, Over: 70 * time.Second},
		Faults:  replaceAllDaemons,
	}
}

func plannedStop() *Scenario {
	return &Scenario{
		Name:    "planned_stop",
		Summary: "Two daemons in a row are shut down gracefully; no request is cut off.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			r.Callers.OnlyGracefulStops = true
			r.After(8*time.Second, func() { r.stopBusiestServing(5 * time.Second) })
			r.After(20*time.Second, func() { r.stopBusiestServing(5 * time.Second) })
		},
	}
}

// servingPollInterval is the interval at which stopBusiestServing looks for a
// daemon with waiting callers.
const servingPollInterval = 50 * time.Millisecond

// stopBusiestServing gracefully shuts down the daemon with the most waiting
// callers, once there is one: stopping an idle daemon would test nothing.
func (r *Run) stopBusiestServing(restartAfter time.Duration) {
	var most *cluster.Daemon
	for _, d := range r.Cluster.Live() {
		waiting := d.Node.Submitter.Pending()
		if waiting > 0 && (most == nil || waiting > most.Node.Submitter.Pending()) {
			most = d
		}
	}
	if most == nil {
		r.After(servingPollInterval, func() { r.stopBusiestServing(restartAfter) })
		return
	}
	r.StopGracefully(most, restartAfter)
}

// otherZone returns the first live daemon in another zone than the given daemon,
// or that daemon if there is none.
func (r *Run) otherZone(than *cluster.Daemon) *cluster.Daemon {
	for _, d := range r.Cluster.Live() {
		if d.Zone != than.Zone {
			return d
		}
	}
	return than
}

func (r *Run) crashZone(zone structs.ZoneName, restartAfter time.Duration) {
	r.Fault("zone_restart", string(zone))
	for _, d := range r.Cluster.Live() {
		if d.Zone == zone {
			r.Crash(d, restartAfter)
		}
	}
}

func replaceAllDaemons(r *Run) {
	r.Callers.OnlyGracefulStops = true
	for number, d := range r.Cluster.Daemons {
		r.After(time.Duration(4+10*number)*time.Second, func() { r.StopGracefully(d, 2*time.Second) })
	}
}

// loseAllAnswers calls LoseAnswers for all application back ends.
func (r *Run) loseAllAnswers(chance float64, duration time.Duration) {
	for _, application := range r.Cluster.ApplicationList {
		r.LoseAnswers(application, chance, duration)
	}
}
