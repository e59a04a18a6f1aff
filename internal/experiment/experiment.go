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

// DefaultDuration is the default time during which programs arrive, in virtual
// seconds.
const DefaultDuration = 120

// cacheTokens is the cache that an 8-billion-parameter model leaves on an
// accelerator of the 32 GB class: 13 GB at 128 KB per token.
const cacheTokens = 100_000

// EngineParameters returns the parameters of the experiment's engines.
func EngineParameters() enginemodel.Parameters {
	parameters := enginemodel.Default()
	parameters.CacheTokens = cacheTokens
	return parameters
}

// Options configure one experiment.
type Options struct {
	// Load is the arrival rate as a fraction of the capacity.
	Load float64
	Seed uint64
	// Seeds is the number of consecutive seeds to run, starting at Seed.
	Seeds    int
	Duration float64
	Policies []string
	// Parameters are the engines' parameters.
	Parameters enginemodel.Parameters
	// AdjustProfile changes the profile of the mintpulley policy, for trials;
	// nil for none.
	AdjustProfile func(*schedule.Profile)
}

// Outcome holds the measurements of one policy on a trace.
type Outcome struct {
	Policy string
	// Latencies are the latencies of programs in seconds, in the order in
	// which they ended.
	Latencies          []float64
	Samples            []CacheSample
	Refusals           int
	Unfinished         int
	RecomputedFraction float64
	HeldIdleFraction   float64
}

// WastedCacheFraction returns the recomputed plus the held idle fraction.
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

// Trace generates the programs of an experiment.
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
