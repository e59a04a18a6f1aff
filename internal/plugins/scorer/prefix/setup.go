// Package prefix counts the prompt work that an engine would have to do, for the call itself and for those that share its batch.
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

// batchShare is how often work that is done twice delays the other calls of a
// batch: once while it runs, and again those that queue up meanwhile.
const batchDelayFactor = 4

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	perToken := candidate.Engine.PrefillSecondsPerToken
	work := float64(candidate.MissTokens()) * perToken
	waste := float64(candidate.AvoidableTokens()) * perToken * batchDelayFactor * candidate.MeanOccupied
	return work + waste*(1+candidate.CacheWeight)
}
