package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/kernel"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// QueuePolicy orders the waiting calls of a tenant.
type QueuePolicy interface {
	// Due returns the instant at which a call's turn is due, in seconds on the
	// scheduler's clock; calls go in ascending order. It is asked once, when
	// the call arrives: a call ages because later calls are due later. A
	// policy that adds at most B seconds to the arrival lets nobody be
	// overtaken by calls that arrive more than B seconds after it.
	Due(item *Item, outlook Outlook, arrival float64) float64
}

// Outlook is what the scheduler has learned about a program's future from
// others of its template.
type Outlook struct {
	// RemainingTurns counts calls after this one.
	RemainingTurns float64
	// RemainingSeconds is engine time from this call to the program's end.
	RemainingSeconds float64
	// ServedSeconds is engine time that the program has had.
	ServedSeconds float64
	// AnswerTokens is the expected length of the answer.
	AnswerTokens float64
	// ReturnProbability is the probability that another call follows.
	ReturnProbability float64
	// PauseSeconds is the expected pause before it, if it follows.
	PauseSeconds float64
}

// Candidate is one engine considered for one call.
type Candidate struct {
	Item    *Item
	Outlook Outlook
	Engine  *EngineView
	Now     time.Time
	// HitTokens is how much of the prompt the engine is believed to hold.
	HitTokens int64
	// BacklogSeconds is the expected time until the prompt work sent to the
	// engine is done.
	BacklogSeconds float64
	// Transfer is the copy of the program's cache that would be made first, if
	// that pays.
	Transfer Transfer
	// HasRoom is set when the engine can take the call now.
	HasRoom bool
	// WaitSeconds is the expected wait for a place when there is no room.
	WaitSeconds float64
	// BestHitTokens is the most that any engine is believed to hold.
	BestHitTokens int64
	// MeanOccupied is the mean number of calls on an engine.
	MeanOccupied float64
	// LeastOccupied is the fewest calls on any engine for the model.
	LeastOccupied int
	// Zone is the daemon's own.
	Zone structs.ZoneName
	// CacheWeight is the operators' wish, from 0 (latency) to 1 (cache).
	CacheWeight float64
}

// MissTokens returns how much of the prompt would be computed.
func (c *Candidate) MissTokens() int64 {
	return max(c.Item.PromptTokens-c.HitTokens-c.Transfer.Tokens, 0)
}

// AvoidableTokens returns how much of the prompt would be computed although
// some engine holds it.
func (c *Candidate) AvoidableTokens() int64 {
	return max(c.BestHitTokens-c.HitTokens-c.Transfer.Tokens, 0)
}

// Filter takes engines out of the choice for a call.
type Filter interface {
	// Admit tells whether the engine may serve the call at all.
	Admit(candidate *Candidate) bool
}

// Scorer judges an engine for a call.
type Scorer interface {
	// Score returns expected seconds that choosing the engine costs; lower is
	// better. Scores of all scorers of a profile are added.
	Score(candidate *Candidate) float64
}

// NamedScorer is a scorer under its registered name.
type NamedScorer struct {
	Name string
	Scorer
}

// Registries of plug-ins. Factories make one instance per scheduler, since
// some keep state.
var (
	QueuePolicies kernel.Registry[func() QueuePolicy]
	Filters       kernel.Registry[func() Filter]
	Scorers       kernel.Registry[func() Scorer]
)
