package ledger

import (
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// downAfter is how long no call must have been answered until the store
	// counts as down for this daemon, and probePause separates the calls that
	// are made all the same to see whether it is back.
	downAfter  = 300 * time.Millisecond
	probePause = 250 * time.Millisecond
	// fullLife is how long the store counts as full after it refused an append so: what fits
	// in meanwhile is to be claims and the dropping of records, and not the next turn.
	fullLife = time.Second
)

// storeReach is what the outcome of calls tells of whether this daemon reaches the store.
type storeReach struct {
	// failingSince is when the first call failed since one was answered; zero
	// if none did.
	failingSince time.Time
	// probeAt is when the next call may be made while the store is down.
	probeAt time.Time
	// failedAt is when the latest call failed, and backAt when one was answered after
	// calls had failed for downAfter.
	failedAt, backAt time.Time
	// answeredAt is when a call was last answered.
	answeredAt time.Time
	// fullAt is when an append was last refused as the store keeps as much as it may.
	fullAt time.Time
	// returned is closed when the store is said to answer again after it failed.
	returned <-chan struct{}
}

// isDown tells whether the store does not answer this daemon at all. Now and
// then it says no, so that the caller tries.
func (r *recordStore) isDown(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.reach.failingSince.IsZero() || now.Sub(r.reach.failingSince) < downAfter {
		return false
	}
	if isClosed(r.reach.returned) {
		r.reach.returned = r.contact.Recovered()
		return false
	}
	if now.Before(r.reach.probeAt) {
		return true
	}
	r.reach.probeAt = now.Add(probePause)
	return false
}

// isFull tells whether the store took no append lately as it keeps as much as it may.
func (r *recordStore) isFull(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.reach.fullAt.IsZero() && now.Sub(r.reach.fullAt) < fullLife
}

// noteFull takes note of whether an append found the store full.
func (r *recordStore) noteFull(err error) {
	if !errors.Is(err, store.ErrFull) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reach.fullAt = time.Now()
}

// isBack tells whether the store answers this daemon again since lately.
func (r *recordStore) isBack(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.reach.backAt.IsZero() && now.Sub(r.reach.backAt) <= isolationDoubt
}

// noteOutcome takes note of whether a call was answered. One that was not tells nothing
// if the store has answered another since it began: it is busy, and not lost.
func (r *recordStore) noteOutcome(err error, started time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err == nil || isFinal(err) || errors.Is(err, store.ErrFull):
		if r.reach.failedAt.Sub(r.reach.failingSince) >= downAfter && !r.reach.failingSince.IsZero() {
			r.reach.backAt = time.Now()
		}
		r.reach.failingSince = time.Time{}
		r.reach.answeredAt = time.Now()
	case errors.Is(err, store.ErrOutcomeUnknown) && r.reach.answeredAt.After(started):
	default:
		r.reach.failedAt = time.Now()
		if r.reach.failingSince.IsZero() {
			r.reach.failingSince = r.reach.failedAt
			r.reach.returned = r.contact.Recovered()
		}
	}
}
