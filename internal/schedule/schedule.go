// Package schedule assigns waiting model calls to engines. It keeps the queue
// and a view of the engines; queue policies, filters and scorers are plug-ins
// that work on these.
package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Item is one model call that waits for an engine. Its fields are set before
// Enqueue and not changed afterwards.
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
	// Turn counts the program's calls so far, this one included; ServedTokens
	// are the tokens computed for it.
	Turn         int
	ServedTokens int64
	// ProgramStartedAt is when the root of the program's family started.
	ProgramStartedAt time.Time
	EnqueuedAt       time.Time
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time
	// LastEngine served the program's previous call, "" for none.
	LastEngine structs.EngineID
	// Avoid lists engines that failed this call before. They get it only if no
	// other takes it for some time.
	Avoid []structs.EngineID
	// HoldTime is how long the template allows an engine to hold the program's
	// cache.
	HoldTime time.Duration

	// Exactly one of Assign and Refuse is called, once. Both are called outside
	// the scheduler's lock and must not block.
	Assign func(Assignment)
	Refuse func(structs.Outcome)
}

// Assignment gives an item a slot on an engine. Its holder must return the slot
// by calling Finished exactly once.
type Assignment struct {
	Item   *Item
	Engine structs.EngineID
	// EngineRun identifies the run of the engine, as in its load report.
	EngineRun int64
	// Scores are the candidates' scores, shown to operators.
	Scores []structs.CandidateScore
	// Reason says why this engine was chosen, shown to operators.
	Reason string
	// Hold asks the engine to hold the program's cache when the call ends.
	Hold bool
	// HoldFor is how long to hold the cache while the program pauses, up to
	// what the template allows; zero means that maximum.
	HoldFor time.Duration
	// Discard lets the engine drop the program's cache when the call ends
	// without a hold.
	Discard bool
	// Transfer is the cache transfer to make first, if any.
	Transfer Transfer
	// EnginePriority is the call's priority in the engine's own queue.
	EnginePriority int
}

// Result describes how an assignment ended.
type Result struct {
	// Started is false when the call never reached the engine.
	Started bool
	// Failed is set when the engine rejected the call or was lost.
	Failed bool
	// Draining is set when the engine reported that it is draining.
	Draining bool
	// ProgramEnded is set when the program ended with this call.
	ProgramEnded bool
	Usage        structs.Usage
	// TimeToFirstToken and Duration are measured from the start at the engine.
	TimeToFirstToken time.Duration
	Duration         time.Duration
}
