package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Before a shard is taken from a holder, the daemon at its address is asked whether it
// still holds it, while the directory is read. A holder that answers keeps its shard,
// whatever the claimant and its asker believe: what was asked for is passed on to it.
//
// A holder that is dead does not answer, and is waited for no longer than the
// directory's reading takes, unless there is reason to doubt its death.

const (
	// confirmInterval separates questions to a holder that has not answered.
	confirmInterval = 200 * time.Millisecond
	// waitIsolated is how much longer than the directory's reading a daemon that was cut
	// off waits for the holder's answer: as long as peers take to connect again.
	waitIsolated = 2 * time.Second
	// waitReturned is the same for one that could not reach the store until now, and
	// waitAlive for one whose view says that the holder lives: some round trips to a
	// small machine that is busy.
	waitReturned = 500 * time.Millisecond
	waitAlive    = 100 * time.Millisecond
	// claimIdle is how long a claim may make no progress until another daemon may take the
	// shard: one page of a store that is busy.
	claimIdle = 3 * time.Second
	// confirmLife is how long a holder's confirmation is relied on. Without it each turn
	// would cost a reading of the directory until this daemon's view shows that the holder
	// lives.
	confirmLife = time.Second
)

// holderConfirmation is a holder's word that it holds the shard.
type holderConfirmation struct {
	holder holderRecord
	at     time.Time
}

// confirm answers whether this daemon holds the shard, without taking it. It is
// called by any goroutine: the holder's own may be busy with a claim.
func (h *holder) confirm(number uint64) Response {
	epoch := h.status.heldEpoch.Load()
	idle, _ := h.status.progressAt.since(time.Now())
	if epoch == 0 || h.isIsolated() || !h.status.holding.Load() && idle > claimIdle {
		return Response{Number: number, Result: resultMoved}
	}
	return Response{Number: number, Result: resultOK, Epoch: epoch, Holder: h.daemon}
}

// holderAnswer is a shard's holder's answer to the question whether it holds the shard.
type holderAnswer int

const (
	// holderSilent: it said nothing.
	holderSilent holderAnswer = iota
	// holderKeeps: it holds the shard.
	holderKeeps
	// holderGone: it answers, and does not hold the shard or cannot serve it.
	holderGone
)

// askHolder asks a shard's holder whether it lives, again and again until it answers
// or ctx ends. The channel gets one value.
func (h *holder) askHolder(ctx context.Context, holder holderRecord) <-chan holderAnswer {
	confirmed := make(chan holderAnswer, 1)
	id := structs.DaemonID(holder.Daemon)
	if holder.Daemon == "" || id.Address() == structs.DaemonID(h.daemon).Address() {
		confirmed <- holderSilent
		return confirmed
	}
	go func() {
		// Any run at the address may answer: a new one says at once that it holds nothing.
		to := structs.NewDaemonID(id.Address(), structs.AnyIncarnation)
		for ctx.Err() == nil {
			asking, cancel := context.WithTimeout(ctx, confirmInterval)
			response := h.fleet.askOne(asking, to, Request{Shard: h.shard, Confirm: true})
			cancel()
			switch {
			case response.Result == resultSilent:
				continue
			case response.Result == resultOK && response.Holder == holder.Daemon && response.Epoch >= holder.Epoch:
				confirmed <- holderKeeps
			default:
				confirmed <- holderGone
			}
			return
		}
		confirmed <- holderSilent
	}()
	return confirmed
}

// awaitHolder returns the answer of a shard's holder, after the directory was read.
// known is what the claimant knew of it before, and asked the answer to the question
// that was sent then.
func (h *holder) awaitHolder(ctx context.Context, before, known holderRecord, asked <-chan holderAnswer) holderAnswer {
	if before.Daemon == "" {
		return holderSilent
	}
	ctx, cancel := context.WithTimeout(ctx, h.fleet.confirmWait(before.Daemon))
	defer cancel()
	if before != known {
		asked = h.askHolder(ctx, before)
	}
	for {
		select {
		case word := <-asked:
			return word
		default:
		}
		select {
		case word := <-asked:
			return word
		case <-time.After(answerWithin / 2):
			h.status.noteProgress() // it is waited for, and so are those that asked
		case <-ctx.Done():
			return holderSilent
		}
	}
}

// doubt implements fleet.
func (s *Service) confirmWait(daemon string) time.Duration {
	now := time.Now()
	switch {
	case s.isolation.wasIsolatedLately(now):
		return waitIsolated
	case s.records.isBack(now):
		return waitReturned
	case s.mayLive(daemon):
		return waitAlive
	}
	return 0
}

// isConfirmed tells whether the known holder said lately that it holds the shard.
func (h *holder) isConfirmed(now time.Time) bool {
	return h.confirmed.holder.Daemon != "" && now.Sub(h.confirmed.at) <= confirmLife &&
		h.known.get(h.shard).holderRecord == h.confirmed.holder
}

// passOn asks the shard's holder in the asker's place: the asker has bad news of it.
func (h *holder) passOn(ctx context.Context, o operation) {
	holder := h.confirmed.holder
	request := *o.request
	request.FailedEpoch = 0
	h.status.passing.Add(1)
	h.metrics.passedOn()
	go func() {
		asking, cancel := context.WithTimeout(ctx, answerWithin)
		defer cancel()
		response := h.fleet.askOne(asking, structs.DaemonID(holder.Daemon), request)
		h.status.passing.Add(-1)
		isSilent, told := response.Result == resultSilent, response
		h.post(ctx, func(context.Context) {
			switch {
			case !isSilent:
				h.known.noteAnswer(h.shard, told)
			case h.confirmed.holder == holder:
				h.confirmed = holderConfirmation{}
			}
		})
		if isSilent {
			response.Result = resultMoved
		}
		response.Number = o.request.Number
		o.reply(response)
	}()
}
