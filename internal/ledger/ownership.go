package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// A holder that decides without an append does not learn from the store that it has lost its shard: it
// may have been frozen, or unreachable, while another daemon took the shard over. So such decisions
// need an append that the store accepted lately, which it does only for the holder. Like a lease, that
// proof is renewed while it is used, and expires ownershipTTL after the append was sent. A freeze ends
// it at once. A successor that did not hear from the former holder allows for what that may decide until
// its proof has expired.
//
// While the store does not answer, nobody can take the shard over, and the holder goes on without proof.

const (
	// ownershipTTL is how long an accepted append proves that this daemon holds the shard, and
	// ownershipRenewal the age from which on a further one is made.
	ownershipTTL     = quota.OwnerOverlap
	ownershipRenewal = 220 * time.Millisecond
	// pauseCheckInterval is the interval at which a daemon notices that it runs. It was paused if it
	// did not for longer than maxUnnoticedPause, which is shorter than a holder may be silent until it
	// is passed over.
	pauseCheckInterval = 50 * time.Millisecond
	maxUnnoticedPause  = 250 * time.Millisecond
)

// pauseDetector detects that the whole process stood still, on the monotonic clock. It is safe for
// concurrent use.
type pauseDetector struct {
	// ranAt is when the process last noticed that it runs, and pausedAt when it last noticed that it
	// had been paused.
	ranAt, pausedAt instant
	started         sync.Once
	// wanted is closed when the first holder depends on the detector.
	wanted chan struct{}
}

func newPauseDetector() *pauseDetector { return &pauseDetector{wanted: make(chan struct{})} }

// observe notices that the process runs.
func (d *pauseDetector) observe(now time.Time) {
	if stood, known := d.ranAt.since(now); known && stood > maxUnnoticedPause {
		d.pausedAt.set(now)
	}
	d.ranAt.set(now)
}

// pausedSince reports whether the process was paused after a time, as far as it can have noticed.
func (d *pauseDetector) pausedSince(after, now time.Time) bool {
	d.started.Do(func() { close(d.wanted) })
	if stood, known := d.ranAt.since(now); known && stood > maxUnnoticedPause {
		return true
	}
	paused, known := d.pausedAt.since(now)
	return known && paused <= now.Sub(after)
}

// run checks for pauses from when the first holder depends on that until ctx ends.
func (d *pauseDetector) run(ctx context.Context) {
	select {
	case <-d.wanted:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		d.observe(time.Now())
		clock.Sleep(ctx, pauseCheckInterval)
	}
}

// ownership is the proof that this daemon holds a shard.
type ownership struct {
	// provedAt is when the latest append was sent that the store accepted.
	provedAt time.Time
	// waiting operations are decided once there is a new proof.
	waiting []operation
}

// mayDecide reports whether the holder may decide without an append now.
func (h *holder) mayDecide(now time.Time) bool {
	if h.pauses.pausedSince(h.ownership.provedAt, now) {
		return false
	}
	return now.Sub(h.ownership.provedAt) <= ownershipTTL || h.storeOutFor(now) > 0
}

// renewOwnership makes an append if the proof of ownership is aging and none is under way.
func (h *holder) renewOwnership(ctx context.Context, now time.Time) {
	if now.Sub(h.ownership.provedAt) <= ownershipRenewal && !h.pauses.pausedSince(h.ownership.provedAt, now) {
		return
	}
	h.appends.barrier = true
	h.flushDue(ctx)
}

// awaitOwnership decides an operation once there is a new proof of ownership.
func (h *holder) awaitOwnership(ctx context.Context, o operation) {
	if len(h.ownership.waiting) >= waitingLimit {
		h.refuse(o, resultImpaired)
		return
	}
	now := time.Now()
	if len(h.ownership.waiting) == 0 {
		h.noteDoubt(now)
	}
	h.ownership.waiting = append(h.ownership.waiting, o)
	h.renewOwnership(ctx, now)
}

// noteDoubt counts that a decision waits for a proof of ownership, and logs that after a pause. A proof
// that has expired is usual where few requests come.
func (h *holder) noteDoubt(now time.Time) {
	paused := h.pauses.pausedSince(h.ownership.provedAt, now)
	h.metrics.ownershipDoubted(paused)
	if paused {
		h.logger.Info().Uint64("epoch", h.epoch).Dur("proved", now.Sub(h.ownership.provedAt)).
			Msg("This daemon was paused. An append decides whether it still holds the shard.")
	}
}

// newLimiter returns the limiter of tenants' limits for a shard that was claimed from a former holder.
func (h *holder) newLimiter(former holderRecord, answer holderAnswer) *quota.Limiter {
	limiter := quota.NewLimiter(h.quotaTolerance, former.Daemon == "", time.Now())
	if h.mayStillDecide(former, answer) {
		limiter.AwaitFormer()
	}
	return limiter
}

// mayStillDecide reports whether a former holder may go on deciding until its proof of ownership expires:
// one that answered does not, and one at this daemon's address has ended.
func (h *holder) mayStillDecide(former holderRecord, answer holderAnswer) bool {
	address := structs.DaemonID(former.Daemon).Address()
	return former.Daemon != "" && answer != holderGone && address != structs.DaemonID(h.daemon).Address()
}

// noteOwnership records that the store accepted an append that was sent at a time.
func (h *holder) noteOwnership(sentAt time.Time) {
	h.ownership.provedAt = later(h.ownership.provedAt, sentAt)
}

// decideWaiting decides the operations that waited for a proof of ownership, if there is one.
func (h *holder) decideWaiting(ctx context.Context) {
	if len(h.ownership.waiting) == 0 {
		return
	}
	if now := time.Now(); !h.isIsolated() && !h.mayDecide(now) {
		h.renewOwnership(ctx, now)
		return
	}
	waiting := h.ownership.waiting
	h.ownership.waiting = nil
	for _, o := range waiting {
		h.decideQuota(ctx, o, time.Now())
	}
}
