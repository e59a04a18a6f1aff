package scenario

import (
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// randomScenario draws its faults from the seed: any fault at any time, also
// several at once, within the limits of toleratesZoneLoss.
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
		Faults: scheduleRandomFaults,
	}
}

const (
	// fleetStream separates the random choices for the fleet from others.
	fleetStream = 99
	// maxFaultInterval is the maximum time between two faults.
	maxFaultInterval = 5 * time.Second
	// maxFaultDuration is the maximum duration of a fault.
	maxFaultDuration = 10 * time.Second
)

func scheduleRandomFaults(r *Run) {
	r.After(time.Duration(r.Random.Int64N(int64(maxFaultInterval))), func() {
		r.injectRandomFault()
		scheduleRandomFaults(r)
	})
}

// randomFaults lists the possible faults; a fault listed twice is more likely.
var randomFaults = []func(*Run){
	crashAny, crashAny, crashBusiest, crashBusiest, crashAny,
	pauseBusiest, pauseAny,
	func(r *Run) { r.CutZone(r.anyZone(), r.randomDuration()) },
	func(r *Run) { r.IsolateZone(r.anyZone(), r.randomDuration()) },
	func(r *Run) { r.CutOneWay(r.anyDaemon().Address, string(r.anyZone()), r.randomDuration()) },
	func(r *Run) { r.CutOneWay(string(r.anyZone()), r.anyDaemon().Address, r.randomDuration()) },
	func(r *Run) { r.CutOneWay(string(r.anyZone()), string(r.anyEngine().ID()), r.randomDuration()) },
	func(r *Run) { r.LogDown(2 * r.randomDuration()) },
	func(r *Run) { r.DegradeLog(2 * r.randomDuration()) },
	func(r *Run) { r.CrashEngine(r.anyEngine(), r.randomDuration()) },
	func(r *Run) { r.CrashEngine(r.anyEngine(), r.randomDuration()) },
	func(r *Run) { r.LoseAnswers(r.anyApplication(), 0.3, r.randomDuration()) },
	func(r *Run) { r.DownApplication(r.anyApplication(), r.randomDuration()) },
	func(r *Run) { r.DegradeNetwork(r.randomDuration()) },
	func(r *Run) { r.DegradeNetwork(r.randomDuration()) },
	func(r *Run) { r.StopGracefully(r.anyDaemon(), r.randomDuration()) },
	func(r *Run) {
		r.JumpClock(r.anyDaemon(), time.Duration(r.Random.Int64N(int64(4*time.Second)))-2*time.Second)
	},
	func(r *Run) { r.race([]structs.ZoneName{r.anyZone(), r.anyZone(), r.anyZone()}) },
	func(r *Run) { r.race([]structs.ZoneName{r.anyZone(), r.anyZone()}) },
}

func (r *Run) injectRandomFault() { randomFaults[r.Random.IntN(len(randomFaults))](r) }

func crashAny(r *Run)     { r.Crash(r.anyDaemon(), r.randomDuration()) }
func crashBusiest(r *Run) { r.Crash(r.busiestOrAny(), r.randomDuration()) }
func pauseAny(r *Run)     { r.Pause(r.anyDaemon(), r.randomDuration()) }
func pauseBusiest(r *Run) { r.Pause(r.busiestOrAny(), r.randomDuration()) }

// busiestOrAny returns the daemon that leads most shards, or any daemon if none
// is live.
func (r *Run) busiestOrAny() *cluster.Daemon {
	if d := r.busiestLeader(); d != nil {
		return d
	}
	return r.anyDaemon()
}

func (r *Run) randomDuration() time.Duration {
	return time.Duration(r.Random.Int64N(int64(maxFaultDuration)))
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
