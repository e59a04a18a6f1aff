// Package queue scores the prefill backlog of an engine and the slowdown of
// decoding by the size of its batch.
package queue

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
)

// Name is the scorer's registered name.
const Name = "queue"

func init() {
	schedule.Scorers.Register(Name, func() schedule.Scorer { return scorer{} })
}

type scorer struct{}

// stepSecondsPerCall is the time that each call in a batch adds to a decode step.
const stepSecondsPerCall = 0.002

// Score implements schedule.Scorer.
func (scorer) Score(candidate *schedule.Candidate) float64 {
	engine := candidate.Engine
	backlog := 0.0
	if candidate.HasRoom {
		backlog = candidate.BacklogSeconds
	}
	return backlog + candidate.Outlook.AnswerTokens*stepSecondsPerCall*float64(engine.Occupied())
}
