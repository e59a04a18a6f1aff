package store

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
)

// WatchSettings give the pauses of a Watcher.
type WatchSettings struct {
	// Wait is how long one reading waits at the store for a change.
	Wait time.Duration
	// Answer is how much longer than that the store may take.
	Answer time.Duration
	// Pause separates readings, so that frequent changes are read together.
	Pause time.Duration
	// Retry separates tries while the store does not answer.
	Retry time.Duration
}

// Watcher follows the newest record of each key of a partition.
type Watcher struct {
	Store     Store
	Partition Partition
	Settings  WatchSettings
	// OnChange is called with the newest records by key after each change, and
	// after the first reading. The map must not be kept.
	OnChange func(records map[string]Record)
	// OnAdvance, if given, is called in place of OnChange, and told the place behind
	// the last record that was read too: the higher it is, the newer are the records.
	OnAdvance func(records map[string]Record, end int64)
	// OnRead, if given, is called after each reading that the store answered,
	// with or without a change, and after OnChange: what was heard is the newest as of
	// a time, which is when the reading was asked for, or when the store had waited for
	// a record in vain.
	OnRead func(asOf time.Time)
	// OnContact is called when the store is lost, with the cause, and with nil
	// when it answers again.
	OnContact func(err error)
	// Contact, if given, tells when the store answers again: then a reading that
	// hangs is broken off and made anew.
	Contact Contact
	// Hurry, if given, makes a reading that waits for a change be broken off, and
	// made anew at once.
	Hurry <-chan struct{}
	// Metrics, if given, count the readings, and Logger hears of those that bring nothing.
	Metrics *WatchMetrics
	Logger  *zerolog.Logger
}

// Run follows the partition until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	known := map[string]Record{}
	next := int64(-1)
	lost, hurried := false, false
	for ctx.Err() == nil {
		wait := w.Settings.Wait
		if lost || hurried {
			wait = 0 // what counts is whether, and how fresh, the store answers
		}
		asOf := time.Now()
		reading, progress := WithProgress(ctx)
		changed, from, err := w.advance(reading, known, next, wait)
		if ctx.Err() == nil {
			w.report(outcomeOfReading(changed, err), time.Since(asOf), progress.Bytes(), err)
		}
		next = from
		hurried = errors.Is(err, errReturned)
		if hurried {
			continue
		}
		if err != nil {
			if ctx.Err() == nil && !lost {
				lost = true
				w.OnContact(err)
			}
			w.pause(ctx)
			continue
		}
		if lost {
			lost = false
			w.OnContact(nil)
		}
		if next < 0 {
			continue // the records that follow are gone: nothing is known of what they told
		}
		if changed {
			w.tell(known, next)
		} else if time.Since(asOf) >= wait {
			asOf = asOf.Add(wait) // a record that came before would have been the answer
		}
		if w.OnRead != nil {
			w.OnRead(asOf)
		}
		clock.Sleep(ctx, w.Settings.Pause)
	}
}

// outcomeOfReading returns how a reading ended.
func outcomeOfReading(changed bool, err error) readingOutcome {
	switch {
	case errors.Is(err, errReturned):
		return readingBrokenOff
	case err != nil:
		return readingFailed
	case changed:
		return readingChanged
	}
	return readingUnchanged
}

// tell calls OnAdvance, or OnChange without it.
func (w *Watcher) tell(known map[string]Record, end int64) {
	if w.OnAdvance != nil {
		w.OnAdvance(known, end)
		return
	}
	w.OnChange(known)
}

// pause waits before the next try, until the store answers again at most.
func (w *Watcher) pause(ctx context.Context) {
	ctx, stop := UntilReturned(ctx, w.contact())
	defer stop()
	clock.Sleep(ctx, w.Settings.Retry)
}

func (w *Watcher) contact() Contact {
	if w.Contact == nil {
		return NoContact{}
	}
	return w.Contact
}

// advance reads what follows next, or everything if next is negative. It
// returns where to go on.
func (w *Watcher) advance(ctx context.Context, known map[string]Record, next int64, wait time.Duration) (changed bool, from int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+w.Settings.Answer)
	defer cancel()
	ctx, stop := untilSignal(ctx, w.contact().Returned(), w.Hurry)
	defer stop()
	if next < 0 {
		ctx = WithPurpose(ctx, Purpose("list_"+w.Partition.Space))
		records, end, err := Newest(ctx, w.Store, w.Partition)
		if err != nil {
			return false, -1, brokenOff(ctx, err)
		}
		clear(known)
		ApplyNewest(known, records)
		return true, end, nil
	}
	ctx = WithPurpose(ctx, Purpose("watch_"+w.Partition.Space))
	records, end, err := w.Store.Read(ctx, w.Partition, next, wait)
	if errors.Is(err, ErrTrimmed) {
		return false, -1, nil
	}
	if err != nil {
		return false, next, brokenOff(ctx, err)
	}
	ApplyNewest(known, records)
	return len(records) > 0, end, nil
}
