// Package roundrobin scores the engine with the fewest calls so far best, which
// takes engines in turn. It is a baseline for experiments.
package roundrobin

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "round-robin"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	return float64(candidate.Engine.Total)
}
