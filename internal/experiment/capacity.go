package experiment

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/workload"
)

const (
	// referenceStep is the maximum time between tokens at a full engine.
	referenceStep = 30 * time.Millisecond
	// sampleSeed and samplePrograms define the sample from which the mean work
	// of a workload's programs is computed; it is the same for every seed of
	// an experiment.
	sampleSeed     = 424242
	samplePrograms = 4000
)

// Capacity is the maximum throughput of a fleet that computes nothing twice.
type Capacity struct {
	// ReferenceBatch is the largest batch whose steps take at most
	// referenceStep and whose contexts fit the cache.
	ReferenceBatch int
	// WorkSeconds is the engine time of a mean program in such a batch.
	WorkSeconds float64
	// ProgramsPerSecond is engines / WorkSeconds: load 1.
	ProgramsPerSecond float64

	// answerTokens and prefillSeconds are those of a mean program.
	answerTokens   float64
	prefillSeconds float64
	// stepBaseSeconds and perSequenceSeconds are the fixed and the
	// per-sequence time of a step.
	stepBaseSeconds    float64
	perSequenceSeconds float64
}

// work is the total work of a set of calls.
type work struct {
	newTokens     int64
	answerTokens  int64
	contextTokens int64
	calls         int64
}

func (w *work) add(shape *workload.Shape, program *workload.Program) {
	context := shape.PrefixTokens(program.Template)
	for i := range program.Turns {
		turn := &program.Turns[i]
		context += turn.InputTokens
		w.newTokens += turn.InputTokens
		w.answerTokens += turn.AnswerTokens
		w.contextTokens += turn.AnswerTokens * (context + turn.AnswerTokens/2)
		w.calls++
		context += turn.AnswerTokens
		for j := range turn.SubAgents {
			w.add(shape, &turn.SubAgents[j])
		}
	}
}

// fits reports whether a batch keeps its steps within referenceStep and its
// contexts within the cache.
func fits(batch int, context, perSequence float64, p *enginemodel.Parameters) bool {
	step := p.StepBase.Seconds() + float64(batch)*perSequence
	if step > referenceStep.Seconds() {
		return false
	}
	return float64(batch)*context <= float64(p.CacheTokens)
}

// CapacityOf computes a workload's capacity. A call costs the prefill of its
// new tokens and its share of each decode step, in a batch of the reference
// size with contexts of the mean length:
//
//	work = new * PrefillPerToken + answer * step(B) / B
//	step(B) = StepBase + B * (StepPerSequence + context * StepPerContextToken)
//
// Shared prefixes and histories count as cached. The memory of paused programs
// is ignored, so that no policy sustains load 1 when pauses are long.
func CapacityOf(shape *workload.Shape, p enginemodel.Parameters) Capacity {
	var total work
	sample := shape.Sample(sampleSeed, samplePrograms)
	for i := range sample {
		total.add(shape, &sample[i])
	}
	context := float64(total.contextTokens) / float64(total.answerTokens)
	perSequence := p.StepPerSequence.Seconds() + context*p.StepPerContextToken.Seconds()
	batch := 1
	for batch < p.MaximumRunning && fits(batch+1, context, perSequence, &p) {
		batch++
	}
	step := p.StepBase.Seconds() + float64(batch)*perSequence
	programs := float64(len(sample))
	prefill := float64(total.newTokens) * p.PrefillPerToken.Seconds() / programs
	answers := float64(total.answerTokens) / programs
	mean := prefill + answers*step/float64(batch)
	return Capacity{
		ReferenceBatch:     batch,
		WorkSeconds:        mean,
		ProgramsPerSecond:  float64(shape.Engines) / mean,
		answerTokens:       answers,
		prefillSeconds:     prefill,
		stepBaseSeconds:    p.StepBase.Seconds(),
		perSequenceSeconds: perSequence,
	}
}
