// Package group routes the first calls of a template to the same engines by
// rendezvous hashing, so that few engines cache its prefix.
package group

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "group"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

// maximumSpreadSeconds is the score of a template's least preferred engine. Load
// outweighs it, so that a template in demand spills over to further engines.
const maximumSpreadSeconds = 0.02

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	if candidate.Item.Turn > 1 {
		return 0
	}
	rank := xxhash.Sum64String(string(candidate.Item.Template) + "\x00" + string(candidate.Engine.Engine.ID))
	return maximumSpreadSeconds * float64(rank) / math.MaxUint64
}
