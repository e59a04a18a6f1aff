package ledger

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/storecapacity"
)

// A full store serves nobody: no answer can be recorded, no record dropped and no shard
// claimed, and its content stays for its retention even if the load ends. So programs are
// refused before the store is full, at their first turn, and those that have begun can
// finish.

// shardSizes are the bytes that a shard uses in the store, by purpose.
type shardSizes struct{ turns, accounts, history int64 }

const (
	// programIdleTimeout is how long after its latest turn a program counts as under way.
	// It must exceed the usual pauses for tool calls.
	programIdleTimeout = 3 * time.Second
	// remainingShare is the average part of its records that a program under way has yet to
	// write. Programs write them evenly and are observed at any stage.
	remainingShare = 0.5
)

// admitTurn reports whether a turn may begin, as far as the store has room for its text. If
// not, it has answered the operation.
func (h *holder) admitTurn(o operation, turn Turn, now time.Time) bool {
	if turn.Retention <= 0 {
		return true
	}
	plan := h.capacity.plan(now)
	if h.records.isFull(now) || plan.IsExhausted {
		// If an engine ran the turn, its end could not be recorded and its caller would
		// wait in vain.
		h.metrics.refusedFull()
		h.refuse(o, resultFull)
		return false
	}
	if _, underway := h.state.accounts[turn.Program]; underway || turn.Previous != "" {
		return true // programs that have begun may finish
	}
	admitted, retryAfter := h.gate.Admit(plan, h.capacity.shards, now)
	if !admitted {
		h.metrics.refusedCrowded()
		h.answer(o, Response{Result: resultCrowded, RetryAfterMS: retryAfter.Milliseconds()})
	}
	return admitted
}

// underway returns the number of programs under way. What they will still write counts as
// used space; otherwise too many programs would be admitted at first, and too few for a
// while afterwards.
func (s *state) underway(now time.Time) (count int) {
	for _, entry := range s.accounts {
		if now.Sub(entry.usedAt) < programIdleTimeout {
			count++
		}
	}
	return count
}

// reportCapacity reports how many bytes the shard's records use in the store.
func (h *holder) reportCapacity(now time.Time) {
	profile, sizes := h.state.usage(now)
	sizes.history = h.appended.bytes()
	profile.ProgramBytes = sizes.turns / int64(max(len(h.state.accounts), 1))
	coming := remainingShare * float64(profile.ProgramBytes) * float64(h.state.underway(now))
	profile.Add(int64(coming), time.Duration(profile.RetentionMS)*time.Millisecond)
	profile.Rate = h.appended.rate(now)
	h.metrics.updateStoreBytes(h.sizes, sizes)
	h.sizes = sizes
	h.capacity.note(h.shard, profile, now)
}

// forgetSizes withdraws the reported sizes of a shard that is no longer held.
func (h *holder) forgetSizes() {
	h.metrics.updateStoreBytes(h.sizes, shardSizes{})
	h.sizes = shardSizes{}
}

// usage returns the sizes of the shard's newest records and when they expire.
func (s *state) usage(now time.Time) (profile storecapacity.Profile, sizes shardSizes) {
	add := func(sum *int64, bytes int64, neededUntil time.Time, retention time.Duration) {
		*sum += bytes
		profile.Add(bytes, neededUntil.Add(RetentionMargin).Sub(now))
		profile.RetentionMS = max(profile.RetentionMS, (retention + RetentionMargin).Milliseconds())
	}
	for _, turn := range s.turns {
		add(&sizes.turns, int64(len(turn.Input)+len(turn.Output)+turnHeaderBytes), turn.neededUntil, turn.retention())
	}
	for _, entry := range s.accounts {
		add(&sizes.accounts, accountBytes, entry.usedAt.Add(entry.retention()), entry.retention())
	}
	return profile, sizes
}
