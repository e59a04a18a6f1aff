package experiment

import (
	"fmt"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/workload"
)

// ErrInvalidOptions is returned for an option out of range.
var ErrInvalidOptions = eris.New("experiment: option out of range")

// Bounds of options.
const (
	maximumLoad     = 10
	maximumSeeds    = 100
	maximumDuration = 3600
)

// parallelRuns limits concurrent runs; each is deterministic on its own.
const parallelRuns = 4

// PolicyResult is one row of a result in the JSON output.
type PolicyResult struct {
	Name                string  `json:"name"`
	Programs            int     `json:"programs"`
	LatencyP50Seconds   float64 `json:"latency_p50_s"`
	LatencyP95Seconds   float64 `json:"latency_p95_s"`
	LatencyP99Seconds   float64 `json:"latency_p99_s"`
	LatencyMeanSeconds  float64 `json:"latency_mean_s"`
	RecomputedFraction  float64 `json:"recomputed_fraction"`
	HeldIdleFraction    float64 `json:"held_idle_fraction"`
	WastedCacheFraction float64 `json:"wasted_cache"`
	// Outcome holds the measurements behind the row.
	Outcome Outcome `json:"-"`
}

// Result is the output of an experiment.
type Result struct {
	Workload string         `json:"workload"`
	Load     float64        `json:"load"`
	Seed     uint64         `json:"seed"`
	Policies []PolicyResult `json:"policies"`
}

// DegradedPublication returns degraded engine reports: load reports 2 s old,
// cache events 2 s late, and a third of the events lost.
func DegradedPublication() enginemodel.Publication {
	const lag = 2 * time.Second
	return enginemodel.Publication{LoadLag: lag, EventDelay: lag, EventLoss: 1.0 / 3}
}

// Validate returns ErrInvalidOptions or ErrUnknownPolicy for the first invalid
// option.
func (o *Options) Validate() error {
	switch {
	case o.Load <= 0 || o.Load > maximumLoad:
		return eris.Wrapf(ErrInvalidOptions, "load %g, want above 0 and at most %d", o.Load, maximumLoad)
	case o.Seeds < 1 || o.Seeds > maximumSeeds:
		return eris.Wrapf(ErrInvalidOptions, "seeds %d, want 1 to %d", o.Seeds, maximumSeeds)
	case o.Duration <= 0 || o.Duration > maximumDuration:
		return eris.Wrapf(ErrInvalidOptions, "duration %g, want above 0 and at most %d", o.Duration, maximumDuration)
	}
	return CheckPolicies(o.Policies)
}

// Traces generates one trace for each seed.
func Traces(shape *workload.Shape, options *Options) []workload.Trace {
	traces := make([]workload.Trace, options.Seeds)
	for i := range traces {
		seeded := *options
		seeded.Seed += uint64(i)
		traces[i] = Trace(shape, &seeded)
	}
	return traces
}

// Compare replays every trace under every policy. Latencies of all traces are
// pooled; the cache fractions are means over the traces.
func Compare(shape *workload.Shape, options *Options, traces []workload.Trace) (Result, error) {
	result := Result{Workload: shape.Name, Load: options.Load, Seed: options.Seed}
	outcomes, err := runAll(shape, options, traces)
	if err != nil {
		return result, err
	}
	for i, policy := range options.Policies {
		merged := merge(policy, outcomes[i])
		result.Policies = append(result.Policies, row(merged))
	}
	return result, nil
}

// runAll runs every policy on every trace. Runs share no state, so their order
// does not matter.
func runAll(shape *workload.Shape, options *Options, traces []workload.Trace) ([][]Outcome, error) {
	outcomes := make([][]Outcome, len(options.Policies))
	failures := make([]error, len(options.Policies)*len(traces))
	slots := make(chan struct{}, parallelRuns)
	var group sync.WaitGroup
	for i, policy := range options.Policies {
		outcomes[i] = make([]Outcome, len(traces))
		for j := range traces {
			group.Add(1)
			slots <- struct{}{}
			go func() {
				defer group.Done()
				defer func() { <-slots }()
				outcomes[i][j], failures[i*len(traces)+j] = runPolicy(shape, options, policy, &traces[j])
			}()
		}
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return outcomes, nil
}

func merge(policy string, outcomes []Outcome) Outcome {
	merged := Outcome{Policy: policy, Samples: outcomes[0].Samples}
	for _, outcome := range outcomes {
		merged.Latencies = append(merged.Latencies, outcome.Latencies...)
		merged.Refusals += outcome.Refusals
		merged.Unfinished += outcome.Unfinished
		merged.RecomputedFraction += outcome.RecomputedFraction / float64(len(outcomes))
		merged.HeldIdleFraction += outcome.HeldIdleFraction / float64(len(outcomes))
	}
	return merged
}

func row(o Outcome) PolicyResult {
	return PolicyResult{
		Name:                o.Policy,
		Programs:            len(o.Latencies),
		LatencyP50Seconds:   o.Quantile(0.50),
		LatencyP95Seconds:   o.Quantile(0.95),
		LatencyP99Seconds:   o.Quantile(0.99),
		LatencyMeanSeconds:  o.Mean(),
		RecomputedFraction:  o.RecomputedFraction,
		HeldIdleFraction:    o.HeldIdleFraction,
		WastedCacheFraction: o.WastedCacheFraction(),
		Outcome:             o,
	}
}

// Table renders a result as a text table.
func (r *Result) Table() string {
	writer := table.NewWriter()
	writer.SetTitle(fmt.Sprintf("%s at load %g, seed %d", r.Workload, r.Load, r.Seed))
	writer.AppendHeader(table.Row{"policy", "programs", "p50 s", "p95 s", "p99 s", "mean s", "recomputed", "held idle", "wasted"})
	for _, p := range r.Policies {
		writer.AppendRow(table.Row{
			p.Name, p.Programs,
			fmt.Sprintf("%.2f", p.LatencyP50Seconds), fmt.Sprintf("%.2f", p.LatencyP95Seconds),
			fmt.Sprintf("%.2f", p.LatencyP99Seconds), fmt.Sprintf("%.2f", p.LatencyMeanSeconds),
			fmt.Sprintf("%.3f", p.RecomputedFraction), fmt.Sprintf("%.3f", p.HeldIdleFraction),
			fmt.Sprintf("%.3f", p.WastedCacheFraction),
		})
	}
	return writer.Render()
}
