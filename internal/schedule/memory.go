package schedule

import (
	"container/heap"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// keptCache is the cache that an engine keeps for a paused program.
type keptCache struct {
	engine   *EngineView
	tokens   int64
	until    time.Time
	position int
}

// keptByExpiry orders kept caches by when they are given up.
type keptByExpiry []*keptCache

func (k keptByExpiry) Len() int           { return len(k) }
func (k keptByExpiry) Less(i, j int) bool { return k[i].until.Before(k[j].until) }
func (k keptByExpiry) Swap(i, j int) {
	k[i], k[j] = k[j], k[i]
	k[i].position, k[j].position = i, j
}

// Push implements heap.Interface.
func (k *keptByExpiry) Push(x any) {
	entry := x.(*keptCache)
	entry.position = len(*k)
	*k = append(*k, entry)
}

// Pop implements heap.Interface.
func (k *keptByExpiry) Pop() any {
	last := len(*k) - 1
	entry := (*k)[last]
	(*k)[last] = nil
	*k = (*k)[:last]
	return entry
}

// keep notes that an engine keeps a program's cache.
func (s *Scheduler) keep(state *programState, engine *EngineView, tokens int64, until time.Time) {
	s.dropKept(state)
	state.kept = &keptCache{engine: engine, tokens: tokens, until: until}
	engine.HeldTokens += tokens
	heap.Push(&s.kept, state.kept)
}

// dropKept notes that nothing is kept for a program any more.
func (s *Scheduler) dropKept(state *programState) {
	if state == nil || state.kept == nil {
		return
	}
	if state.kept.position >= 0 {
		heap.Remove(&s.kept, state.kept.position)
		state.kept.engine.HeldTokens -= state.kept.tokens
	}
	state.kept = nil
}

// expireKept gives up caches whose time has passed.
func (s *Scheduler) expireKept(now time.Time) {
	for len(s.kept) > 0 && !s.kept[0].until.After(now) {
		entry := heap.Pop(&s.kept).(*keptCache)
		entry.position = -1
		entry.engine.HeldTokens -= entry.tokens
	}
}

// ProgramEnded tells that no call of a program follows.
func (s *Scheduler) ProgramEnded(key structs.ProgramKey) {
	s.locked(func() {
		state := s.estimates.programs[key]
		if state == nil {
			return
		}
		var freed *EngineView
		if state.kept != nil {
			freed = state.kept.engine
		}
		s.dropKept(state)
		s.estimates.forget(state)
		if freed != nil {
			s.fill(freed, s.clock.Now())
		}
	})
}

// ownTokens is the part of a call's memory that no other program shares.
func (s *Scheduler) ownTokens(item *Item, tokens int64) int64 {
	shared := int64(s.estimates.template(item.Template).shared.or(0))
	return max(tokens-shared, 0)
}

// keptFor returns what an engine keeps for a program.
func keptFor(state *programState, view *EngineView) int64 {
	if state == nil || state.kept == nil || state.kept.engine != view || state.kept.position < 0 {
		return 0
	}
	return state.kept.tokens
}
