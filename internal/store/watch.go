package store

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// WatchSettings are the timing parameters of a Watcher.
type WatchSettings struct {
	// Wait is how long the store may wait for a change in one read.
	Wait time.Duration
	// AnswerTimeout is how long after Wait nothing of the answer may arrive until the read is sent
	// a second time in parallel; see hedgedRead.
	AnswerTimeout time.Duration
	// Pause is the time between reads, so that frequent changes are read in one batch.
	Pause time.Duration
	// RetryInterval is the time between reads while the store refuses them.
	RetryInterval time.Duration
}

// Watcher follows the newest record of each key of a partition.
type Watcher struct {
	Store     Store
	Partition Partition
	Settings  WatchSettings
	// OnChange is called with the newest records by key after the first read and after each change.
	// It must not retain the map.
	OnChange func(records map[string]Record)
	// OnAdvance, if set, is called instead of OnChange and also gets the offset after the last
	// record read: the higher it is, the newer are the records.
	OnAdvance func(records map[string]Record, end int64)
	// OnUpdate, if set, is called instead of both, with what was read. The newest records of all keys
	// are then not kept.
	OnUpdate func(update Update)
	// List, if set, lists all keys at the start and after records were trimmed. It may take long and
	// repeats its calls itself. Otherwise they are listed from Store.
	List func(ctx context.Context) (Listing, error)
	// OnRead, if set, is called after each read that the store answered, with or without a change,
	// and after OnChange. asOf is the time as of which the records are known to be the newest; see
	// AsOf.
	OnRead func(asOf time.Time)
	// OnConnectivity is called with the error when the store becomes unreachable, and with nil when
	// it answers again.
	OnConnectivity func(err error)
	// Connectivity, if set, signals when the store answers again. A read that hangs is then sent
	// again in parallel.
	Connectivity Connectivity
	// Refresh, if set, requests a read that returns the current records without waiting for a
	// change.
	Refresh <-chan struct{}
	// ChangeExpected, if set, signals that there are changes which were not read yet, so that a
	// read which waits for changes should be answered now.
	ChangeExpected <-chan struct{}
	// Metrics, if set, count the reads. Logger, if set, gets the reads that fail or are late.
	Metrics *WatchMetrics
	Logger  *zerolog.Logger
}

// Run follows the partition until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	known := map[string]Record{}
	next := int64(-1)
	state := connectivityState{onChange: w.OnConnectivity}
	isRefresh := false
	for ctx.Err() == nil {
		if next < 0 && w.List != nil {
			next = w.list(ctx, known, &state)
			continue
		}
		wait := w.Settings.Wait
		if state.unreachable || isRefresh {
			wait = 0 // only check whether the store answers, or what it holds now
		}
		answer := newHedgedRead(w, next, &state).run(ctx, wait)
		switch {
		case ctx.Err() != nil:
			return
		case answer.err != nil:
			state.setUnreachable(answer.err)
			w.waitForRetry(ctx)
			continue
		}
		state.setReachable()
		next = answer.end
		if next < 0 {
			continue // the records that follow were trimmed: list all keys again
		}
		if answer.isChange() {
			w.apply(known, answer.records, answer.listed, next)
		}
		if w.OnRead != nil {
			w.OnRead(answer.asOf())
		}
		isRefresh = w.pause(ctx, answer.call.progress.Pause(w.Settings.Pause))
	}
}

// pause waits between two reads, and reports whether a refresh ended the pause.
func (w *Watcher) pause(ctx context.Context, length time.Duration) (isRefresh bool) {
	if length <= 0 {
		return false
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-w.Refresh:
		return true
	}
	return false
}

// list lists all keys by List. It returns the offset to continue from, negative if it failed.
func (w *Watcher) list(ctx context.Context, known map[string]Record, state *connectivityState) (next int64) {
	listing, err := w.List(ctx)
	if ctx.Err() != nil {
		return -1
	}
	if err != nil {
		state.setUnreachable(err)
		w.waitForRetry(ctx)
		return -1
	}
	state.setReachable()
	w.apply(known, listing.Records, true, listing.End)
	if w.OnRead != nil {
		w.OnRead(listing.AsOf)
	}
	return listing.End
}

// apply passes what was read to OnUpdate, OnAdvance or OnChange, the first that is set.
func (w *Watcher) apply(known map[string]Record, records []Record, listed bool, end int64) {
	if w.OnUpdate != nil {
		newest, replaced := newestOfEach(records)
		w.OnUpdate(Update{Records: newest, Replaced: replaced, Complete: listed})
		return
	}
	if listed {
		clear(known)
	}
	ApplyNewest(known, records)
	if w.OnAdvance != nil {
		w.OnAdvance(known, end)
		return
	}
	w.OnChange(known)
}

// waitForRetry waits until the next read is due or the store answers again.
func (w *Watcher) waitForRetry(ctx context.Context) {
	retry := time.NewTimer(w.Settings.RetryInterval)
	defer retry.Stop()
	select {
	case <-retry.C:
	case <-w.connectivity().Recovered():
	case <-ctx.Done():
	}
}

func (w *Watcher) connectivity() Connectivity {
	if w.Connectivity == nil {
		return UnknownConnectivity{}
	}
	return w.Connectivity
}

// connectivityState tracks whether a watcher considers the store unreachable.
type connectivityState struct {
	unreachable bool
	onChange    func(err error)
}

func (c *connectivityState) setUnreachable(err error) {
	if !c.unreachable {
		c.unreachable = true
		c.onChange(err)
	}
}

func (c *connectivityState) setReachable() {
	if c.unreachable {
		c.unreachable = false
		c.onChange(nil)
	}
}
