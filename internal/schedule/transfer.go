package schedule

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// minimumTransferTokens is the least number of tokens that is worth the
	// messages of a transfer.
	minimumTransferTokens = 512
	// defaultTransferSecondsPerToken is assumed before any transfer: half of
	// 100 Gbit/s at 128 KiB per token.
	defaultTransferSecondsPerToken = 1.0 / 50_000
	// transferSpeedTTL is how long the learned speed is valid. Without it, a
	// link that was slow once would never be tried again.
	transferSpeedTTL = time.Minute
	// transferOverheadSeconds is the time for the messages of a transfer.
	transferOverheadSeconds = 0.005
)

// Transfer is the copy of a program's cache from the engine that served its
// previous call. The zero value means none.
type Transfer struct {
	From structs.EngineID
	// Tokens is the expected number of tokens to copy, Seconds the expected
	// time.
	Tokens  int64
	Seconds float64
}

// String returns a clause for Assignment.Reason, "" for no transfer.
func (t Transfer) String() string {
	if t.From == "" {
		return ""
	}
	return fmt.Sprintf(", %d to transfer from %s in %.3f s", t.Tokens, t.From, t.Seconds)
}

// transferSource caches how much of the current prompt the engine of the
// program's previous call is assumed to hold.
type transferSource struct {
	item      *waitingItem
	at        time.Time
	hitTokens int64
}

// transferSpeed is the learned transfer time per token.
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

// transferTo returns the transfer to make for a call on an engine: one that
// takes less time than computing the same tokens. It requires free memory on
// the engine, since the cache exists twice for a moment; where memory is short,
// what the transfer evicts costs more than it saves. The index must have been
// given the prompt with setPrompt.
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

// sourceHitTokens looks up the source once for all engines of a decision.
func (s *Scheduler) sourceHitTokens(entry *waitingItem, source *EngineView) int64 {
	now := s.clock.Now()
	if s.transferSource.item != entry || !s.transferSource.at.Equal(now) {
		s.transferSource = transferSource{item: entry, at: now, hitTokens: s.hitTokens(entry, source)}
	}
	return s.transferSource.hitTokens
}

// canSendCache reports whether caches can be fetched from an engine. A draining
// engine still answers; one that left the fleet for another reason may not, and
// each try would cost a timeout.
func (v *EngineView) canSendCache() bool { return !v.Engine.Leaving || v.Load.Draining }

// hasFreeMemory reports whether a call fits in the part of an engine's memory
// that costs no latency; see freeMemoryFraction.
func (v *EngineView) hasFreeMemory(needTokens int64) bool {
	return float64(v.AssignedTokens+v.HeldTokens+needTokens) <= freeMemoryFraction*float64(v.Load.CacheCapacityTokens)
}

// RecordTransfer learns from the duration of a transfer. Transfers of few
// tokens are ignored: their time is mostly overhead.
func (s *Scheduler) RecordTransfer(tokens int64, took time.Duration) {
	if tokens < minimumTransferTokens {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.transferSpeed.updatedAt = s.clock.Now()
	s.transferSpeed.secondsPerToken.add(max(took.Seconds()-transferOverheadSeconds, 0) / float64(tokens))
}
