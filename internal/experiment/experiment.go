// Package experiment replays one trace of programs under several scheduling
// policies and compares program latency and wasted cache. The daemon's own
// scheduling and dispatch code runs, over model engines on a virtual clock.
package experiment

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/workload"
)

// DefaultDuration is how long programs arrive, in virtual seconds.
const DefaultDuration = 120

// cacheTokens is what an 8-billion-parameter model leaves of an accelerator of
// the 32 GB class: 13 GB at 128 KB a token.
const cacheTokens = 100_000

// EngineParameters returns the parameters of the experiment's engines.
func EngineParameters() enginemodel.Parameters {
	parameters := enginemodel.Default()
	parameters.CacheTokens = cacheTokens
	return parameters
}

// Options describe one experiment.
type Options struct {
	// Load is the arrival rate in parts of the capacity.
	Load float64
	Seed uint64
	// Seeds is how many seeds are run, from Seed on.
	Seeds    int
	Duration float64
	Policies []string
	// Parameters are the engines'.
	Parameters enginemodel.Parameters
	// Adjust changes the profile of mintpulley, for trials; nil for none.
	AdjustProfile func(*schedule.Profile)
}

// Outcome is what one policy made of a trace.
type Outcome struct {
	Policy string
	// Latencies of programs, in seconds, in the order of their ends.
	Latencies          []float64
	Samples            []CacheSample
	Refusals           int
	Unfinished         int
	RecomputedFraction float64
	HeldIdleFraction   float64
}

// WastedCacheFraction is recomputed plus held idle.
func (o *Outcome) WastedCacheFraction() float64 { return o.RecomputedFraction + o.HeldIdleFraction }

// Quantile returns a quantile of the latencies.
func (o *Outcome) Quantile(q float64) float64 {
	if len(o.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.Latencies))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Mean returns the mean latency.
func (o *Outcome) Mean() float64 {
	sum := 0.0
	for _, latency := range o.Latencies {
		sum += latency
	}
	return sum / float64(max(len(o.Latencies), 1))
}

// Trace draws the programs of an experiment.
func Trace(shape *workload.Shape, options *Options) workload.Trace {
	capacity := CapacityOf(shape, options.Parameters)
	return shape.Generate(options.Seed, options.Load*capacity.ProgramsPerSecond, options.Duration)
}

// runPolicy replays a trace under one policy.
func runPolicy(shape *workload.Shape, options *Options, policy string, trace *workload.Trace) (Outcome, error) {
	switch policy {
	case LowerBound:
		bound := lowerBound{shape: shape, parameters: &options.Parameters}
		return bound.outcome(policy, trace), nil
	case SteadyBound:
		return steadyOutcome(shape, options, trace), nil
	}
	return replay(shape, options, policy, trace)
}
