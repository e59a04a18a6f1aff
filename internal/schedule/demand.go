package schedule

import "time"

const (
	// memoryFraction is the part of an engine's cache that running calls and
	// the caches kept for paused programs may take.
	memoryFraction = 0.95
	// newProgramMemory is the part up to which new programs are taken in. The
	// rest is left to those under way: their contexts grow with every call.
	newProgramMemoryFraction = 0.75
	// memoryPatience is how long the first call that waits for an engine may be
	// passed over because the engine's memory does not hold it.
	memoryWaitLimit = 60 * time.Second
)

// demand is what a call asks of an engine.
type requirements struct {
	// tokens is the memory it needs beyond what is kept for it.
	tokens int64
	// memory is the part of the cache that may be taken with it.
	memoryFraction float64
	// backlogLimit bounds the prompt work before it, zero for no bound.
	backlogLimit time.Duration
}

// demand returns what a call asks of an engine.
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

// isSubAgent tells whether a program was started by another one, which keeps
// its own memory until this one ends.
func isSubAgent(entry *waitingItem) bool { return entry.Key.Program.Parent() != "" }

// givesWay tells whether a new program must let another call have an engine's
// memory: the first that waits for it needs more than is free, and those that
// need less were let past it for too long. Programs under way end and make
// room.
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
