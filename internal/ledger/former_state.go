package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// A holder that lives may lose its shard: callers could not reach it, or it the store.
// Its successor asks it what it granted, and then nothing counts as lost:
//
//	successor                        former holder
//	  claims the shard
//	  superseded, with its epoch -->   drops the shard, grants nothing more
//	  accounts                   <--
//	  takes them in place of those on record
//
// Without an answer what was set aside counts as spent, as after a crash.

const (
	// formerLife is how long a daemon remembers what it knew of a shard that it lost: a
	// store that is out is back by then, or the shard is another's.
	formerLife = 30 * time.Second
	// formerAnswerTime bounds how long a claim waits for the former holder: a round
	// trip between regions (16 ms) and a busy machine.
	formerAnswerTime = 80 * time.Millisecond
	// formerAccountsLimit bounds the accounts that are told, each of some 200 bytes: an
	// answer of half a megabyte.
	formerAccountsLimit = 2500
)

// formerState is what a daemon knew of a shard when it lost it, most often because the
// answer to an append was lost: all that was granted, whether on record or not.
type formerState struct {
	epoch    uint64
	lostAt   time.Time
	accounts map[string]*accountEntry
}

// restoreFormer puts what was granted before the shard was lost in the place of what the
// records tell, if nobody else held the shard since, and returns whether it did.
func (s *state) restoreFormer(former *formerState, now time.Time) bool {
	if former == nil || former.epoch != s.allowance.holderEpoch() || now.Sub(former.lostAt) > formerLife {
		return false
	}
	for id, entry := range former.accounts {
		s.accounts[id] = &accountEntry{account: entry.account, usedAt: entry.usedAt, allowed: unboundedHeadroom}
		s.touch(accountPrefix + id)
	}
	return true
}

// FormerAccounts is what a holder knew of its shard's programs when it lost the shard.
type FormerAccounts struct {
	Epoch    uint64             `json:"epoch"`
	Accounts map[string]account `json:"accounts"`
}

// askRecorded asks the holder that the shard's own records name what it granted, unless that is
// the one which the directory named: two daemons that claim a shard at once both read the
// directory before the first of them has written there. Asking costs a round trip; not asking
// counts all that the first set aside as spent, up to half of each program's budget. Whether it
// lives in this daemon's view does not matter: one that was cut off until now claims shards by a
// view that is as old as its last word from others.
func (h *holder) askRecorded(ctx context.Context, records []store.Record, named holderRecord) *formerState {
	recorded := lastUnder[allowanceRecord](allowanceKey, records).Holder
	if recorded.Daemon == named.Daemon {
		return nil
	}
	return h.askGranted(ctx, recorded.Daemon)
}

// askFormer asks the holder before this one what it granted, unless it is dead; nil if it does
// not tell.
func (h *holder) askFormer(ctx context.Context, before holderRecord) *formerState {
	if !h.fleet.mayLive(before.Daemon) {
		return nil
	}
	return h.askGranted(ctx, before.Daemon)
}

// askGranted asks a daemon that held the shard what it granted; nil if it does not tell.
func (h *holder) askGranted(ctx context.Context, daemon string) *formerState {
	if daemon == "" || daemon == h.daemon {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, formerAnswerTime)
	defer cancel()
	request := Request{Shard: h.shard, Superseded: &holderRecord{Epoch: h.epoch, Daemon: h.daemon}}
	told := h.fleet.askOne(ctx, structs.DaemonID(daemon), request).Former
	if told == nil {
		return nil
	}
	now := time.Now()
	former := &formerState{epoch: told.Epoch, lostAt: now, accounts: map[string]*accountEntry{}}
	for id, known := range told.Accounts {
		former.accounts[id] = &accountEntry{account: known, usedAt: now}
	}
	return former
}

// tellFormer gives the shard up to the daemon that claimed it, and tells what was granted.
func (h *holder) tellFormer(o operation) {
	successor := *o.request.Superseded
	if h.state != nil && h.epoch < successor.Epoch {
		h.known.note(h.shard, successor)
		h.metrics.lost(store.ErrFenced)
		h.logger.Info().Uint64("epoch", h.epoch).Str("to", successor.Daemon).Uint64("claimed", successor.Epoch).
			Msg("Shard lost to another holder, which asks what was granted.")
		pending := h.appends.pending
		h.drop()
		if pending != nil {
			h.refuseAll(pending.waiting, resultMoved)
		}
	}
	answer := Response{Number: o.request.Number, Result: resultMoved}
	if h.former != nil && len(h.former.accounts) <= formerAccountsLimit {
		answer.Result = resultOK
		answer.Former = &FormerAccounts{Epoch: h.former.epoch, Accounts: map[string]account{}}
		for id, entry := range h.former.accounts {
			answer.Former.Accounts[id] = entry.account
		}
	}
	o.reply(answer)
}
