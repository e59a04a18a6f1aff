package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// CacheEvents takes an engine's cache events. Lost ones are tolerated: the
// belief is bounded by the engine's capacity and corrected by answers.
func (s *Scheduler) CacheEvents(events []structs.CacheEvent) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	for i := range events {
		event := &events[i]
		e := s.index.engine(event.Engine)
		if e == nil {
			continue
		}
		e.sequence = max(e.sequence, event.Sequence)
		switch event.Kind {
		case structs.CacheStored:
			s.stored = s.index.store(e, event.Blocks, now, s.stored[:0])
		case structs.CacheEvicted:
			s.index.evict(e, event.Blocks)
		case structs.CacheCleared:
			s.index.clear(e)
		}
	}
}

// CacheEventsLost tells that events of an engine were lost for good. Belief older
// than its lifetime is dropped at once; the rest is left to be corrected.
func (s *Scheduler) CacheEventsLost(engine structs.EngineID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e := s.index.engines[engine]; e != nil {
		s.index.expireUnconfirmed(e, s.clock.Now())
	}
}

// CacheSequence returns the last cache event taken from an engine.
func (s *Scheduler) CacheSequence(engine structs.EngineID) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e := s.index.engines[engine]; e != nil {
		return e.sequence
	}
	return 0
}

// believeServed corrects the belief by what the answer says was cached: the
// expected part beyond it was gone; all of the prompt is there now.
func (s *Scheduler) confirmServed(record *runningCall, usage structs.Usage, now time.Time) {
	e := s.index.engines[record.engine.Engine.ID]
	if e == nil || usage.PromptTokens == 0 {
		return
	}
	s.index.touch(e, record.cachedBlocks, now)
	s.index.expireUnconfirmed(e, now)
}

// disbelieve drops blocks of a prompt behind what was found cached, when a
// call failed before its prompt was computed anew.
func (s *Scheduler) evictUncached(item *Item, engine structs.EngineID, cachedTokens int64) {
	if e := s.index.engines[engine]; e != nil {
		found := min(int(cachedTokens/prefix.BlockTokens), len(item.Blocks))
		s.index.evict(e, item.Blocks[found:])
	}
}
