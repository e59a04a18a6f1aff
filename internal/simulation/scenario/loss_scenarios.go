package scenario

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// lossScenarios kill, pause and restart daemons.
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
		Summary: "One daemon after another dies at once and comes back empty.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			for at := 4 * time.Second; at < 40*time.Second; at += 6 * time.Second {
				r.After(at, func() { r.Crash(r.busiest(), 4*time.Second) })
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
				first := r.busiest()
				r.Crash(first, 20*time.Second)
				r.Crash(r.otherZone(first), 20*time.Second)
			})
			r.After(11500*time.Millisecond, func() { r.Crash(r.busiest(), 20*time.Second) })
		},
	}
}

func allHoldersLost() *Scenario {
	return &Scenario{
		Name:    "all_holders_lost",
		Summary: "All three holders of a shard die at once; it goes on from the log, and claims no more than it knows.",
		Load:    Load{Programs: 80, Over: 60 * time.Second},
		Shape: func(shape *workload.Shape) {
			shape.Application, shape.FullHistory = 0.5, 0.3
		},
		Faults: func(r *Run) {
			r.After(18*time.Second, func() { r.loseAllAnswers(0.5, 5*time.Second) })
			r.After(20*time.Second, func() { r.CrashReplicas(r.busiest(), 5*time.Second) })
			r.After(38*time.Second, func() { r.DegradeLog(10 * time.Second) })
			r.After(39*time.Second, func() { r.loseAllAnswers(0.5, 5*time.Second) })
			r.After(41*time.Second, func() { r.CrashReplicas(r.busiest(), 5*time.Second) })
		},
	}
}

func pausedPastTakeover() *Scenario {
	return &Scenario{
		Name:    "paused_past_takeover",
		Summary: "Holders are paused past their takeover and wake believing that they still hold.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			for at := 4 * time.Second; at < 36*time.Second; at += 7 * time.Second {
				r.After(at, func() { r.Pause(r.busiest(), 5*time.Second) })
			}
		},
	}
}

func zoneRestart() *Scenario {
	return &Scenario{
		Name:    "zone_restart",
		Summary: "All daemons of a zone die together and come back together.",
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
		Summary: "Every daemon is replaced under load, one after another; no request is cut.",
		Load:    Load{Programs: 60, Over: 70 * time.Second},
		Faults:  replaceAllDaemons,
	}
}

func plannedStop() *Scenario {
	return &Scenario{
		Name:    "planned_stop",
		Summary: "Daemons stop as planned, two in a row; no request is cut.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			r.Callers.OnlyGracefulStops = true
			r.After(8*time.Second, func() { r.stopServing(5 * time.Second) })
			r.After(20*time.Second, func() { r.stopServing(5 * time.Second) })
		},
	}
}

// servingPoll is the pause between looks for a daemon at which callers wait.
const servingPoll = 50 * time.Millisecond

// stopServing stops, as planned, the daemon at which most callers wait, once
// any does: the stop of an idle daemon would show nothing.
func (r *Run) stopServing(restartAfter time.Duration) {
	var most *cluster.Daemon
	for _, d := range r.Cluster.Live() {
		waiting := d.Node.Submitter.Pending()
		if waiting > 0 && (most == nil || waiting > most.Node.Submitter.Pending()) {
			most = d
		}
	}
	if most == nil {
		r.After(servingPoll, func() { r.stopServing(restartAfter) })
		return
	}
	r.StopGracefully(most, restartAfter)
}

// otherZone returns the live daemon in another zone that comes first.
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

// loseAllAnswers makes all application back ends take effect and not answer, at
// times.
func (r *Run) loseAllAnswers(chance float64, lasting time.Duration) {
	for _, application := range r.Cluster.ApplicationList {
		r.LoseAnswers(application, chance, lasting)
	}
}
