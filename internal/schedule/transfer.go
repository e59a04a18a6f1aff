package schedule

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// leastTransferTokens is the least that is worth a transfer's messages.
	minimumTransferTokens = 512
	// defaultTransferSecondsPerToken is expected while no transfer has taught
	// better: half of 100 Gbit/s at 128 KiB a token.
	defaultTransferSecondsPerToken = 1.0 / 50_000
	// transferMemory is how long the last transfers teach anything. Without it,
	// a link that was slow once would never be tried again.
	transferSpeedTTL = time.Minute
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
	item      *waitingItem
	at        time.Time
	hitTokens int64
}

// transferSpeed is the learned time of a token over the links.
type transferSpeed struct {
	secondsPerToken mean
	updatedAt       time.Time
}

func (t *transferSpeed) expected(now time.Time) float64 {
	if now.Sub(t.updatedAt) > transferSpeedTTL {
		t.secondsPerToken = mean{}
	}
	return t.secondsPerToken.valueOr(defaultTransferSecondsPerToken)
}

// transferTo returns the transfer that would be made for a call at an engine:
// one that takes less time than computing the same tokens. It needs free
// memory there, since for a moment the cache exists twice; where memory is
// short, what it pushes out costs more than it saves. The prompt must have been
// given to the index by match before.
func (s *Scheduler) transferTo(entry *waitingItem, view *EngineView, hitTokens int64) Transfer {
	last := entry.LastEngine
	missing := entry.PromptTokens - hitTokens
	if !s.profile.Transfers || isFirstCall(entry) || last == "" || last == view.Engine.ID || missing < minimumTransferTokens {
		return Transfer{}
	}
	source := s.engines[last]
	if source == nil || !source.canSendCache() || !view.hasFreeMemory(entry.neededTokens) {
		return Transfer{}
	}
	tokens := s.sourceHitTokens(entry, source) - hitTokens
	if tokens < minimumTransferTokens {
		return Transfer{}
	}
	seconds := transferOverheadSeconds + float64(tokens)*s.transferSpeed.expected(s.clock.Now())
	if seconds >= float64(tokens)*view.PrefillSecondsPerToken {
		return Transfer{}
	}
	return Transfer{From: last, Tokens: tokens, Seconds: seconds}
}

// sourceHit looks the source up once for all engines of a decision.
func (s *Scheduler) sourceHitTokens(entry *waitingItem, source *EngineView) int64 {
	now := s.clock.Now()
	if s.transferSource.item != entry || !s.transferSource.at.Equal(now) {
		s.transferSource = transferSource{item: entry, at: now, hitTokens: s.hitTokens(entry, source)}
	}
	return s.transferSource.hitTokens
}

// gives tells whether caches can be had from an engine: one that is draining
// still answers, but one that the fleet has taken out for other reasons may not,
// and each try would cost a timeout.
func (v *EngineView) canSendCache() bool { return !v.Engine.Leaving || v.Load.Draining }

// hasFreeMemory tells whether a call's memory fits into what costs latency
// nothing.
func (v *EngineView) hasFreeMemory(needTokens int64) bool {
	return float64(v.AssignedTokens+v.HeldTokens+needTokens) <= freeMemoryFraction*float64(v.Load.CacheCapacityTokens)
}

// RecordTransfer teaches how long a transfer took. One of few tokens says more of
// its messages than of the link.
func (s *Scheduler) RecordTransfer(tokens int64, took time.Duration) {
	if tokens < minimumTransferTokens {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.transferSpeed.updatedAt = s.clock.Now()
	s.transferSpeed.secondsPerToken.add(max(took.Seconds()-transferOverheadSeconds, 0) / float64(tokens))
}
