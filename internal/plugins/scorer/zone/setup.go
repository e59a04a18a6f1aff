// Package zone scores the network latency to an engine in another zone.
package zone

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "zone"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

// crossZoneSeconds is the round-trip time between zones of a region.
const crossZoneSeconds = 0.003

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	if candidate.Zone == "" || candidate.Zone == candidate.Engine.Engine.Zone {
		return 0
	}
	return crossZoneSeconds
}
