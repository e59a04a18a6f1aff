// Package group lets the first calls of a template gather on the same engines, so that few engines hold its prefix.
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

// spreadSeconds is the most that a template's least preferred engine costs. A
// busy engine costs more than that, so that a template in demand spills over
// to its next engines.
const maximumSpreadSeconds = 0.02

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	if candidate.Item.Turn > 1 {
		return 0
	}
	rank := xxhash.Sum64String(string(candidate.Item.Template) + "\x00" + string(candidate.Engine.Engine.ID))
	return maximumSpreadSeconds * float64(rank) / math.MaxUint64
}
