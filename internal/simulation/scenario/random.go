package scenario

import (
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// randomScenario draws its faults from the seed: any of them, at any moment,
// together or twice, within what mayLose allows.
func randomScenario() *Scenario {
	return &Scenario{
		Name:    Random,
		Summary: "Faults of all kinds drawn from the seed.",
		Fleet: func(fleet *cluster.Options) {
			random := rand.New(rand.NewPCG(fleet.Seed, fleetStream))
			fleet.Engine.Publication.EventLoss = random.Float64() * 0.4
			fleet.Engine.Publication.LoadLag = time.Duration(random.Int64N(int64(2 * time.Second)))
			fleet.ListLag = time.Duration(random.Int64N(int64(4 * time.Second)))
		},
		Shape: func(shape *workload.Shape) {
			shape.Application = 0.4
			shape.Duplicate = 0.15
			shape.Pipelined = 0.15
		},
		Load:   Load{Programs: 40, Over: 40 * time.Second},
		Faults: drawFaults,
	}
}

const (
	// fleetStream sets the choice of the fleet apart from other choices.
	fleetStream = 99
	// faultPause bounds the pause between two faults.
	faultPause = 5 * time.Second
	// faultLasting bounds how long one lasts.
	faultLasting = 10 * time.Second
)

func drawFaults(r *Run) {
	r.After(time.Duration(r.Random.Int64N(int64(faultPause))), func() {
		r.drawFault()
		drawFaults(r)
	})
}

// drawable lists what may befall a fleet; a kind that stands twice is likelier.
var drawable = []func(*Run){
	crashAny, crashAny, crashHolder, crashHolder, crashAny,
	pauseHolder, pauseAny,
	func(r *Run) { r.CutZone(r.anyZone(), r.lasting()) },
	func(r *Run) { r.IsolateZone(r.anyZone(), r.lasting()) },
	func(r *Run) { r.CutOneWay(r.anyDaemon().Address, string(r.anyZone()), r.lasting()) },
	func(r *Run) { r.CutOneWay(string(r.anyZone()), r.anyDaemon().Address, r.lasting()) },
	func(r *Run) { r.CutOneWay(string(r.anyZone()), string(r.anyEngine().ID()), r.lasting()) },
	func(r *Run) { r.LogDown(2 * r.lasting()) },
	func(r *Run) { r.DegradeLog(2 * r.lasting()) },
	func(r *Run) { r.CrashEngine(r.anyEngine(), r.lasting()) },
	func(r *Run) { r.CrashEngine(r.anyEngine(), r.lasting()) },
	func(r *Run) { r.LoseAnswers(r.anyApplication(), 0.3, r.lasting()) },
	func(r *Run) { r.DownApplication(r.anyApplication(), r.lasting()) },
	func(r *Run) { r.DegradeNetwork(r.lasting()) },
	func(r *Run) { r.DegradeNetwork(r.lasting()) },
	func(r *Run) { r.StopGracefully(r.anyDaemon(), r.lasting()) },
	func(r *Run) {
		r.JumpClock(r.anyDaemon(), time.Duration(r.Random.Int64N(int64(4*time.Second)))-2*time.Second)
	},
	func(r *Run) { r.race([]structs.ZoneName{r.anyZone(), r.anyZone(), r.anyZone()}) },
	func(r *Run) { r.race([]structs.ZoneName{r.anyZone(), r.anyZone()}) },
}

func (r *Run) drawFault() { drawable[r.Random.IntN(len(drawable))](r) }

func crashAny(r *Run)    { r.Crash(r.anyDaemon(), r.lasting()) }
func crashHolder(r *Run) { r.Crash(r.holder(), r.lasting()) }
func pauseAny(r *Run)    { r.Pause(r.anyDaemon(), r.lasting()) }
func pauseHolder(r *Run) { r.Pause(r.holder(), r.lasting()) }

// holder returns the daemon that leads most, or any one when none runs.
func (r *Run) holder() *cluster.Daemon {
	if d := r.busiest(); d != nil {
		return d
	}
	return r.anyDaemon()
}

func (r *Run) lasting() time.Duration {
	return time.Duration(r.Random.Int64N(int64(faultLasting)))
}

func (r *Run) anyDaemon() *cluster.Daemon {
	return r.Cluster.Daemons[r.Random.IntN(len(r.Cluster.Daemons))]
}

func (r *Run) anyEngine() *drivers.Engine {
	return r.Cluster.EngineList[r.Random.IntN(len(r.Cluster.EngineList))]
}

func (r *Run) anyApplication() *drivers.Application {
	return r.Cluster.ApplicationList[r.Random.IntN(len(r.Cluster.ApplicationList))]
}

func (r *Run) anyZone() structs.ZoneName {
	return cluster.Zone(r.Random.IntN(r.Cluster.Options.Zones))
}
