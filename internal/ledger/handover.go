package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// A planned handover of a shard. Its records are megabytes, which take a small
// machine up to a second to read, so the successor reads them ahead while the
// holder goes on to serve:
//
//	holder                     successor
//	  prepare  ------------->  reads the shard ahead
//	           <-------------  ok
//	  returns headroom, drops the shard
//	  take     ------------->  claims it, reads what came since
//	           <-------------  ok, with its epoch
//
// Nothing rests on these messages but time: the claim is an ordinary one, and
// fences the former holder. A holder that gets no answer gives the shard up all
// the same if it is leaving, and keeps it if it is not.

const (
	// prepareTime bounds how long a successor may read ahead: four shards one after
	// the other on a small machine. A stopping daemon waits for it within its bound.
	prepareTime = 4 * time.Second
	// successorTries bounds the daemons that are asked to read a shard ahead: the
	// first may be stopping, too.
	successorTries = 3
	// takeTime bounds how long a former holder answers that the shard has moved, until it
	// knows that the successor took it.
	takeTime = time.Second
)

// handover is a shard on its way to another daemon.
type handover struct {
	to string
	// prepared: the successor has read the shard ahead.
	prepared bool
}

// handOver passes the shard on, to a successor that is given time to read it
// ahead.
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
			h.notePrepared(ctx, current, result, time.Since(started))
		})
	}()
}

// findSuccessor lets a daemon read the shard ahead, and others if that cannot. It
// returns the one that did, or the last that was asked.
func (h *holder) findSuccessor(ctx context.Context, first string) (successor string, answer result) {
	ctx, cancel := context.WithTimeout(ctx, prepareTime)
	defer cancel()
	var asked []structs.DaemonID
	for next := first; len(asked) < successorTries; next = h.fleet.preferred(h.shard, asked...) {
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

// notePrepared takes the successor's word. The holder keeps a shard for which
// there is no successor: one that stays offers it again after a longer stay, one
// that is leaving soon, and serves until then. Only a leaving holder gives the
// shard to a successor that could not read it ahead.
func (h *holder) notePrepared(ctx context.Context, current *handover, result result, took time.Duration) {
	if h.handover != current || h.state == nil {
		return // the shard was lost meanwhile
	}
	h.logger.Info().Uint64("epoch", h.epoch).Str("to", current.to).Str("result", string(result)).
		Dur("took", took).Bool("leaving", h.isLeaving()).Msg("Successor answered.")
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

// passTo tells the successor to claim the shard that was given up. Until it has,
// callers that come here are told that the shard has moved.
func (h *holder) passTo(ctx context.Context, successor string, epoch uint64) {
	h.givenTo = successor
	go func() {
		asking, cancel := context.WithTimeout(ctx, takeTime)
		defer cancel()
		response := h.askSuccessor(asking, successor, Request{Take: true, FailedEpoch: epoch})
		h.post(ctx, func(context.Context) {
			h.givenTo = ""
			h.known.note(h.shard, holderRecord{Epoch: response.Epoch, Daemon: response.Holder})
			h.logger.Info().Uint64("epoch", epoch).Str("to", successor).Str("result", string(response.Result)).
				Msg("Shard given up.")
		})
	}()
}
