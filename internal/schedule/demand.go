package schedule

import "time"

const (
	// memoryFraction is the fraction of an engine's cache that running calls
	// and caches held for paused programs may use.
	memoryFraction = 0.95
	// newProgramMemoryFraction is the fraction up to which first calls are
	// assigned. The rest is reserved for programs in progress, whose contexts
	// grow with every call.
	newProgramMemoryFraction = 0.75
	// memoryWaitLimit is how long the first call in an engine's queue may wait
	// because it does not fit in the engine's memory, before new programs must
	// yield to it.
	memoryWaitLimit = 60 * time.Second
)

// requirements is what a call needs of an engine.
type requirements struct {
	// tokens is the memory the call needs beyond the cache held for its
	// program.
	tokens int64
	// memoryFraction is the fraction of the cache that may be in use with the
	// call.
	memoryFraction float64
	// backlogLimit bounds the prefill backlog in front of the call; zero means
	// no bound.
	backlogLimit time.Duration
}

// requirements returns what a call needs of an engine.
func (s *Scheduler) requirements(entry *waitingItem, view *EngineView) requirements {
	memory := memoryFraction
	if s.profile.ReserveGrowth && isFirstCall(entry) && !isSubAgent(entry) {
		memory = newProgramMemoryFraction
	}
	return requirements{
		tokens:         entry.neededTokens - heldTokensFor(entry.program, view),
		memoryFraction: memory,
		backlogLimit:   s.profile.PrefillBacklog,
	}
}

// isSubAgent reports whether a program was started by another one, which keeps
// its own memory until this one ends.
func isSubAgent(entry *waitingItem) bool { return entry.Key.Program.Parent() != "" }

// mustYield reports whether the first call of a program must leave an engine's
// memory to the first call in the engine's queue. That is so when the waiting
// call has waited for memoryWaitLimit and does not fit. Programs in progress
// need not yield: they end and free their memory.
func (s *Scheduler) mustYield(entry *waitingItem, view *EngineView, now time.Time) bool {
	first := view.waiters.first(1)
	if len(first) == 0 || first[0] == entry || !isFirstCall(entry) {
		return false
	}
	if now.Sub(first[0].EnqueuedAt) < memoryWaitLimit {
		return false
	}
	return !view.fitsInMemory(s.requirements(first[0], view))
}
