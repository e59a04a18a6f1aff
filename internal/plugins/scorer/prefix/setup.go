// Package prefix scores the prefill time of a call at an engine, and the delay
// that avoidable prefill causes to other calls in the batch.
package prefix

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "prefix"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

// batchDelayFactor weighs the time of avoidable prefill for each call in the
// batch: it delays running calls, and those that are queued meanwhile.
const batchDelayFactor = 4

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	perToken := candidate.Engine.PrefillSecondsPerToken
	work := float64(candidate.MissTokens()) * perToken
	waste := float64(candidate.AvoidableTokens()) * perToken * batchDelayFactor * candidate.MeanOccupied
	return work + waste*(1+candidate.CacheWeight)
}
