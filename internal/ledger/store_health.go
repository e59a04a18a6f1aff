package ledger

import (
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// downAfter is how long no call must have been answered until the store counts as down
	// for this daemon, and probeInterval separates the calls that are made anyway to detect
	// that it is back.
	downAfter     = 300 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	// storeFullTTL is how long the store counts as full after it refused an append. The
	// space that becomes free meanwhile is meant for claims and the dropping of records.
	storeFullTTL = time.Second
)

// storeHealth tracks from the outcomes of calls whether this daemon reaches the store.
type storeHealth struct {
	// failingSince is the time of the first failed call since the last answer; zero if
	// there was none.
	failingSince time.Time
	// probeAt is when the next call may be made while the store is down.
	probeAt time.Time
	// failedAt is when the latest call failed, and recoveredAt when a call was first
	// answered after calls had failed for downAfter.
	failedAt, recoveredAt time.Time
	// answeredAt is when a call was last answered.
	answeredAt time.Time
	// fullAt is when an append was last refused because the store is full.
	fullAt time.Time
	// recovered is closed when the store is reported to answer again after it failed.
	recovered <-chan struct{}
}

// isDown reports whether the store does not answer this daemon at all. Every probeInterval
// it returns false, so that the caller tries.
func (r *recordStore) isDown(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.health.failingSince.IsZero() || now.Sub(r.health.failingSince) < downAfter {
		return false
	}
	if isClosed(r.health.recovered) {
		r.health.recovered = r.connectivity.Recovered()
		return false
	}
	if now.Before(r.health.probeAt) {
		return true
	}
	r.health.probeAt = now.Add(probeInterval)
	return false
}

// isFull reports whether the store recently refused an append because it is full.
func (r *recordStore) isFull(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.health.fullAt.IsZero() && now.Sub(r.health.fullAt) < storeFullTTL
}

// noteFull records the time if an append found the store full.
func (r *recordStore) noteFull(err error) {
	if !errors.Is(err, store.ErrFull) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.health.fullAt = time.Now()
}

// hasRecovered reports whether the store recently began to answer this daemon again.
func (r *recordStore) hasRecovered(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.health.recoveredAt.IsZero() && now.Sub(r.health.recoveredAt) <= isolationDoubtPeriod
}

// noteOutcome records whether a call was answered. An unanswered call does not count if the
// store has answered another since it began: the store is busy, not unreachable.
func (r *recordStore) noteOutcome(err error, started time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err == nil || isFinal(err) || errors.Is(err, store.ErrFull):
		if r.health.failedAt.Sub(r.health.failingSince) >= downAfter && !r.health.failingSince.IsZero() {
			r.health.recoveredAt = time.Now()
		}
		r.health.failingSince = time.Time{}
		r.health.answeredAt = time.Now()
	case errors.Is(err, store.ErrOutcomeUnknown) && r.health.answeredAt.After(started):
	default:
		r.health.failedAt = time.Now()
		if r.health.failingSince.IsZero() {
			r.health.failingSince = r.health.failedAt
			r.health.recovered = r.connectivity.Recovered()
		}
	}
}
