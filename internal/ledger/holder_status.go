package ledger

import (
	"sync/atomic"
	"time"
)

// holderStatus is the part of a holder's state that other goroutines read without waiting
// for it.
type holderStatus struct {
	// holding reports whether the shard is held, and heldEpoch is the epoch of the claim by
	// which it is held or being read; 0 for none.
	holding   atomic.Bool
	heldEpoch atomic.Uint64
	// What the holder is working on: an append, a read of the turns' texts, a claim, or a
	// read ahead of one.
	appending, reading, claiming, preparing atomic.Bool
	// forwarding counts the requests that are being forwarded to another holder.
	forwarding atomic.Int32
	// progressAt is when the read of the shard last made progress.
	progressAt instant
	// silentSince is when the append under way was first sent, if it is slow.
	silentSince instant
	// allowanceSentAt is when the latest record of the allowance was sent.
	allowanceSentAt instant
	// promisedAt is when another holder was last told that this daemon has read the shard
	// ahead; it is cleared by the claim.
	promisedAt instant
}

// isBusy reports whether the holder works on something that callers wait for.
func (s *holderStatus) isBusy() bool {
	return s.appending.Load() || s.preparing.Load() || s.forwarding.Load() > 0 || s.reading.Load() ||
		s.claiming.Load() && s.isProgressing(time.Now())
}

// noteProgress records that the read of the shard makes progress.
func (s *holderStatus) noteProgress() { s.progressAt.set(time.Now()) }

// isProgressing reports whether the read of the shard made progress recently. Callers do
// not wait for a claimant that is cut off from the store.
func (s *holderStatus) isProgressing(now time.Time) bool {
	idle, begun := s.progressAt.since(now)
	return begun && idle < pendingTimeout
}

// isPromised reports whether another holder relies on this daemon to take the shard, even
// if it is leaving.
func (s *holderStatus) isPromised(now time.Time) bool {
	since, promised := s.promisedAt.since(now)
	return promised && since <= promiseTTL
}
