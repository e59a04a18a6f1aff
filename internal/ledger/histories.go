package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

// A shard's records are megabytes, almost all of them the texts of turns. The store
// lists keys in their order, which puts accounts, the allowance and the holder before
// the turns: with those a claimant serves turns that begin a chain. The texts are read
// in the background, and only turns that go on from one which is not read yet wait.

// historiesRetryPause is the pause after a page of texts that was not read.
const historiesRetryPause = 300 * time.Millisecond

// historyReading is the reading of a claimed shard's texts.
type historyReading struct {
	stop context.CancelFunc
	// waiting operations need a turn that was not read yet; wanted is closed when the
	// first of them comes.
	waiting []operation
	wanted  chan struct{}
}

// isPast tells whether all keys that are not turns' were read with a page.
func isPast(page store.Page) bool {
	return !page.More || len(page.Records) > 0 && page.Records[len(page.Records)-1].Key >= turnPrefix
}

// readUntilTurns reads the pages up to the first with a turn. after is where to go on, "" if
// that was all.
func (h *holder) readUntilTurns(ctx context.Context) (records []store.Record, after string, err error) {
	for {
		page, err := h.records.page(ctx, h.partition, after, h.status.noteProgress)
		if err != nil {
			return nil, "", err
		}
		h.status.noteProgress()
		records = append(records, page.Records...)
		if len(page.Records) == 0 || !page.More {
			return records, "", nil
		}
		after = page.Records[len(page.Records)-1].Key
		if isPast(page) {
			return records, after, nil
		}
	}
}

// startHistories begins to read what follows a key.
func (h *holder) startHistories(ctx context.Context, after string) {
	if after == "" {
		return
	}
	ctx, stop := context.WithCancel(store.WithPurpose(ctx, store.PurposeHistories))
	current := &historyReading{stop: stop, wanted: make(chan struct{})}
	h.histories = current
	h.status.reading.Store(true)
	go h.readHistories(ctx, current, after, time.Now())
}

// readHistories reads page after page until the last, as long as the shard is held.
func (h *holder) readHistories(ctx context.Context, current *historyReading, after string, started time.Time) {
	records, bytes := 0, 0
	wait := readingWait
	for ctx.Err() == nil {
		page, err := h.records.historiesPage(ctx, wait, h.partition, after, current.wanted, h.status.noteProgress)
		if err != nil {
			wait = min(2*wait, giveUpPage)
			h.post(ctx, func(context.Context) { h.noteHistoriesLate(current, err) })
			clock.Sleep(ctx, historiesRetryPause)
			continue
		}
		wait = readingWait
		h.status.noteProgress()
		records += len(page.Records)
		bytes += store.SizeOf(page.Records)
		last := !page.More || len(page.Records) == 0
		h.post(ctx, func(ctx context.Context) { h.noteHistories(ctx, current, page.Records, last) })
		if last {
			h.logger.Info().Int("records", records).Int("bytes", bytes).Dur("took", time.Since(started)).Msg("Shard's texts read.")
			return
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// noteHistories takes a page of texts, and handles the operations that waited for it.
func (h *holder) noteHistories(ctx context.Context, current *historyReading, records []store.Record, last bool) {
	if h.histories != current || h.state == nil {
		return // the shard was lost meanwhile
	}
	for _, record := range records {
		if err := h.state.loadLater(record); err != nil {
			h.metrics.malformed()
			h.logger.Warn().Err(err).Int64("offset", record.Offset).Msg("Record skipped.")
		}
	}
	if last {
		h.state.restoreChains()
		h.endHistories()
	}
	waiting := current.waiting
	current.waiting = nil
	for _, o := range waiting {
		h.handle(ctx, o)
	}
}

// noteHistoriesLate refuses those that wait for texts which the store does not give.
func (h *holder) noteHistoriesLate(current *historyReading, err error) {
	if h.histories != current {
		return
	}
	h.logger.Info().Err(err).Int("waiting", len(current.waiting)).Msg("Shard's texts not read. Tried again.")
	for _, o := range current.waiting {
		h.refuse(o, resultImpaired)
	}
	current.waiting = nil
}

// endHistories ends the reading of texts.
func (h *holder) endHistories() {
	if h.histories != nil {
		h.histories.stop()
		h.histories = nil
	}
	h.status.reading.Store(false)
}

// awaitsHistory puts an operation off that needs a turn whose text may not have been
// read yet, and tells whether it did.
func (h *holder) awaitsHistory(o operation) bool {
	if h.histories == nil {
		return false
	}
	needed, imported := o.request.needs()
	if needed == "" || imported || h.state.hasChain(needed) {
		return false
	}
	if len(h.histories.waiting) >= waitingLimit {
		h.refuse(o, resultImpaired)
		return true
	}
	h.histories.waiting = append(h.histories.waiting, o)
	if !isClosed(h.histories.wanted) {
		close(h.histories.wanted)
	}
	return true
}

// needs returns the turn that a request goes on from or looks for, and whether the
// request brings it along.
func (r *Request) needs() (turn string, imported bool) {
	switch {
	case r.Begin != nil:
		return r.Begin.Previous, r.Begin.Imported != nil
	case r.End != nil && r.End.Kept != nil:
		return r.End.Kept.Previous, r.End.Imported != nil
	case r.Find != nil:
		return r.Find.Turn, false
	}
	return "", false
}
