package experiment

import (
	"math"

	"github.com/mintpulley/mintpulley/internal/workload"
)

// steadyBound returns a lower bound of the mean time between tokens when
// programs arrive evenly at a load, and the batch size at which it is reached.
// It assumes that engines are never idle, nothing is computed twice, no call
// waits and memory is unbounded. In a second, an engine spends
//
//	steps * StepBase + answer * perSequence + new * PrefillPerToken = 1
//
// where answer and new are the tokens of the load. The time left for StepBase
// gives the number of steps, and a step yields one token for each call of the
// batch. Uneven arrivals increase the time, since it is convex in the load.
func (c *Capacity) steadyBound(load float64) (batch, stepSeconds float64) {
	rate := load / c.WorkSeconds
	answers := rate * c.answerTokens
	steps := (1 - answers*c.perSequenceSeconds - rate*c.prefillSeconds) / c.stepBaseSeconds
	if steps <= 0 {
		return math.Inf(1), math.Inf(1)
	}
	return answers / steps, 1 / steps
}

// steadyOutcome computes the latency of each program alone on a warm engine
// whose tokens come no faster than at the steady bound.
func steadyOutcome(shape *workload.Shape, options *Options, trace *workload.Trace) Outcome {
	capacity := CapacityOf(shape, options.Parameters)
	_, step := capacity.steadyBound(options.Load)
	bound := lowerBound{shape: shape, parameters: &options.Parameters, minimumStepSeconds: step}
	return bound.outcome(SteadyBound, trace)
}
