package experiment

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/workload"
)

func smallOptions(policies ...string) *Options {
	return &Options{Load: 0.5, Seed: 3, Seeds: 1, Duration: 6, Policies: policies, Parameters: EngineParameters()}
}

func compare(t *testing.T, name string, options *Options) Result {
	t.Helper()
	shape, err := workload.ByName(name)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Compare(&shape, options, Traces(&shape, options))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestResultIsDeterministic(t *testing.T) {
	render := func() string {
		encoded, err := json.Marshal(compare(t, workload.TallyName, smallOptions(SessionAffinity, Mintpulley, LowerBound)))
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded)
	}
	if diff := cmp.Diff(render(), render()); diff != "" {
		t.Errorf("two runs differ:\n%s", diff)
	}
}

func TestEveryPolicyServesEveryProgram(t *testing.T) {
	result := compare(t, workload.ChlebnetName, smallOptions(Policies()...))
	programs := result.Policies[len(result.Policies)-1].Programs
	for _, policy := range result.Policies {
		if policy.Programs != programs || policy.Outcome.Unfinished != 0 {
			t.Errorf("%s finished %d of %d programs", policy.Name, policy.Programs, programs)
		}
	}
}

// A program alone on an idle fleet takes its lower bound plus the prefix that
// is not cached yet, the network delay and the wait for a step.
func TestLowerBoundAgreesWithTheEngineModel(t *testing.T) {
	shape, err := workload.ByName(workload.TallyName)
	if err != nil {
		t.Fatal(err)
	}
	options := smallOptions(Mintpulley)
	for i, program := range shape.Sample(11, 40) {
		trace := workload.Trace{Workload: shape.Name, Seed: 1, Programs: []workload.Program{program}}
		outcome, err := runPolicy(&shape, options, Mintpulley, &trace)
		if err != nil {
			t.Fatal(err)
		}
		lower := lowerBound{shape: &shape, parameters: &options.Parameters}
		bound := lower.latency(&program)
		cold := float64(shape.PrefixTokens(program.Template)) * 2 * options.Parameters.PrefillPerToken.Seconds()
		slack := 0.03*bound + cold + 0.05*float64(program.Calls())
		got := outcome.Latencies[0]
		if got < 0.97*bound || got > bound+slack {
			t.Errorf("program %d took %.3f s, its lower bound is %.3f s", i, got, bound)
		}
	}
}

func TestSteadyBoundMeetsTheReferenceBatchAtLoadOne(t *testing.T) {
	shape, err := workload.ByName(workload.TallyName)
	if err != nil {
		t.Fatal(err)
	}
	capacity := CapacityOf(&shape, EngineParameters())
	batch, _ := capacity.steadyBound(1)
	if want := float64(capacity.ReferenceBatch); math.Abs(batch-want) > 1e-6*want {
		t.Errorf("batch %.3f at load 1, want %g", batch, want)
	}
	if _, idle := capacity.steadyBound(1e-9); math.Abs(idle-capacity.stepBaseSeconds) > 1e-6 {
		t.Errorf("an idle engine steps in %.6f s, want %.6f s", idle, capacity.stepBaseSeconds)
	}
	if _, over := capacity.steadyBound(2); !math.IsInf(over, 1) {
		t.Errorf("a step of %.3f s carries twice the load", over)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	bad := map[string]func(*Options){
		"load":     func(o *Options) { o.Load = 0 },
		"seeds":    func(o *Options) { o.Seeds = 0 },
		"duration": func(o *Options) { o.Duration = -1 },
	}
	for name, spoil := range bad {
		options := smallOptions(Mintpulley)
		spoil(options)
		if err := options.Validate(); !eris.Is(err, ErrInvalidOptions) {
			t.Errorf("%s: error %v, want %v", name, err, ErrInvalidOptions)
		}
	}
	if err := smallOptions("best").Validate(); !eris.Is(err, ErrUnknownPolicy) {
		t.Errorf("error %v, want %v", err, ErrUnknownPolicy)
	}
}
