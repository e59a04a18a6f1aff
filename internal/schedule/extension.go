package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/kernel"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// QueuePolicy orders the waiting calls of a tenant.
type QueuePolicy interface {
	// Due returns when a call is due, in seconds on the scheduler's clock;
	// calls are served in ascending order. It is called once, when the call
	// arrives. A call ages because calls that arrive later are due later: a
	// policy that adds at most B seconds to the arrival time guarantees that no
	// call is overtaken by one that arrives more than B seconds after it.
	Due(item *Item, outlook Outlook, arrival float64) float64
}

// Outlook is the forecast for a program, learned from other programs of its
// template.
type Outlook struct {
	// RemainingTurns is the expected number of calls after this one.
	RemainingTurns float64
	// RemainingSeconds is the expected engine time from this call to the
	// program's end.
	RemainingSeconds float64
	// ServedSeconds is the engine time that the program has used.
	ServedSeconds float64
	// AnswerTokens is the expected length of the answer.
	AnswerTokens float64
	// ReturnProbability is the probability that another call follows.
	ReturnProbability float64
	// PauseSeconds is the expected pause before that call.
	PauseSeconds float64
}

// Candidate is one engine considered for one call.
type Candidate struct {
	Item    *Item
	Outlook Outlook
	Engine  *EngineView
	Now     time.Time
	// HitTokens is how much of the prompt the engine's cache is assumed to
	// hold.
	HitTokens int64
	// BacklogSeconds is the expected time until the engine's assigned prefill
	// work is done.
	BacklogSeconds float64
	// Transfer is the transfer of the program's cache that would be made first;
	// zero when none pays off.
	Transfer Transfer
	// HasRoom is set when the engine can take the call now.
	HasRoom bool
	// WaitSeconds is the expected wait for a free slot when there is no room.
	WaitSeconds float64
	// BestHitTokens is the largest HitTokens of all engines.
	BestHitTokens int64
	// MeanOccupied is the mean number of calls on an engine that serves the
	// model.
	MeanOccupied float64
	// LeastOccupied is the least number of calls on such an engine.
	LeastOccupied int
	// Zone is the daemon's zone.
	Zone structs.ZoneName
	// CacheWeight is the configured preference, from 0 (latency) to 1 (cache
	// use).
	CacheWeight float64
}

// MissTokens returns how much of the prompt the engine would have to compute.
func (c *Candidate) MissTokens() int64 {
	return max(c.Item.PromptTokens-c.HitTokens-c.Transfer.Tokens, 0)
}

// AvoidableTokens returns how much of the prompt the engine would compute
// although another engine's cache holds it.
func (c *Candidate) AvoidableTokens() int64 {
	return max(c.BestHitTokens-c.HitTokens-c.Transfer.Tokens, 0)
}

// Filter excludes engines from the candidates for a call.
type Filter interface {
	// Admit reports whether the engine may serve the call at all.
	Admit(candidate *Candidate) bool
}

// Scorer rates an engine for a call.
type Scorer interface {
	// Score returns the expected cost of choosing the engine, in seconds; lower
	// is better. The scores of all scorers of a profile are added.
	Score(candidate *Candidate) float64
}

// NamedScorer is a scorer under its registered name.
type NamedScorer struct {
	Name string
	Scorer
}

// Registries of plug-ins. A factory makes one instance per scheduler, since
// some plug-ins keep state.
var (
	QueuePolicies kernel.Registry[func() QueuePolicy]
	Filters       kernel.Registry[func() Filter]
	Scorers       kernel.Registry[func() Scorer]
)
