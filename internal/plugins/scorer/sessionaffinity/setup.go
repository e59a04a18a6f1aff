// Package sessionaffinity scores a program's last engine best, and spills over
// to the least loaded engine when that one is overloaded. It is a baseline for
// experiments.
package sessionaffinity

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "session-affinity"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

const (
	// otherEnginePenaltySeconds outweighs any difference in load.
	otherEnginePenaltySeconds = 1e6
	// An engine with more than overloadCalls plus overloadRatio times the calls
	// of the least loaded one is overloaded.
	overloadCalls = 16
	overloadRatio = 2
)

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	load := float64(candidate.Engine.Occupied())
	overloaded := candidate.Engine.Occupied() > overloadCalls+overloadRatio*candidate.LeastOccupied
	if candidate.Item.LastEngine == candidate.Engine.Engine.ID && !overloaded {
		return load
	}
	return otherEnginePenaltySeconds + load
}
