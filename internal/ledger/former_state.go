package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// A live holder may lose its shard if callers cannot reach it or it cannot reach the store.
// Its successor asks it what it granted, so that nothing has to be counted as lost:
//
//	successor                        former holder
//	  claims the shard
//	  superseded, with its epoch -->   drops the shard, grants nothing more
//	  accounts                   <--
//	  replaces those on record
//
// Without an answer all headroom counts as spent, as after a crash.

const (
	// formerStateTTL is how long a daemon remembers the state of a shard that it lost. By
	// then the store is back, or another daemon has taken the shard.
	formerStateTTL = 30 * time.Second
	// formerAnswerTimeout bounds how long a claim waits for the former holder. It must
	// exceed a round trip between regions, which takes 16 ms, and the delay of a busy machine.
	formerAnswerTimeout = 80 * time.Millisecond
	// formerAccountsLimit bounds the accounts in the answer, each of about 200 bytes, to
	// half a megabyte.
	formerAccountsLimit = 2500
)

// formerState is the state of a shard when a daemon lost it, usually because the answer to
// an append was lost. It includes grants that are not on record. clock is the shard's, as
// kept by that daemon; it is not set if that daemon did not report it.
type formerState struct {
	epoch    uint64
	lostAt   time.Time
	accounts map[string]*accountEntry
	clock    shardClock
}

// isLatest reports whether a former state is recent, and no other daemon held the shard
// since. The records must be loaded.
func (s *state) isLatest(former *formerState, now time.Time) bool {
	return former != nil && former.epoch == s.allowance.holderEpoch() && now.Sub(former.lostAt) <= formerStateTTL
}

// restoreFormer replaces the accounts that were read with those of the former holder,
// unless another daemon held the shard since, and reports whether it did.
func (s *state) restoreFormer(former *formerState, now time.Time) bool {
	if !s.isLatest(former, now) {
		return false
	}
	for id, entry := range former.accounts {
		s.accounts[id] = &accountEntry{account: entry.account, usedAt: entry.usedAt, allowanceGranted: unboundedHeadroom}
		s.markDirty(accountPrefix + id)
	}
	return true
}

// askRecordedHolder asks the holder named in the shard's own records what it granted,
// unless it is the one named in the directory. They differ if two daemons claim a shard at
// once, as both read the directory before the first one writes there. Without an answer,
// all headroom of the first one would count as spent, up to half of each program's budget.
// It is asked even if this daemon believes it dead: after an isolation that view may be
// outdated.
func (h *holder) askRecordedHolder(ctx context.Context, records []store.Record, named holderRecord) *formerState {
	recorded := latestValue[allowanceRecord](allowanceKey, records).Holder
	if recorded.Daemon == named.Daemon {
		return nil
	}
	return h.askFormerGrants(ctx, recorded.Daemon)
}

// askFormerHolder asks the previous holder what it granted, unless it is dead; nil if it
// does not answer.
func (h *holder) askFormerHolder(ctx context.Context, before holderRecord) *formerState {
	if !h.fleet.mayBeAlive(before.Daemon) {
		return nil
	}
	return h.askFormerGrants(ctx, before.Daemon)
}

// askFormerGrants asks a daemon that held the shard what it granted; nil if it does not
// answer.
func (h *holder) askFormerGrants(ctx context.Context, daemon string) *formerState {
	if daemon == "" || daemon == h.daemon {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, formerAnswerTimeout)
	defer cancel()
	request := Request{Shard: h.shard, Superseded: &holderRecord{Epoch: h.epoch, Daemon: h.daemon}}
	reported := h.fleet.askOne(ctx, structs.DaemonID(daemon), request).Former
	if reported == nil {
		return nil
	}
	return reported.restore(time.Now())
}

// handleSuperseded gives the shard up to the daemon that claimed it, and answers with what
// was granted.
func (h *holder) handleSuperseded(o operation) {
	successor := *o.request.Superseded
	if h.state != nil && h.epoch < successor.Epoch {
		h.known.note(h.shard, successor)
		h.metrics.lost(store.ErrFenced)
		h.logger.Info().Uint64("epoch", h.epoch).Str("to", successor.Daemon).Uint64("claimed", successor.Epoch).
			Msg("Shard lost to another holder, which requested the accounts.")
		pending := h.appends.pending
		h.drop()
		if pending != nil {
			h.refuseAll(pending.waiting, resultMoved)
		}
	}
	answer := Response{Number: o.request.Number, Result: resultMoved}
	if h.former != nil && len(h.former.accounts) <= formerAccountsLimit {
		answer.Result = resultOK
		answer.Former = h.former.report(time.Now())
	}
	o.reply(answer)
}
