// Package schedule decides which waiting call goes to which engine, and when.
// Queue policies and scorers are plug-ins; this package keeps the queue and
// the view of the engines that they judge by.
package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Item is one model call that waits for an engine. Its fields are set by the
// caller before Enqueue and not changed afterwards.
type Item struct {
	Key      structs.ProgramKey
	Request  structs.RequestID
	Template structs.TemplateName
	Model    structs.ModelName
	Adapter  structs.AdapterName
	Priority int
	// PromptTokens and Blocks describe the prompt; see package prefix.
	PromptTokens int64
	Blocks       []structs.BlockHash
	// MaximumTokens bounds the answer.
	MaximumTokens int64
	// Turn is the program's number of calls so far; Served the tokens
	// computed for it.
	Turn         int
	ServedTokens int64
	// ProgramStartedAt is when the whole program began, ancestors included.
	ProgramStartedAt time.Time
	EnqueuedAt       time.Time
	// Deadline is when nobody waits any more; zero means none.
	Deadline time.Time
	// LastEngine served the program's former call, "" for none.
	LastEngine structs.EngineID
	// Avoid lists engines that failed this call before: they get it only when
	// no other has taken it for some time.
	Avoid []structs.EngineID
	// HoldTime is how long the template allows engine memory to be kept.
	HoldTime time.Duration

	// Assign is called once when an engine was chosen, or Refuse is, once.
	// Both are called outside the scheduler's lock and must not block.
	Assign func(Assignment)
	Refuse func(structs.Outcome)
}

// Assignment is an engine's place given to an item. Its holder must hand it
// back with Finished exactly once.
type Assignment struct {
	Item   *Item
	Engine structs.EngineID
	// EngineRun is the run of the engine, as in its load report.
	EngineRun int64
	// Scores are the candidates' scores, for operators.
	Scores []structs.CandidateScore
	// Reason says in a few words why this engine and why now.
	Reason string
	// Hold asks the engine to pin the program's cache when the call ends.
	Hold bool
	// HoldFor is how long to keep the pin while the program pauses, at most as
	// long as the template allows; zero means that long.
	HoldFor time.Duration
	// Discard lets the engine drop the program's cache when the call ends and
	// no hold was taken.
	Discard bool
	// Transfer is the copy of the program's cache to make first, if any.
	Transfer Transfer
	// EnginePriority goes along to the engine's own queue.
	EnginePriority int
}

// Result tells how an assignment ended.
type Result struct {
	// Started is false when the call never reached the engine.
	Started bool
	// Failed is set when the engine refused or was lost.
	Failed bool
	// Draining is set when the engine said it is leaving.
	Draining bool
	// ProgramEnded is set when the program ended with this call.
	ProgramEnded bool
	Usage        structs.Usage
	// TimeToFirstToken and Took run from the start at the engine.
	TimeToFirstToken time.Duration
	Duration         time.Duration
}
