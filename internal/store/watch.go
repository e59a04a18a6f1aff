package store

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
)

// WatchSettings give the pauses of a Watcher.
type WatchSettings struct {
	// Wait is how long one reading waits at the store for a change.
	Wait time.Duration
	// Answer is how long after that nothing of the answer may arrive until the reading is
	// made a second time, beside the first; see reading.
	Answer time.Duration
	// Pause separates readings, so that frequent changes are read together.
	Pause time.Duration
	// Retry separates readings while the store refuses them.
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
	// Contact, if given, tells when the store answers again: then a reading is made
	// beside one that hangs.
	Contact Contact
	// Hurry, if given, asks for a reading that does not wait for a change: somebody wants
	// to know what is the newest now.
	Hurry <-chan struct{}
	// Expected, if given, tells that there are changes which were not read yet: a reading
	// that waits for some is due.
	Expected <-chan struct{}
	// Metrics, if given, count the readings, and Logger hears of those that bring nothing.
	Metrics *WatchMetrics
	Logger  *zerolog.Logger
}

// Run follows the partition until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	known := map[string]Record{}
	next := int64(-1)
	contact := watchContact{tell: w.OnContact}
	for ctx.Err() == nil {
		wait := w.Settings.Wait
		if contact.lost {
			wait = 0 // what counts is whether the store answers
		}
		answer := newReading(w, next, &contact).run(ctx, wait)
		switch {
		case ctx.Err() != nil:
			return
		case answer.err != nil:
			contact.noteLost(answer.err)
			w.pause(ctx)
			continue
		}
		contact.noteAnswer()
		next = answer.end
		if next < 0 {
			continue // the records that follow are gone: nothing is known of what they told
		}
		if answer.listed {
			clear(known)
		}
		ApplyNewest(known, answer.records)
		if answer.isChange() {
			w.tell(known, next)
		}
		if w.OnRead != nil {
			w.OnRead(answer.asOf())
		}
		clock.Sleep(ctx, w.Settings.Pause)
	}
}

// tell calls OnAdvance, or OnChange without it.
func (w *Watcher) tell(known map[string]Record, end int64) {
	if w.OnAdvance != nil {
		w.OnAdvance(known, end)
		return
	}
	w.OnChange(known)
}

// pause waits before the next reading, until the store answers again at most.
func (w *Watcher) pause(ctx context.Context) {
	retry := time.NewTimer(w.Settings.Retry)
	defer retry.Stop()
	select {
	case <-retry.C:
	case <-w.contact().Returned():
	case <-ctx.Done():
	}
}

func (w *Watcher) contact() Contact {
	if w.Contact == nil {
		return NoContact{}
	}
	return w.Contact
}

// watchContact is whether a watcher takes the store for lost.
type watchContact struct {
	lost bool
	tell func(err error)
}

func (c *watchContact) noteLost(err error) {
	if !c.lost {
		c.lost = true
		c.tell(err)
	}
}

func (c *watchContact) noteAnswer() {
	if c.lost {
		c.lost = false
		c.tell(nil)
	}
}
