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
	// goodputDeadline is the deadline of each call.
	goodputDeadline = 10 * time.Second
	// goodputBatch is the maximum batch size of an engine; it is small, so that
	// few programs overload the fleet.
	goodputBatch = 8
	// goodputQueue limits the queued calls of one daemon.
	goodputQueue = 256
)

// GoodputTimes are the phases of a goodput run in virtual time.
type GoodputTimes struct {
	// WarmUp lets queues fill; programs are counted during Window, which
	// follows.
	WarmUp, Window time.Duration
}

// DefaultGoodputTimes returns times that are long compared with a call's
// deadline.
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

// GoodputPoint is the goodput of a fleet at one offered rate.
type GoodputPoint struct {
	Course string `json:"course"`
	// Offered is the rate of arriving programs, Completed that of programs
	// whose calls were all answered within their deadlines, both per second and
	// without the extra programs of the course.
	Offered   float64 `json:"offered_per_s"`
	Completed float64 `json:"completed_per_s"`
	// RefusedCalls counts outcomes of "not run" in the whole run.
	RefusedCalls int `json:"refused_calls"`
	Violations   int `json:"violations"`
	// Findings describe each violation.
	Findings []checker.Finding `json:"-"`
}

// Goodput runs one fleet for each offered rate, in programs per second. Retries
// after refusals add to the offered load.
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
		if end == workload.EndCompleted && !options.Course.isExcluded(plan) {
			completed++
		}
	}
	r.Operators.PublishInitial(defaultConfiguration(s.budget()))
	r.Cluster.Start()
	r.Cluster.Run(warmUp)
	end := r.Cluster.Elapsed() + options.Times.WarmUp + options.Times.Window
	r.scheduleArrivals(arrivals{rate: rate, end: end, tenants: options.Course.countedTenants(), shape: r.shape, prefix: "p"})
	options.Course.schedule(r, rate, options.Times, end)
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

// arrivals is a Poisson process of programs.
type arrivals struct {
	// rate is the mean rate, in programs per second, until end.
	rate    float64
	end     time.Duration
	tenants []structs.TenantName
	shape   workload.Shape
	// prefix is the prefix of the programs' identifiers.
	prefix string
}

// scheduleArrivals starts the next program of the process and schedules the one
// after it.
func (r *Run) scheduleArrivals(stream arrivals) {
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
		r.scheduleArrivals(stream)
	})
}
