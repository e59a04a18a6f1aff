package ledger

import (
	"context"
	"errors"
	"time"
)

const (
	// yieldInterval separates looks at whether another daemon should hold the shard:
	// each ranks all members.
	yieldInterval = time.Second
	// firstPause and longestPause separate tries to claim a shard whose
	// partition does not answer.
	firstPause   = 200 * time.Millisecond
	longestPause = 600 * time.Millisecond
	// shortestStay is how long a daemon keeps a shard at least that another
	// should hold; it doubles up to longestStay each time the shard comes back.
	shortestStay = 4 * time.Second
	longestStay  = time.Minute
)

// tenure is how long a daemon keeps a shard that another should hold.
type tenure struct {
	// since is when the shard was claimed, or could not be passed on, and least how
	// long it is kept from then on.
	since time.Time
	least time.Duration
	// rankedAt is when the members were last ranked for the shard.
	rankedAt time.Time
}

// prolong lets the holder keep the shard from now on, for twice as long as before, until
// it offers it to another daemon.
func (t *tenure) prolong(now time.Time) {
	t.since = now
	t.least = min(max(2*t.least, shortestStay), longestStay)
}

// claimRetry is when a shard may be claimed again after the store did not answer.
type claimRetry struct {
	// at is when it may, unless returned is closed before.
	at       time.Time
	returned <-chan struct{}
	// pause is the one before at; it doubles with each failure.
	pause time.Duration
}

// postpone puts the next claim off.
func (r *claimRetry) postpone(returned <-chan struct{}) {
	r.pause = min(max(2*r.pause, firstPause), longestPause)
	r.at = time.Now().Add(spread(r.pause))
	r.returned = returned
}

// mustWait tells whether it is too early for a claim.
func (r *claimRetry) mustWait(now time.Time) bool { return now.Before(r.at) && !isClosed(r.returned) }

// leave passes the shard on, if this daemon holds it. Without a successor it is
// kept until there is one; its headroom goes back at once, as the process may end
// before.
func (h *holder) leave(ctx context.Context) {
	if h.state == nil {
		return
	}
	if successor := h.fleet.preferred(h.shard); successor != "" {
		h.handOver(ctx, successor)
		return
	}
	h.state.returnHeadroom()
	h.startAppend(ctx)
}

// yield begins to hand the shard over if another daemon should hold it, and this one has
// kept it for long enough or is leaving.
func (h *holder) yield(ctx context.Context, now time.Time) {
	if h.state == nil || h.handover != nil || now.Sub(h.tenure.rankedAt) < yieldInterval {
		return
	}
	if h.isLeaving() {
		h.tenure.rankedAt = now
		h.leave(ctx)
		return
	}
	if h.histories != nil || now.Sub(h.tenure.since) < h.tenure.least {
		return
	}
	h.tenure.rankedAt = now
	successor := h.fleet.preferred(h.shard)
	if successor != h.daemon && h.fleet.mayHandOver(successor, h.state.size()) {
		h.handOver(ctx, successor)
	}
}

// relinquish gives the shard up. Before, it returns to the programs what was set aside
// for their next turns, and appends that with all other changes. If that fails, the next
// holder counts it as spent.
func (h *holder) relinquish(ctx context.Context) {
	h.state.returnHeadroom()
	records, err := h.takeChanges()
	if err == nil && len(records) > 0 {
		h.sequence++
		err = h.records.appendWithin(ctx, giveUpAfter, h.partition, h.writer(), records)
	}
	if err != nil {
		h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Msg("Headroom not given back.")
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
	h.passTo(ctx, current.to, h.epoch)
}

// drop forgets the shard's state, and refuses the operations that wait for the next
// append. Those that wait for the one under way are the caller's to refuse.
func (h *holder) drop() {
	if h.state != nil {
		h.former = &formerState{epoch: h.epoch, lostAt: time.Now(), accounts: h.state.accounts}
		h.formerOver.Reset(formerLife)
	}
	h.forgetSizes()
	h.status.stampedAt.clear()
	if h.histories != nil {
		for _, o := range h.histories.waiting {
			h.refuse(o, resultMoved)
		}
		h.endHistories()
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
	h.appends.flush.Stop()
}

// lose takes note of why the shard could not be claimed or is held no more, and returns
// what askers are told. After an append that failed the caller drops the shard: what was
// applied may or may not be in the store, so it is read again before anything else is
// answered.
func (h *holder) lose(ctx context.Context, err error) result {
	if errors.Is(err, errHeld) {
		return resultMoved
	}
	h.metrics.lost(err)
	if isSuperseded(err) {
		h.logger.Info().Uint64("epoch", h.epoch).Msg("Shard lost to another holder.")
		h.learnHolder(ctx)
		return resultMoved
	}
	h.retry.postpone(h.records.contact.Recovered())
	h.logger.Warn().Err(err).Uint64("epoch", h.epoch).Dur("pause", h.retry.pause).Msg("Shard's partition not reached.")
	return resultImpaired
}

// learnHolder reads who holds the shard now.
func (h *holder) learnHolder(ctx context.Context) {
	h.known.forget(h.shard)
	if holder, err := h.readDirectory(ctx); err == nil {
		h.known.note(h.shard, holder)
	}
}
