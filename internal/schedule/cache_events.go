package schedule

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// CacheEvents applies an engine's cache events to the prefix index. Lost events
// are tolerated: the index is bounded by the engine's cache capacity and
// corrected by the usage in answers.
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

// CacheEventsLost reports that events of an engine were lost for good. Blocks
// that nothing confirmed within confirmationTTL are dropped at once; answers
// correct the rest.
func (s *Scheduler) CacheEventsLost(engine structs.EngineID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e := s.index.engines[engine]; e != nil {
		s.index.expireUnconfirmed(e, s.clock.Now())
	}
}

// CacheSequence returns the sequence number of the last cache event applied for
// an engine.
func (s *Scheduler) CacheSequence(engine structs.EngineID) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e := s.index.engines[engine]; e != nil {
		return e.sequence
	}
	return 0
}

// confirmServed marks the blocks of a served prompt as cached and drops blocks
// that nothing has confirmed for confirmationTTL.
func (s *Scheduler) confirmServed(record *runningCall, usage structs.Usage, now time.Time) {
	e := s.index.engines[record.engine.Engine.ID]
	if e == nil || usage.PromptTokens == 0 {
		return
	}
	s.index.touch(e, record.cachedBlocks, now)
	s.index.expireUnconfirmed(e, now)
}

// evictUncached drops the blocks of a prompt beyond the cached part that the
// engine reported, for a call that failed before the rest was computed.
func (s *Scheduler) evictUncached(item *Item, engine structs.EngineID, cachedTokens int64) {
	if e := s.index.engines[engine]; e != nil {
		found := min(int(cachedTokens/prefix.BlockTokens), len(item.Blocks))
		s.index.evict(e, item.Blocks[found:])
	}
}
