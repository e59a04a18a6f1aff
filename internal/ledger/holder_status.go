package ledger

import (
	"sync/atomic"
	"time"
)

// holderStatus is what other goroutines read of a holder, without waiting for it.
type holderStatus struct {
	// holding tells whether the shard is held, and heldEpoch by which claim it is held or
	// being read; 0 for none.
	holding   atomic.Bool
	heldEpoch atomic.Uint64
	// The holder works on something that askers wait for: an append, the reading of the
	// turns' texts, a claim, or a reading ahead of one.
	appending, reading, claiming, preparing atomic.Bool
	// passing counts the requests that are being passed on to another holder.
	passing atomic.Int32
	// progressAt is when the reading of the shard last got on.
	progressAt instant
	// silentSince is when the append under way was first sent, if it has not been
	// answered for long.
	silentSince instant
	// stampedAt is when the latest record of the allowance was sent.
	stampedAt instant
	// promisedAt is when another holder was last told that the shard was read ahead here,
	// until it was claimed.
	promisedAt instant
}

// isBusy tells whether the holder works on something that others wait for.
func (s *holderStatus) isBusy() bool {
	return s.appending.Load() || s.preparing.Load() || s.passing.Load() > 0 || s.reading.Load() ||
		s.claiming.Load() && s.isGettingOn(time.Now())
}

// noteProgress takes note that the reading of the shard gets on.
func (s *holderStatus) noteProgress() { s.progressAt.set(time.Now()) }

// isGettingOn tells whether the reading of the shard got on lately: a claimant
// that is cut off from the store is not waited for.
func (s *holderStatus) isGettingOn(now time.Time) bool {
	idle, begun := s.progressAt.since(now)
	return begun && idle < answerWithin
}

// isPromised tells whether another holder may count on this daemon to take the shard,
// whether it leaves or not.
func (s *holderStatus) isPromised(now time.Time) bool {
	since, promised := s.promisedAt.since(now)
	return promised && since <= promiseLife
}
