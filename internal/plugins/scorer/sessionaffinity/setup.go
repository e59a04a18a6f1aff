// Package sessionaffinity sends a program back to the engine that served it last, and spills over to the least loaded one when that engine is overloaded; a baseline of the experiments.
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
	// strangerSeconds outweighs every difference of load.
	otherEnginePenaltySeconds = 1e6
	// overloadCalls and overloadRatio tell when an engine has too many more
	// calls than the least loaded one.
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
