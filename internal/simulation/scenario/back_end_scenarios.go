package scenario

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
)

// backEndScenarios returns the scenarios in which engines, applications and
// tools fail.
func backEndScenarios() []*Scenario {
	return []*Scenario{
		engineRestart(),
		lostAnswers(),
		toolsHang(),
		overload(),
		budgets(),
		enginesLost(),
		leavingBackends(),
	}
}

func engineRestart() *Scenario {
	return &Scenario{
		Name:    "engine_restart",
		Summary: "Engines crash and restart, cache events are lost, and a leader crashes.",
		Fleet: func(fleet *cluster.Options) {
			fleet.Engine.Publication.EventLoss = 0.3
		},
		Load: defaultLoad(),
		Faults: func(r *Run) {
			for at := 3 * time.Second; at < 38*time.Second; at += 4 * time.Second {
				r.After(at, func() {
					r.CrashEngine(r.Cluster.EngineList[r.Random.IntN(len(r.Cluster.EngineList))], 2*time.Second)
				})
			}
			r.After(14*time.Second, func() { r.Crash(r.busiestLeader(), 3*time.Second) })
		},
	}
}

func lostAnswers() *Scenario {
	return &Scenario{
		Name:    "lost_answers",
		Summary: "Answers of application back ends are lost after requests took effect, and a leader crashes.",
		Shape:   mostlyApplications,
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			for _, a := range r.Cluster.ApplicationList {
				r.After(2*time.Second, func() { r.LoseAnswers(a, 0.3, 30*time.Second) })
			}
			r.After(10*time.Second, func() { r.Crash(r.busiestLeader(), 3*time.Second) })
		},
	}
}

func toolsHang() *Scenario {
	return &Scenario{
		Name:    "tools_hang",
		Summary: "An application hangs, callers abandon programs, and programs loop endlessly.",
		Shape: func(shape *workload.Shape) {
			shape.Abandoned, shape.Looping = 0.15, 0.15
		},
		Load: defaultLoad(),
		Faults: func(r *Run) {
			r.After(6*time.Second, func() {
				r.Fault("tool_hang")
				r.Cluster.ApplicationList[0].Hanging = true
			})
			r.After(30*time.Second, func() { r.Cluster.ApplicationList[0].Hanging = false })
			r.After(12*time.Second, func() { r.Crash(r.busiestLeader(), 3*time.Second) })
		},
	}
}

func overload() *Scenario {
	return &Scenario{
		Name:    "overload",
		Summary: "Far more programs than the engines can serve; no refused call may run.",
		Fleet: func(fleet *cluster.Options) {
			fleet.EnginesPerZone = 1
			fleet.Engine.MaximumRunning = 2
			fleet.Node.QueueLimit = 8
		},
		Load: Load{Programs: 120, Over: 15 * time.Second},
		Faults: func(r *Run) {
			r.Fault("overload")
			r.After(8*time.Second, func() { r.Crash(r.busiestOrAny(), 3*time.Second) })
		},
	}
}

func budgets() *Scenario {
	return &Scenario{
		Name:    "budgets",
		Summary: "Small budgets with sub-agents, loops, engine crashes and takeovers.",
		Budget:  1500,
		Shape: func(shape *workload.Shape) {
			shape.SubAgents, shape.Looping, shape.Turns = 0.5, 0.2, 10
		},
		Load: defaultLoad(),
		Faults: func(r *Run) {
			for at := 3 * time.Second; at < 38*time.Second; at += 5 * time.Second {
				r.After(at, func() { r.CrashEngine(r.anyEngine(), 2*time.Second) })
			}
			for at := 8 * time.Second; at < 38*time.Second; at += 9 * time.Second {
				r.After(at, func() { r.Crash(r.busiestOrAny(), 3*time.Second) })
			}
		},
	}
}

func enginesLost() *Scenario {
	return &Scenario{
		Name:    "engines_lost",
		Summary: "Engines crash one after another and all at once, with callers that set deadlines.",
		Shape: func(shape *workload.Shape) {
			shape.Deadline, shape.Turns, shape.Application = 0.7, 8, 0.1
		},
		Load: defaultLoad(),
		Faults: func(r *Run) {
			for at := 2 * time.Second; at < 40*time.Second; at += 1500 * time.Millisecond {
				r.After(at, func() { r.CrashEngine(r.anyEngine(), 2*time.Second) })
			}
			r.After(15*time.Second, func() { r.Crash(r.busiestOrAny(), 3*time.Second) })
			for _, at := range []time.Duration{12 * time.Second, 22 * time.Second, 32 * time.Second} {
				r.After(at, func() { r.crashAllEngines(8 * time.Second) })
			}
		},
	}
}

func leavingBackends() *Scenario {
	return &Scenario{
		Name:    "leaving_backends",
		Summary: "Back ends leave: announced by the lagging list, or only by the back end itself.",
		Load:    defaultLoad(),
		Faults: func(r *Run) {
			engines, applications := r.Cluster.EngineList, r.Cluster.ApplicationList
			r.After(5*time.Second, func() { r.ListAsLeaving(engines[0].ID(), 25*time.Second) })
			r.After(8*time.Second, func() { r.DrainEngine(engines[3]) })
			r.After(10*time.Second, func() { r.ListAsLeaving(applications[0].ID(), 25*time.Second) })
			r.After(14*time.Second, func() { r.DrainApplication(applications[1]) })
			r.After(20*time.Second, func() { r.Crash(r.busiestLeader(), 3*time.Second) })
		},
	}
}

func (r *Run) crashAllEngines(restartAfter time.Duration) {
	for _, engine := range r.Cluster.EngineList {
		r.CrashEngine(engine, restartAfter)
	}
}
