// Package prefixaffinity sends a call where most of its prompt is cached, and to the least loaded engine when loads are far apart; a baseline of the experiments, after the cache-aware routers of inference servers.
package prefixaffinity

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "prefix-affinity"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

const (
	// hitSeconds outweighs every difference of load for a whole hit.
	fullMissPenaltySeconds = 1e6
	// imbalanceCalls and imbalanceRatio tell when an engine has too many more
	// calls than the least loaded one.
	imbalanceCalls = 16
	imbalanceRatio = 1.5
)

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	load := float64(candidate.Engine.Occupied())
	if float64(candidate.Engine.Occupied()) > imbalanceCalls+imbalanceRatio*float64(candidate.LeastOccupied) {
		return fullMissPenaltySeconds + load
	}
	missed := float64(candidate.MissTokens()) / float64(max(candidate.Item.PromptTokens, 1))
	return fullMissPenaltySeconds*missed + load
}
