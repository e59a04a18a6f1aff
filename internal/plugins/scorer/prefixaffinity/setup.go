// Package prefixaffinity scores the engine with the longest cached prefix best,
// and the least loaded engine when loads are imbalanced. It is a baseline for
// experiments, modelled on the cache-aware routers of inference servers.
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
	// fullMissPenaltySeconds is the score of a prompt that is not cached at all;
	// it outweighs any difference in load.
	fullMissPenaltySeconds = 1e6
	// An engine with more than imbalanceCalls plus imbalanceRatio times the calls
	// of the least loaded one is avoided.
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
