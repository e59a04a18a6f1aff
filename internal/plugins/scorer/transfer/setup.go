// Package transfer scores the time to transfer a program's cache to the engine.
package transfer

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "transfer"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 { return candidate.Transfer.Seconds }
