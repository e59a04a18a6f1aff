package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Before a shard is taken from a holder, the daemon at its address is asked whether it
// still holds the shard, while the directory is read. A holder that answers keeps its
// shard, whatever the claimant and its caller believe, and the request is forwarded to it.
//
// A dead holder does not answer. The claimant waits for it only as long as the read of the
// directory takes, unless there is reason to doubt its death.

const (
	// confirmInterval is the interval between questions to a holder that has not answered.
	confirmInterval = 200 * time.Millisecond
	// isolatedConfirmWait is how much longer than the read of the directory a daemon that
	// was isolated waits for the holder's answer: as long as peers take to reconnect.
	isolatedConfirmWait = 2 * time.Second
	// reconnectedConfirmWait is the same for a daemon that could not reach the store until
	// now, and aliveConfirmWait for one that believes the holder to be alive: some round
	// trips to a small, busy machine.
	reconnectedConfirmWait = 500 * time.Millisecond
	aliveConfirmWait       = 100 * time.Millisecond
	// claimIdleTimeout is how long a claim may make no progress until another daemon may
	// take the shard. It must exceed the time to read one page from a busy store.
	claimIdleTimeout = 3 * time.Second
	// confirmationTTL is how long a holder's confirmation is relied on. Without it, each
	// turn would read the directory until this daemon's view shows that the holder is
	// alive.
	confirmationTTL = time.Second
)

// holderConfirmation is a holder's confirmation that it holds the shard.
type holderConfirmation struct {
	holder holderRecord
	at     time.Time
}

// confirm answers whether this daemon holds the shard, without taking it. It may be called
// by any goroutine, as the holder's own may be busy with a claim.
func (h *holder) confirm(number uint64) Response {
	epoch := h.status.heldEpoch.Load()
	idle, _ := h.status.progressAt.since(time.Now())
	if epoch == 0 || h.isIsolated() || !h.status.holding.Load() && idle > claimIdleTimeout {
		return Response{Number: number, Result: resultMoved}
	}
	return Response{Number: number, Result: resultOK, Epoch: epoch, Holder: h.daemon}
}

// holderAnswer is a holder's answer to the question whether it holds the shard.
type holderAnswer int

const (
	// holderSilent: it did not answer.
	holderSilent holderAnswer = iota
	// holderKeeps: it holds the shard.
	holderKeeps
	// holderGone: it answered, and does not hold the shard or cannot serve it.
	holderGone
)

// askHolder asks a shard's holder whether it still holds the shard, repeatedly until it
// answers or ctx ends. The channel receives one value.
func (h *holder) askHolder(ctx context.Context, holder holderRecord) <-chan holderAnswer {
	confirmed := make(chan holderAnswer, 1)
	id := structs.DaemonID(holder.Daemon)
	if holder.Daemon == "" || id.Address() == structs.DaemonID(h.daemon).Address() {
		confirmed <- holderSilent
		return confirmed
	}
	go func() {
		// Any incarnation at the address may answer: a new one does not hold the shard and
		// says so at once.
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

// awaitHolder returns the answer of a shard's holder, after the directory was read. known
// is what the claimant knew about the holder before, and asked receives the answer to the
// question sent then.
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
		case answer := <-asked:
			return answer
		default:
		}
		select {
		case answer := <-asked:
			return answer
		case <-time.After(pendingTimeout / 2):
			h.status.noteProgress() // the callers of this claim must keep waiting, too
		case <-ctx.Done():
			return holderSilent
		}
	}
}

// confirmWait implements fleet.
func (s *Service) confirmWait(daemon string) time.Duration {
	now := time.Now()
	switch {
	case s.isolation.wasIsolatedLately(now):
		return isolatedConfirmWait
	case s.records.hasRecovered(now):
		return reconnectedConfirmWait
	case s.mayBeAlive(daemon):
		return aliveConfirmWait
	}
	return 0
}

// isConfirmed reports whether the known holder recently confirmed that it holds the shard.
func (h *holder) isConfirmed(now time.Time) bool {
	return h.confirmed.holder.Daemon != "" && now.Sub(h.confirmed.at) <= confirmationTTL &&
		h.known.get(h.shard).holderRecord == h.confirmed.holder
}

// forward sends a request to the shard's confirmed holder in place of the caller, which
// believes that the holder failed.
func (h *holder) forward(ctx context.Context, o operation) {
	holder := h.confirmed.holder
	request := *o.request
	request.FailedEpoch = 0
	h.status.forwarding.Add(1)
	h.metrics.forwarded()
	go func() {
		asking, cancel := context.WithTimeout(ctx, pendingTimeout)
		defer cancel()
		response := h.fleet.askOne(asking, structs.DaemonID(holder.Daemon), request)
		h.status.forwarding.Add(-1)
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
