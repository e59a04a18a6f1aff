// Package leastloaded scores the engine with the fewest present calls best. It
// is a baseline for experiments.
package leastloaded

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "least-loaded"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	return float64(candidate.Engine.Occupied())
}
