package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// rankInterval separates checks of whether another daemon should hold the shard, as
	// each ranks all members.
	rankInterval = time.Second
	// minClaimPause and maxClaimPause bound the pause between tries to claim a shard whose
	// partition does not answer.
	minClaimPause = 200 * time.Millisecond
	maxClaimPause = 600 * time.Millisecond
	// minTenure is how long a daemon at least keeps a shard that another should hold. It
	// doubles up to maxTenure each time the shard comes back.
	minTenure = 4 * time.Second
	maxTenure = time.Minute
)

// tenure is how long a daemon keeps a shard that another should hold.
type tenure struct {
	// since is when the shard was claimed or could not be handed over, and least how long
	// it is kept from then on.
	since time.Time
	least time.Duration
	// rankedAt is when the members were last ranked for the shard.
	rankedAt time.Time
}

// prolong restarts the tenure with twice the previous duration.
func (t *tenure) prolong(now time.Time) {
	t.since = now
	t.least = min(max(2*t.least, minTenure), maxTenure)
}

// claimRetry controls when a shard may be claimed again after the store did not answer.
type claimRetry struct {
	// at is the time of the next claim, unless recovered is closed earlier.
	at        time.Time
	recovered <-chan struct{}
	// pause is the pause before at; it doubles with each failure.
	pause time.Duration
}

// postpone schedules the next claim.
func (r *claimRetry) postpone(recovered <-chan struct{}) {
	r.pause = min(max(2*r.pause, minClaimPause), maxClaimPause)
	r.at = time.Now().Add(jitter(r.pause))
	r.recovered = recovered
}

// mustWait reports whether it is too early for a claim.
func (r *claimRetry) mustWait(now time.Time) bool { return now.Before(r.at) && !isClosed(r.recovered) }

// leave hands the shard over if this daemon holds it. Without a successor it keeps the
// shard until there is one, but returns the headroom at once, as the process may end before
// that.
func (h *holder) leave(ctx context.Context) {
	if h.state == nil {
		return
	}
	if successor := h.fleet.preferredHolder(h.shard); successor != "" {
		h.handOver(ctx, successor)
		return
	}
	h.state.returnHeadroom()
	h.startAppend(ctx)
}

// yield starts a handover if another daemon should hold the shard, and this one is leaving
// or has held it for its tenure.
func (h *holder) yield(ctx context.Context, now time.Time) {
	if h.state == nil || h.handover != nil || now.Sub(h.tenure.rankedAt) < rankInterval {
		return
	}
	if h.isLeaving() {
		h.tenure.rankedAt = now
		h.leave(ctx)
		return
	}
	if h.textLoad != nil || now.Sub(h.tenure.since) < h.tenure.least {
		return
	}
	h.tenure.rankedAt = now
	successor := h.fleet.preferredHolder(h.shard)
	if successor != h.daemon && h.fleet.mayHandOver(successor, h.state.size()) {
		h.handOver(ctx, successor)
	}
}

// relinquish gives the shard up. First it returns the headroom and appends that with all
// other changes. If the append fails, the next holder counts the headroom as spent.
func (h *holder) relinquish(ctx context.Context) {
	h.state.returnHeadroom()
	records, err := h.takeChanges()
	if err == nil && len(records) > 0 {
		err = h.appendLast(ctx, records)
	}
	if err != nil {
		h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Msg("Headroom not returned.")
	} else {
		h.answerAll(h.appends.waiting)
		h.appends.waiting = nil
	}
	current := h.handover
	if current == nil {
		h.drop()
		h.known.forget(h.shard)
		return
	}
	h.known.noteReleased(h.shard, h.epoch, current.to)
	h.drop()
	h.requestTake(ctx, current.to, h.epoch)
}

// appendLast appends the last changes of a shard that is given up.
func (h *holder) appendLast(ctx context.Context, records []store.Record) error {
	for _, call := range h.bounds.Split(records) {
		h.sequence++
		if err := h.records.appendWithin(ctx, appendTimeout, h.partition, h.writer(), call); err != nil {
			return err
		}
	}
	return nil
}

// drop discards the shard's state and refuses the operations that wait for the next append.
// The caller must refuse those that wait for the append under way.
func (h *holder) drop() {
	if h.state != nil {
		h.former = &formerState{epoch: h.epoch, lostAt: time.Now(), accounts: h.state.accounts, clock: h.state.clock}
		h.formerTimer.Reset(formerStateTTL)
	}
	h.forgetSizes()
	h.status.allowanceSentAt.clear()
	if h.textLoad != nil {
		for _, o := range h.textLoad.waiting {
			h.refuse(o, resultMoved)
		}
		h.stopTextLoad()
	}
	h.state = nil
	h.limiter = nil
	h.status.holding.Store(false)
	h.status.heldEpoch.Store(0)
	h.appends.pending = nil
	h.handover = nil
	h.status.appending.Store(false)
	h.status.silentSince.clear()
	h.appends.barrier = false
	h.refuseAll(h.appends.waiting, resultMoved)
	h.appends.waiting = nil
	for _, o := range h.ownership.waiting {
		h.refuse(o, resultMoved)
	}
	h.ownership.waiting = nil
	h.stopFlush()
}

// noteLoss records why the shard could not be claimed or was lost, and returns the result
// for refused requests. After a failed append the caller must drop the shard: the append
// may or may not have been applied, so the shard has to be read again.
func (h *holder) noteLoss(ctx context.Context, err error) result {
	if errors.Is(err, errHeldElsewhere) {
		return resultMoved
	}
	h.metrics.lost(err)
	if isSuperseded(err) {
		h.logger.Info().Uint64("epoch", h.epoch).Msg("Shard lost to another holder.")
		h.refreshHolder(ctx)
		return resultMoved
	}
	h.retry.postpone(h.records.connectivity.Recovered())
	h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Dur("pause", h.retry.pause).Msg("Shard's partition not reached.")
	return resultImpaired
}

// refreshHolder reads the current holder of the shard from the directory.
func (h *holder) refreshHolder(ctx context.Context) {
	h.known.forget(h.shard)
	if holder, err := h.readDirectory(ctx); err == nil {
		h.known.note(h.shard, holder)
	}
}
