package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
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
	// prepareTime bounds how long a successor may read ahead. It stays below the
	// time that a stopping daemon goes on to serve (relaydaemon, 2.5 s).
	prepareTime = 2 * time.Second
	// successorTries bounds the daemons that are asked to read a shard ahead: the
	// first may be stopping, too.
	successorTries = 3
	// takeTime bounds how long a former holder sends callers elsewhere until it
	// knows that the successor took the shard.
	takeTime = time.Second
	// readAheadLife is how long what was read ahead is kept: the store keeps 20 s
	// of history to go on from, and the records take memory.
	readAheadLife = 5 * time.Second
	// catchUpReadings follow the first reading of a shard: the first brings what
	// came in a second or so, the second what came during that.
	catchUpReadings = 2
	// readOnLimit bounds the readings of what came since, each of a megabyte.
	readOnLimit = 100
)

// handover is a shard on its way to another daemon.
type handover struct {
	to string
	// prepared: the successor has read the shard ahead.
	prepared bool
}

// readAhead is a shard's records as a successor read them before its claim.
type readAhead struct {
	newest map[string]store.Record
	// next is the offset to go on from.
	next int64
	at   time.Time
}

// apply takes records that follow those before, and where to go on from.
func (a *readAhead) apply(records []store.Record, next int64) {
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(a.newest, record.Key)
			continue
		}
		a.newest[record.Key] = record
	}
	a.next = next
}

// handOver passes the shard on, to a successor that is given time to read it
// ahead.
func (h *holder) handOver(ctx context.Context, successor string) {
	if h.handover != nil {
		return
	}
	if successor == "" || successor == h.daemon {
		h.relinquish(ctx)
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
	for next := first; next != "" && len(asked) < successorTries; next = h.fleet.preferred(h.shard, asked...) {
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

// post lets run do a task.
func (h *holder) post(ctx context.Context, task func(context.Context)) {
	select {
	case h.tasks <- task:
	case <-ctx.Done():
	}
}

// notePrepared takes the successor's word. A holder that stays goes on to hold a
// shard that its successor could not read; one that is leaving gives it up.
func (h *holder) notePrepared(ctx context.Context, current *handover, result result, took time.Duration) {
	if h.handover != current || h.state == nil {
		return // the shard was lost meanwhile
	}
	h.logger.Info().Uint64("epoch", h.epoch).Str("to", current.to).Str("result", string(result)).
		Dur("took", took).Bool("leaving", h.isLeaving()).Msg("Successor answered.")
	h.metrics.handedOver(result)
	if result != resultOK && !h.isLeaving() {
		h.handover = nil
		return
	}
	current.prepared = true
	if h.pending == nil {
		h.relinquish(ctx)
	}
}

// passTo tells the successor to claim the shard that was given up. Until it has,
// callers that come here are sent elsewhere.
func (h *holder) passTo(ctx context.Context, successor string, epoch uint64) {
	h.givenTo = successor
	go func() {
		asking, cancel := context.WithTimeout(ctx, takeTime)
		defer cancel()
		response := h.askSuccessor(asking, successor, Request{Take: true, Failed: epoch})
		h.post(ctx, func(context.Context) {
			h.givenTo = ""
			h.known.note(h.shard, holderRecord{Epoch: response.Epoch, Daemon: response.Holder})
			h.logger.Info().Uint64("epoch", epoch).Str("to", successor).Str("result", string(response.Result)).
				Msg("Shard given up.")
		})
	}()
}

// prepare reads the shard ahead, for a holder that wants to pass it on.
func (h *holder) prepare(ctx context.Context, o operation) {
	if h.state != nil || h.isLeaving() {
		h.refuse(o, resultMoved)
		return
	}
	h.preparing.Store(true)
	go func() {
		ahead, err := h.readAheadOfClaim(ctx)
		h.post(ctx, func(context.Context) {
			h.preparing.Store(false)
			if err != nil {
				h.logger.Warn().Err(err).Msg("Shard not read ahead.")
				h.refuse(o, resultImpaired)
				return
			}
			h.keepReadAhead(ctx, ahead)
			o.reply(Response{Number: o.request.Number, Result: resultOK})
		})
	}()
}

// readAheadOfClaim reads the shard, and then what came meanwhile, so that little
// is left to read after the claim.
func (h *holder) readAheadOfClaim(ctx context.Context) (*readAhead, error) {
	records, next, err := h.records.newest(ctx, h.partition)
	if err != nil {
		return nil, err
	}
	ahead := &readAhead{newest: map[string]store.Record{}, at: time.Now()}
	ahead.apply(records, next)
	for range catchUpReadings {
		records, next, err := h.records.read(ctx, h.partition, ahead.next)
		if err != nil {
			return nil, err
		}
		ahead.apply(records, next)
	}
	return ahead, nil
}

// keepReadAhead keeps what was read ahead for readAheadLife.
func (h *holder) keepReadAhead(ctx context.Context, ahead *readAhead) {
	h.ahead = ahead
	time.AfterFunc(readAheadLife, func() {
		h.post(ctx, func(context.Context) {
			if h.ahead == ahead {
				h.ahead = nil
			}
		})
	})
}

// takeReadAhead returns what was read ahead, nil if nothing was, or too long ago.
func (h *holder) takeReadAhead(now time.Time) *readAhead {
	ahead := h.ahead
	h.ahead = nil
	if ahead == nil || now.Sub(ahead.at) > readAheadLife {
		return nil
	}
	return ahead
}

// readOn reads what came since the shard was read ahead, up to this daemon's
// claim, and returns the newest record of each key.
func (h *holder) readOn(ctx context.Context, ahead *readAhead) ([]store.Record, error) {
	for range readOnLimit {
		records, next, err := h.records.read(ctx, h.partition, ahead.next)
		if err != nil {
			return nil, err
		}
		ahead.apply(records, next)
		claimed := holderUnder(holderKey, records).Epoch
		switch {
		case claimed > h.epoch:
			return nil, store.ErrFenced
		case claimed == h.epoch:
			return slices.Collect(maps.Values(ahead.newest)), nil
		case len(records) == 0:
			return nil, errStale
		}
	}
	return nil, errStale
}
