package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// readAheadTTL is how long the result of reading ahead is kept. It must stay below the
	// time for which the store keeps the history to continue from, and the records use
	// memory.
	readAheadTTL = 5 * time.Second
	// catchUpReads follow the first read of a shard: the first of them reads what was
	// appended during about a second, the second what was appended during that.
	catchUpReads = 2
	// promiseTTL is how long a daemon that has read a shard ahead will take it although it
	// began to leave in the meantime. The holder has released the shard to it, and any
	// other daemon would have to read it from the start. A stopping daemon waits until
	// then. It equals the time that a former holder waits for the claim.
	promiseTTL = takeTimeout
	// catchUpLimit bounds the reads of what was appended since, each of up to a megabyte.
	catchUpLimit = 100
)

// readAhead holds a shard's records that a successor reads before its claim.
type readAhead struct {
	// done is closed when the read has ended; the other fields are final by then.
	done   chan struct{}
	err    error
	newest map[string]store.Record
	// next is the offset to continue from.
	next int64
	// bytes is the number of bytes read so far.
	bytes int
	at    time.Time
	// waiting operations are answered when the read has ended. They belong to run.
	waiting []operation
}

// apply adds the records that follow and the offset to continue from.
func (a *readAhead) apply(records []store.Record, next int64) {
	store.ApplyNewest(a.newest, records)
	a.bytes += store.SizeOf(records)
	a.next = next
}

// isFresh reports whether a claim can continue from what was read ahead.
func (a *readAhead) isFresh(now time.Time) bool {
	return a.err == nil && now.Sub(a.at) <= readAheadTTL
}

// prepare reads the shard ahead, for a holder that wants to hand it over.
func (h *holder) prepare(ctx context.Context, o operation) {
	if h.state != nil || h.isLeaving() {
		h.refuse(o, resultMoved)
		return
	}
	if h.ahead != nil && !isClosed(h.ahead.done) {
		h.ahead.waiting = append(h.ahead.waiting, o)
		return
	}
	ahead := &readAhead{done: make(chan struct{}), newest: map[string]store.Record{}, waiting: []operation{o}}
	h.ahead = ahead
	h.status.preparing.Store(true)
	started := time.Now()
	go func() {
		ahead.err = h.readAheadOfClaim(ctx, ahead)
		ahead.at = time.Now()
		h.logger.Info().Int("records", len(ahead.newest)).Int("bytes", ahead.bytes).Dur("took", time.Since(started)).
			AnErr("error", ahead.err).Msg("Shard read ahead.")
		h.status.preparing.Store(false)
		close(ahead.done)
		h.post(ctx, func(context.Context) { h.finishReadAhead(ctx, ahead) })
	}()
}

// finishReadAhead answers the operations that wait for a read ahead, and keeps its result
// for readAheadTTL.
func (h *holder) finishReadAhead(ctx context.Context, ahead *readAhead) {
	answer := resultOK
	if ahead.err != nil {
		answer = resultImpaired
		h.logger.Warn().Err(ahead.err).Msg("Shard not read ahead.")
	}
	if ahead.err == nil && len(ahead.waiting) > 0 {
		h.status.promisedAt.set(ahead.at)
	}
	for _, o := range ahead.waiting {
		o.reply(Response{Number: o.request.Number, Result: answer})
	}
	ahead.waiting = nil
	time.AfterFunc(readAheadTTL, func() {
		h.post(ctx, func(context.Context) {
			if h.ahead == ahead {
				h.ahead = nil
			}
		})
	})
}

// readAheadOfClaim reads the shard, and then what was appended meanwhile, so that little is
// left to read after the claim. A daemon reads one shard ahead at a time, so that the first
// can be handed over before the last was read.
func (h *holder) readAheadOfClaim(ctx context.Context, ahead *readAhead) error {
	select {
	case h.readingAhead <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-h.readingAhead }()
	ctx = store.WithPurpose(ctx, store.PurposeReadAhead)
	records, next, err := h.records.newest(ctx, h.partition, h.status.noteProgress)
	if err != nil {
		return err
	}
	ahead.apply(records, next)
	for range catchUpReads {
		records, next, err := h.records.read(ctx, h.partition, ahead.next)
		if err != nil {
			return err
		}
		ahead.apply(records, next)
	}
	return nil
}

// takeReadAhead returns the result of reading ahead, nil if there is none or it is too old.
// It waits for a read that is under way.
func (h *holder) takeReadAhead(ctx context.Context) *readAhead {
	ahead := h.ahead
	if ahead == nil {
		return nil
	}
	select {
	case <-ahead.done:
	case <-ctx.Done():
		return nil
	}
	h.ahead = nil
	if !ahead.isFresh(time.Now()) {
		return nil
	}
	return ahead
}

// catchUp reads what was appended since the shard was read ahead, up to this daemon's
// claim, and returns the newest record of each key.
func (h *holder) catchUp(ctx context.Context, ahead *readAhead) ([]store.Record, error) {
	for range catchUpLimit {
		records, next, err := h.records.read(ctx, h.partition, ahead.next)
		if err != nil {
			return nil, err
		}
		h.status.noteProgress()
		ahead.apply(records, next)
		claimed := latestHolder(holderKey, records).Epoch
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
