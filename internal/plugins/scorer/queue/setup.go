// Package queue counts the prompt work that an engine has yet to do, and how its batch slows the answer.
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

// stepSecondsPerCall is by how much a call slows each step of its batch, for
// itself and for the others in it.
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
