package scenario

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// goodputDeadline is how long a caller waits for each call.
	goodputDeadline = 10 * time.Second
	// goodputBatch is the largest batch of an engine: small, so that few
	// programs overload the fleet.
	goodputBatch = 8
	// goodputQueue is how many calls may wait in one daemon.
	goodputQueue = 256
)

// GoodputTimes are the virtual times of a goodput run.
type GoodputTimes struct {
	// WarmUp lets queues fill before programs are counted, for Window.
	WarmUp, Window time.Duration
}

// DefaultGoodputTimes are long against a call's deadline.
func DefaultGoodputTimes() GoodputTimes {
	return GoodputTimes{WarmUp: 40 * time.Second, Window: 80 * time.Second}
}

// GoodputOptions choose a goodput run.
type GoodputOptions struct {
	Seed   uint64
	Course *GoodputCourse
	Times  GoodputTimes
	Logger zerolog.Logger
}

// GoodputPoint is what a fleet completes of what it is offered.
type GoodputPoint struct {
	Course string `json:"course"`
	// Offered is programs that arrive, Completed programs that ended with every
	// call answered within its deadline; both per second, without the programs
	// that the course adds.
	Offered   float64 `json:"offered_per_s"`
	Completed float64 `json:"completed_per_s"`
	// RefusedCalls counts calls told "not run" in the whole run.
	RefusedCalls int `json:"refused_calls"`
	Violations   int `json:"violations"`
	// Findings say what shows each violation.
	Findings []checker.Finding `json:"-"`
}

// Goodput runs one fleet per offered rate, in programs per second. Callers that
// are refused come back: that load comes on top.
func Goodput(options GoodputOptions, rates []float64) []GoodputPoint {
	points := make([]GoodputPoint, 0, len(rates))
	for _, rate := range rates {
		points = append(points, goodputAt(options, rate))
	}
	return points
}

func goodputAt(options GoodputOptions, rate float64) GoodputPoint {
	s := &Scenario{Name: "goodput", Fleet: goodputFleet, Shape: goodputShape}
	r := newRun(s, Options{Seed: options.Seed, Logger: options.Logger})
	completed := 0
	r.Callers.OnProgramEnd = func(plan *workload.Plan, end workload.End) {
		if end == workload.EndCompleted && !options.Course.added(plan) {
			completed++
		}
	}
	r.Operators.PublishInitial(firstConfiguration(s.budget()))
	r.Cluster.Start()
	r.Cluster.Run(warmUp)
	end := r.Cluster.Elapsed() + options.Times.WarmUp + options.Times.Window
	r.arrive(arrivals{rate: rate, end: end, tenants: options.Course.counted(), shape: r.shape, prefix: "p"})
	options.Course.begin(r, rate, options.Times, end)
	r.Cluster.Run(options.Times.WarmUp)
	before := completed
	r.Cluster.Run(options.Times.Window)
	inWindow := completed - before
	r.heal()
	r.drain()
	report := r.report()
	return GoodputPoint{
		Course:       options.Course.Name,
		Offered:      rate,
		Completed:    float64(inWindow) / options.Times.Window.Seconds(),
		RefusedCalls: report.Calls.Refused,
		Violations:   report.ViolationCount(),
		Findings:     report.Findings,
	}
}

func goodputFleet(fleet *cluster.Options) {
	fleet.DaemonsPerZone = 1
	fleet.EnginesPerZone = 1
	fleet.Engine.MaximumRunning = goodputBatch
	fleet.Node.QueueLimit = goodputQueue
}

func goodputShape(shape *workload.Shape) {
	*shape = workload.Shape{Turns: 5, Pause: time.Second, Tokens: 120}
}

// arrivals is a stream of programs at random moments.
type arrivals struct {
	// rate is the mean, in programs per second, until end.
	rate    float64
	end     time.Duration
	tenants []structs.TenantName
	shape   workload.Shape
	// prefix begins the programs' identifiers.
	prefix string
}

// arrive has programs arrive.
func (r *Run) arrive(stream arrivals) {
	gap := time.Duration(r.Random.ExpFloat64() / stream.rate * float64(time.Second))
	r.Cluster.After(gap, func() {
		if r.Cluster.Elapsed() >= stream.end {
			return
		}
		r.programs++
		tenant := stream.tenants[r.Random.IntN(len(stream.tenants))]
		key := structs.ProgramKey{Tenant: tenant, Program: structs.ProgramID(fmt.Sprintf("%s%d", stream.prefix, r.programs))}
		plan := stream.shape.Draw(r.Random, key, workload.Template)
		for i := range plan.Steps {
			plan.Steps[i].Deadline = goodputDeadline
		}
		r.Callers.Start(plan)
		r.arrive(stream)
	})
}
