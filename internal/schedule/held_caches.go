package schedule

import (
	"container/heap"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// heldCache is the cache that an engine holds for a paused program.
type heldCache struct {
	engine    *EngineView
	tokens    int64
	expiresAt time.Time
	// heapIndex is the position in heldByExpiry, -1 once the hold has expired.
	heapIndex int
}

// heldByExpiry is a heap of held caches by expiry.
type heldByExpiry []*heldCache

func (k heldByExpiry) Len() int           { return len(k) }
func (k heldByExpiry) Less(i, j int) bool { return k[i].expiresAt.Before(k[j].expiresAt) }
func (k heldByExpiry) Swap(i, j int) {
	k[i], k[j] = k[j], k[i]
	k[i].heapIndex, k[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (k *heldByExpiry) Push(x any) {
	entry := x.(*heldCache)
	entry.heapIndex = len(*k)
	*k = append(*k, entry)
}

// Pop implements heap.Interface.
func (k *heldByExpiry) Pop() any {
	last := len(*k) - 1
	entry := (*k)[last]
	(*k)[last] = nil
	*k = (*k)[:last]
	return entry
}

// addHold records that an engine holds a program's cache.
func (s *Scheduler) addHold(state *programState, engine *EngineView, tokens int64, until time.Time) {
	s.dropHold(state)
	state.held = &heldCache{engine: engine, tokens: tokens, expiresAt: until}
	engine.HeldTokens += tokens
	heap.Push(&s.held, state.held)
}

// dropHold records that no cache is held for a program any more.
func (s *Scheduler) dropHold(state *programState) {
	if state == nil || state.held == nil {
		return
	}
	if state.held.heapIndex >= 0 {
		heap.Remove(&s.held, state.held.heapIndex)
		state.held.engine.HeldTokens -= state.held.tokens
	}
	state.held = nil
}

// expireHolds drops holds that have expired.
func (s *Scheduler) expireHolds(now time.Time) {
	for len(s.held) > 0 && !s.held[0].expiresAt.After(now) {
		entry := heap.Pop(&s.held).(*heldCache)
		entry.heapIndex = -1
		entry.engine.HeldTokens -= entry.tokens
	}
}

// ProgramEnded reports that a program makes no more calls.
func (s *Scheduler) ProgramEnded(key structs.ProgramKey) {
	s.withLock(func() {
		state := s.estimates.programs[key]
		if state == nil {
			return
		}
		var freed *EngineView
		if state.held != nil {
			freed = state.held.engine
		}
		s.dropHold(state)
		s.estimates.forget(state)
		if freed != nil {
			s.fill(freed, s.clock.Now())
		}
	})
}

// ownTokens returns the part of a call's memory that it does not share with
// other programs.
func (s *Scheduler) ownTokens(item *Item, tokens int64) int64 {
	shared := int64(s.estimates.template(item.Template).sharedPrefixTokens.valueOr(0))
	return max(tokens-shared, 0)
}

// heldTokensFor returns the size of the cache that an engine holds for a
// program.
func heldTokensFor(state *programState, view *EngineView) int64 {
	if state == nil || state.held == nil || state.held.engine != view || state.held.heapIndex < 0 {
		return 0
	}
	return state.held.tokens
}
