package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// readAheadLife is how long what was read ahead is kept: the store keeps 20 s
	// of history to go on from, and the records take memory.
	readAheadLife = 5 * time.Second
	// catchUpReadings follow the first reading of a shard: the first brings what
	// came in a second or so, the second what came during that.
	catchUpReadings = 2
	// promiseLife is how long a daemon that has read a shard ahead takes it although
	// it began to leave meanwhile: the holder has then given it up for this daemon,
	// and any other would read it from its start. Until then its stop waits. It is
	// the time that a former holder waits for the claim.
	promiseLife = takeTime
	// readOnLimit bounds the readings of what came since, each of a megabyte.
	readOnLimit = 100
)

// readAhead is a shard's records as a successor reads them before its claim.
type readAhead struct {
	// done is closed when the reading has ended; all else is set by then.
	done   chan struct{}
	err    error
	newest map[string]store.Record
	// next is the offset to go on from.
	next int64
	// bytes were read so far.
	bytes int
	at    time.Time
	// waiting operations hear when the reading has ended. They belong to run.
	waiting []operation
}

// apply takes records that follow those before, and where to go on from.
func (a *readAhead) apply(records []store.Record, next int64) {
	store.ApplyNewest(a.newest, records)
	a.bytes += store.SizeOf(records)
	a.next = next
}

// isFresh tells whether what was read ahead can be gone on from.
func (a *readAhead) isFresh(now time.Time) bool {
	return a.err == nil && now.Sub(a.at) <= readAheadLife
}

// prepare reads the shard ahead, for a holder that wants to pass it on.
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
		h.post(ctx, func(context.Context) { h.noteReadAhead(ctx, ahead) })
	}()
}

// noteReadAhead tells those that wait for a reading ahead that it has ended, and
// keeps what it brought for a while.
func (h *holder) noteReadAhead(ctx context.Context, ahead *readAhead) {
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
	time.AfterFunc(readAheadLife, func() {
		h.post(ctx, func(context.Context) {
			if h.ahead == ahead {
				h.ahead = nil
			}
		})
	})
}

// readAheadOfClaim reads the shard, and then what came meanwhile, so that little
// is left to read after the claim. A daemon reads one shard ahead at a time: then
// the first can be passed on before the last was read.
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
	for range catchUpReadings {
		records, next, err := h.records.read(ctx, h.partition, ahead.next)
		if err != nil {
			return err
		}
		ahead.apply(records, next)
	}
	return nil
}

// takeReadAhead returns what was read ahead, nil if nothing was, or too long ago.
// A reading that is under way is waited for.
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

// readOn reads what came since the shard was read ahead, up to this daemon's
// claim, and returns the newest record of each key.
func (h *holder) readOn(ctx context.Context, ahead *readAhead) ([]store.Record, error) {
	for range readOnLimit {
		records, next, err := h.records.read(ctx, h.partition, ahead.next)
		if err != nil {
			return nil, err
		}
		h.status.noteProgress()
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
