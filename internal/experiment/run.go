package experiment

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/workload"
)

const (
	// sampleInterval is the interval between samples of the caches.
	sampleInterval = time.Second
	// maximumOverrun is how long after the last arrival a run ends even if
	// programs are unfinished.
	maximumOverrun = time.Hour
)

// CacheSample is the use of all caches at one time, as fractions of their
// capacity.
type CacheSample struct {
	AtSeconds float64
	Cached    float64
	Held      float64
}

// run replays a trace under one policy.
type run struct {
	fleet     *fleet
	trace     *workload.Trace
	latencies []float64
	refusals  int
	samples   []CacheSample
	cache     cacheWaste
}

// cacheWaste is measured when the last program has arrived: blocks that an idle
// fleet keeps after that are not wasted.
type cacheWaste struct {
	recomputedFraction float64
	heldIdleFraction   float64
}

func ignoreEnd(dispatch.ProgramEnded, error) {}

// replay runs a trace to its end and returns the measurements.
func replay(shape *workload.Shape, options *Options, policy string, trace *workload.Trace) (Outcome, error) {
	profile := profileOf(policy)
	if policy == Mintpulley && options.AdjustProfile != nil {
		options.AdjustProfile(&profile)
	}
	f, err := newFleet(shape, options, profile, trace.Seed)
	if err != nil {
		return Outcome{}, err
	}
	r := &run{fleet: f, trace: trace}
	for i := range trace.Programs {
		r.schedule(&trace.Programs[i])
	}
	r.sample()
	f.clock.AfterFunc(time.Duration(options.Duration*float64(time.Second)), func() { r.cache = r.measureCache(options) })
	limit := startOfRun.Add(time.Duration(options.Duration*float64(time.Second)) + maximumOverrun)
	for len(r.latencies) < len(trace.Programs) && f.clock.Now().Before(limit) && f.clock.Step() {
	}
	return r.outcome(policy), nil
}

func (r *run) schedule(program *workload.Program) {
	caller := &programRun{run: r, program: program}
	caller.done = func() {
		r.latencies = append(r.latencies, r.fleet.clock.Now().Sub(caller.startedAt).Seconds())
	}
	r.fleet.clock.AfterFunc(time.Duration(program.ArrivalSeconds*float64(time.Second)), caller.start)
}

func (r *run) sample() {
	var cached, held, capacity int64
	for _, engine := range r.fleet.engines.Engines() {
		cached += engine.CachedTokens()
		held += engine.HeldTokens()
		capacity += engine.Load().CacheCapacityTokens
	}
	if capacity > 0 {
		r.samples = append(r.samples, CacheSample{
			AtSeconds: r.fleet.clock.Now().Sub(startOfRun).Seconds(),
			Cached:    float64(cached) / float64(capacity),
			Held:      float64(held) / float64(capacity),
		})
	}
	r.fleet.clock.AfterFunc(sampleInterval, r.sample)
}

// measureCache counts blocks that are cached and not in use as if they were
// evicted now, including those that a later call would hit.
func (r *run) measureCache(options *Options) cacheWaste {
	elapsed := r.fleet.clock.Now().Sub(startOfRun).Seconds()
	var prompt, recomputed int64
	idle := 0.0
	for _, engine := range r.fleet.engines.Engines() {
		engine.CountIdleBlocks()
		statistics := engine.Statistics()
		prompt += statistics.PromptTokens
		recomputed += statistics.RecomputedTokens
		idle += statistics.IdleTokenSeconds
	}
	capacity := float64(options.Parameters.CacheTokens) * float64(r.fleet.shape.Engines) * elapsed
	return cacheWaste{
		recomputedFraction: float64(recomputed) / float64(max(prompt, 1)),
		heldIdleFraction:   idle / capacity,
	}
}

func (r *run) outcome(policy string) Outcome {
	return Outcome{
		Policy:             policy,
		Latencies:          r.latencies,
		Samples:            r.samples,
		Refusals:           r.refusals,
		Unfinished:         len(r.trace.Programs) - len(r.latencies),
		RecomputedFraction: r.cache.recomputedFraction,
		HeldIdleFraction:   r.cache.heldIdleFraction,
	}
}
