package experiment

import (
	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/workload"
)

// lowerBound computes the latency of programs that run alone on an idle engine
// with a warm cache: pauses are as generated, sub-agents run on idle engines
// of their own.
type lowerBound struct {
	shape      *workload.Shape
	parameters *enginemodel.Parameters
	// minimumStepSeconds is the minimum time between tokens; with zero the
	// engine's step time applies.
	minimumStepSeconds float64
}

func (b *lowerBound) outcome(policy string, trace *workload.Trace) Outcome {
	outcome := Outcome{Policy: policy}
	for i := range trace.Programs {
		outcome.Latencies = append(outcome.Latencies, b.latency(&trace.Programs[i]))
	}
	return outcome
}

// latency returns a program's latency in seconds.
func (b *lowerBound) latency(program *workload.Program) float64 {
	cached := b.shape.PrefixTokens(program.Template)
	latency := 0.0
	for i := range program.Turns {
		turn := &program.Turns[i]
		latency += b.callSeconds(cached, turn)
		cached += turn.InputTokens + turn.AnswerTokens
		if i == len(program.Turns)-1 {
			break
		}
		gap := turn.PauseSeconds
		for j := range turn.SubAgents {
			gap = max(gap, b.latency(&turn.SubAgents[j]))
		}
		latency += gap
	}
	return latency
}

// callSeconds returns the time of one call whose previous context is cached in
// full blocks.
func (b *lowerBound) callSeconds(cached int64, turn *workload.Turn) float64 {
	p := b.parameters
	prompt := cached + turn.InputTokens
	left := prompt - cached/prefix.BlockTokens*prefix.BlockTokens
	steps := (left + p.StepTokens - 1) / p.StepTokens
	seconds := float64(steps)*p.StepBase.Seconds() + float64(left)*p.PrefillPerToken.Seconds()
	decodes := float64(turn.AnswerTokens - 1)
	context := float64(prompt) + decodes/2
	step := p.StepBase.Seconds() + p.StepPerSequence.Seconds() + context*p.StepPerContextToken.Seconds()
	return seconds + decodes*max(step, b.minimumStepSeconds)
}
