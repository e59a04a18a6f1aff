package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// A planned handover of a shard. Reading its megabytes of records takes up to a second, so
// the successor reads them ahead while the holder keeps serving:
//
//	holder                     successor
//	  prepare  ------------->  reads the shard ahead
//	           <-------------  ok
//	  returns headroom, drops the shard
//	  take     ------------->  claims it, reads what came since
//	           <-------------  ok, with its epoch
//
// These messages only save time. Safety does not depend on them: the claim is an ordinary
// one and fences the former holder. A holder that gets no answer gives the shard up anyway
// if it is leaving, and keeps it otherwise.

const (
	// prepareTimeout bounds how long a successor may read ahead. It reads several shards
	// one after the other. A stopping daemon waits for it within its shutdown deadline.
	prepareTimeout = 4 * time.Second
	// successorTries bounds the daemons that are asked to read a shard ahead, as the first
	// one may be stopping, too.
	successorTries = 3
	// takeTimeout bounds how long a former holder answers that the shard has moved while it
	// does not know whether the successor took it.
	takeTimeout = time.Second
)

// handover is the transfer of a shard to another daemon.
type handover struct {
	to string
	// prepared: the successor has read the shard ahead.
	prepared bool
}

// handOver starts the transfer of the shard to a successor, which first gets time to read
// it ahead.
func (h *holder) handOver(ctx context.Context, successor string) {
	if h.handover != nil {
		return
	}
	current := &handover{}
	h.handover = current
	started := time.Now()
	go func() {
		successor, result := h.findSuccessor(ctx, successor)
		h.post(ctx, func(ctx context.Context) {
			current.to = successor
			h.handlePrepared(ctx, current, result, time.Since(started))
		})
	}()
}

// findSuccessor asks a daemon to read the shard ahead, and then others if it cannot. It
// returns the one that did, or the last one asked.
func (h *holder) findSuccessor(ctx context.Context, first string) (successor string, answer result) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	var asked []structs.DaemonID
	for next := first; len(asked) < successorTries; next = h.fleet.preferredHolder(h.shard, asked...) {
		if next == "" || next == h.daemon {
			break
		}
		successor = next
		answer = h.askSuccessor(ctx, successor, Request{Prepare: true}).Result
		if answer == resultOK || ctx.Err() != nil {
			break
		}
		asked = append(asked, structs.DaemonID(successor))
	}
	return successor, answer
}

// askSuccessor sends a request about the shard to a daemon.
func (h *holder) askSuccessor(ctx context.Context, to string, request Request) Response {
	request.Shard = h.shard
	return h.fleet.askOne(ctx, structs.DaemonID(to), request)
}

// handlePrepared handles the successor's answer to the request to read ahead. A shard
// without a successor stays with its holder, which serves it and offers it again: after a
// longer tenure if it stays, soon if it is leaving. Only a leaving holder gives the shard
// to a successor that could not read it ahead.
func (h *holder) handlePrepared(ctx context.Context, current *handover, result result, took time.Duration) {
	if h.handover != current || h.state == nil {
		return // the shard was lost in the meantime
	}
	h.logger.Info().Uint64("epoch", h.epoch).Str("to", current.to).Str("result", string(result)).
		Dur("took", took).Bool("leaving", h.isLeaving()).Msg("Successor answered the request to read the shard ahead.")
	h.metrics.handedOver(result)
	if result != resultOK && (!h.isLeaving() || result == resultMoved) {
		h.handover = nil
		h.tenure.prolong(time.Now())
		return
	}
	current.prepared = true
	if h.appends.pending == nil {
		h.relinquish(ctx)
	}
}

// requestTake tells the successor to claim the shard that was released. Until it has,
// requests that arrive here are answered that the shard has moved.
func (h *holder) requestTake(ctx context.Context, successor string, epoch uint64) {
	h.releasedTo = successor
	go func() {
		asking, cancel := context.WithTimeout(ctx, takeTimeout)
		defer cancel()
		response := h.askSuccessor(asking, successor, Request{Take: true, FailedEpoch: epoch})
		h.post(ctx, func(context.Context) {
			h.releasedTo = ""
			h.known.note(h.shard, holderRecord{Epoch: response.Epoch, Daemon: response.Holder})
			h.logger.Info().Uint64("epoch", epoch).Str("to", successor).Str("result", string(response.Result)).
				Msg("Shard released to its successor.")
		})
	}()
}
