package schedule

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// leastTransferTokens is the least that is worth a transfer's messages.
	leastTransferTokens = 512
	// defaultTransferSecondsPerToken is expected while no transfer has taught
	// better: half of 100 Gbit/s at 128 KiB a token.
	defaultTransferSecondsPerToken = 1.0 / 50_000
	// transferMemory is how long the last transfers teach anything. Without it,
	// a link that was slow once would never be tried again.
	transferMemory = time.Minute
	// transferOverheadSeconds is for the messages of a transfer.
	transferOverheadSeconds = 0.005
)

// Transfer is a copy of a program's cache from the engine that served its
// former call. The zero value is none.
type Transfer struct {
	From structs.EngineID
	// Tokens is how much is expected to come, Seconds how long it takes.
	Tokens  int64
	Seconds float64
}

// String returns a clause for the reason of a decision, "" for no transfer.
func (t Transfer) String() string {
	if t.From == "" {
		return ""
	}
	return fmt.Sprintf(", %d to move from %s in %.3f s", t.Tokens, t.From, t.Seconds)
}

// transferSource is what the engine of a program's former call is believed to
// hold of the prompt at hand.
type transferSource struct {
	item *waitingItem
	at   time.Time
	hit  int64
}

// transferSpeed is the learned time of a token over the links.
type transferSpeed struct {
	secondsPerToken mean
	taughtAt        time.Time
}

func (t *transferSpeed) expected(now time.Time) float64 {
	if now.Sub(t.taughtAt) > transferMemory {
		t.secondsPerToken = mean{}
	}
	return t.secondsPerToken.or(defaultTransferSecondsPerToken)
}

// transferTo returns the transfer that would be made for a call at an engine:
// one that takes less time than computing the same tokens. It needs free
// memory there, since for a moment the cache exists twice; where memory is
// short, what it pushes out costs more than it saves. The prompt must have been
// given to the index by match before.
func (s *Scheduler) transferTo(entry *waitingItem, view *EngineView, hitTokens int64) Transfer {
	last := entry.LastEngine
	missing := entry.PromptTokens - hitTokens
	if !s.profile.Transfers || isNew(entry) || last == "" || last == view.Engine.ID || missing < leastTransferTokens {
		return Transfer{}
	}
	source := s.engines[last]
	if source == nil || !source.gives() || !view.hasFreeMemory(entry.need) {
		return Transfer{}
	}
	tokens := s.sourceHit(entry, source) - hitTokens
	if tokens < leastTransferTokens {
		return Transfer{}
	}
	seconds := transferOverheadSeconds + float64(tokens)*s.transfers.expected(s.clock.Now())
	if seconds >= float64(tokens)*view.PrefillSecondsPerToken {
		return Transfer{}
	}
	return Transfer{From: last, Tokens: tokens, Seconds: seconds}
}

// sourceHit looks the source up once for all engines of a decision.
func (s *Scheduler) sourceHit(entry *waitingItem, source *EngineView) int64 {
	now := s.clock.Now()
	if s.source.item != entry || !s.source.at.Equal(now) {
		s.source = transferSource{item: entry, at: now, hit: s.hitTokens(entry, source)}
	}
	return s.source.hit
}

// gives tells whether caches can be had from an engine: one that is draining
// still answers, but one that the fleet has taken out for other reasons may not,
// and each try would cost a timeout.
func (v *EngineView) gives() bool { return !v.Engine.Leaving || v.Load.Draining }

// hasFreeMemory tells whether a call's memory fits into what costs latency
// nothing.
func (v *EngineView) hasFreeMemory(needTokens int64) bool {
	return float64(v.AssignedTokens+v.HeldTokens+needTokens) <= freeMemory*float64(v.Load.CacheCapacityTokens)
}

// RecordTransfer teaches how long a transfer took. One of few tokens says more of
// its messages than of the link.
func (s *Scheduler) RecordTransfer(tokens int64, took time.Duration) {
	if tokens < leastTransferTokens {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.transfers.taughtAt = s.clock.Now()
	s.transfers.secondsPerToken.add(max(took.Seconds()-transferOverheadSeconds, 0) / float64(tokens))
}
