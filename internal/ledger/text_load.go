package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

// Almost all of a shard's megabytes of records are texts of turns. The store lists records
// by key, so accounts, the allowance and the holder come before the turns. With those a
// claimant can already serve turns that begin a chain. It reads the texts in the
// background; only turns that continue from one that was not read yet have to wait.

// textRetryInterval is the pause after a failed read of a page of texts.
const textRetryInterval = 300 * time.Millisecond

// textLoader is the background read of a claimed shard's texts.
type textLoader struct {
	stop context.CancelFunc
	// waiting operations need a turn that was not read yet; wanted is closed when the first
	// of them arrives.
	waiting []operation
	wanted  chan struct{}
}

// reachesTurns reports whether a page contains the first turn or is the last one, so that
// all records that sort before turns have been read.
func reachesTurns(page store.Page) bool {
	return !page.More || len(page.Records) > 0 && page.Records[len(page.Records)-1].Key >= turnPrefix
}

// readUntilTurns reads the pages up to the first with a turn. after is the key to continue
// from, "" if everything was read.
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
		if reachesTurns(page) {
			return records, after, nil
		}
	}
}

// startTextLoad starts to read the records after a key.
func (h *holder) startTextLoad(ctx context.Context, after string) {
	if after == "" {
		return
	}
	ctx, stop := context.WithCancel(store.WithPurpose(ctx, store.PurposeHistories))
	current := &textLoader{stop: stop, wanted: make(chan struct{})}
	h.textLoad = current
	h.status.reading.Store(true)
	go h.loadTexts(ctx, current, after, time.Now())
}

// loadTexts reads pages until the last one, or until the shard is lost.
func (h *holder) loadTexts(ctx context.Context, current *textLoader, after string, started time.Time) {
	records, bytes := 0, 0
	wait := pageTryWait
	for ctx.Err() == nil {
		page, err := h.records.textsPage(ctx, wait, h.partition, after, current.wanted, h.status.noteProgress)
		if err != nil {
			wait = min(2*wait, pageTimeout)
			h.post(ctx, func(context.Context) { h.handleTextLoadError(current, err) })
			clock.Sleep(ctx, textRetryInterval)
			continue
		}
		wait = pageTryWait
		h.status.noteProgress()
		records += len(page.Records)
		bytes += store.SizeOf(page.Records)
		last := !page.More || len(page.Records) == 0
		h.post(ctx, func(ctx context.Context) { h.handleTextPage(ctx, current, page.Records, last) })
		if last {
			h.logger.Info().Int("records", records).Int("bytes", bytes).Dur("took", time.Since(started)).Msg("Texts of the shard's turns read.")
			return
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// handleTextPage loads a page of texts and handles the operations that waited for it.
func (h *holder) handleTextPage(ctx context.Context, current *textLoader, records []store.Record, last bool) {
	if h.textLoad != current || h.state == nil {
		return // the shard was lost in the meantime
	}
	for _, record := range records {
		if err := h.state.loadLate(record); err != nil {
			h.metrics.malformed()
			h.logger.Warn().Err(err).Int64("offset", record.Offset).Msg("Malformed record skipped.")
		}
	}
	if last {
		h.state.restoreChains()
		h.stopTextLoad()
	}
	waiting := current.waiting
	current.waiting = nil
	for _, o := range waiting {
		h.handle(ctx, o)
	}
}

// handleTextLoadError refuses the operations that wait for texts which the store fails to
// deliver.
func (h *holder) handleTextLoadError(current *textLoader, err error) {
	if h.textLoad != current {
		return
	}
	h.logger.Info().Err(err).Int("waiting", len(current.waiting)).Msg("Texts of the shard's turns not read. Trying again.")
	for _, o := range current.waiting {
		h.refuse(o, resultImpaired)
	}
	current.waiting = nil
}

// stopTextLoad ends the background read.
func (h *holder) stopTextLoad() {
	if h.textLoad != nil {
		h.textLoad.stop()
		h.textLoad = nil
	}
	h.status.reading.Store(false)
}

// deferUntilTextLoaded defers an operation that needs a turn whose text may not have been
// read yet, and reports whether it did or refused it.
func (h *holder) deferUntilTextLoaded(o operation) bool {
	if h.textLoad == nil {
		return false
	}
	needed, imported := o.request.needs()
	if needed == "" || imported || h.state.hasChain(needed) {
		return false
	}
	if len(h.textLoad.waiting) >= waitingLimit {
		h.refuse(o, resultImpaired)
		return true
	}
	h.textLoad.waiting = append(h.textLoad.waiting, o)
	if !isClosed(h.textLoad.wanted) {
		close(h.textLoad.wanted)
	}
	return true
}

// needs returns the turn that a request continues from or looks for, and whether the
// request contains it.
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
