package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// giveUpPage is how long one page of a reading is tried. A reading of many
	// pages may take as long as it gets on: a page is up to a megabyte, which
	// takes the smallest machines (30 Mbit/s) 0.3 s, and longer beside others.
	giveUpPage = 8 * time.Second
	// readingWait is how long the first try to read a page waits for its answer,
	// and longestReadingWait a later one. A page whose answer is lost comes by way
	// of another daemon sooner (store/proxy); one that takes long must not be read
	// twice while askers wait for progress (answerWithin).
	readingWait        = 2 * time.Second
	longestReadingWait = 4 * time.Second
	// shortReadingWait is how long the single try at a short reading waits.
	shortReadingWait = 400 * time.Millisecond
	// refusedPause follows a try that was refused, or broken off before its time;
	// it doubles each time.
	refusedPause = 30 * time.Millisecond
)

// recordStore repeats calls to the store that were not answered. A repeated
// append keeps its number, so the store does it once.
type recordStore struct {
	store.Store
	contact store.Connectivity
	// pages bounds the pages that are read at a time, and histories those of them that
	// nobody waits for.
	pages     slots
	histories slots
	mutex     sync.Mutex
	// usual is the usual time of an append's answer, and reach what the outcome of calls
	// tells of the store. The mutex guards both.
	usual time.Duration
	reach storeReach
}

// newest reads the newest record of each key, and the offset to go on from. It
// calls advanced after each page.
func (r *recordStore) newest(ctx context.Context, partition store.Partition, advanced func()) ([]store.Record, int64, error) {
	return store.ListNewest(func(after string) (page store.Page, err error) {
		err = r.tryPage(ctx, func(ctx context.Context) error {
			page, err = r.NewestPage(ctx, partition, after)
			return err
		})
		if err == nil {
			advanced()
		}
		return page, err
	})
}

// read reads what follows an offset, without waiting for more.
func (r *recordStore) read(ctx context.Context, partition store.Partition, from int64) (records []store.Record, next int64, err error) {
	err = r.tryPage(ctx, func(ctx context.Context) error {
		records, next, err = r.Read(ctx, partition, from, 0)
		return err
	})
	return records, next, err
}

// tryPage tries to read a page for giveUpPage at most.
func (r *recordStore) tryPage(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, giveUpPage)
	defer cancel()
	return r.try(ctx, readingWait, call)
}

// newestOnce is newest with a single try, for short answers.
func (r *recordStore) newestOnce(ctx context.Context, partition store.Partition) (records []store.Record, err error) {
	err = r.once(ctx, max(r.firstWait(), shortReadingWait), func(ctx context.Context) error {
		records, _, err = store.Newest(ctx, r, partition)
		return err
	})
	return records, err
}

// try makes a reading until it is answered with success or for good. A try that
// was not answered is followed by one that waits longer.
func (r *recordStore) try(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	refused := refusedPause
	for {
		started := time.Now()
		err := r.once(ctx, wait, call)
		if err == nil || isFinal(err) {
			return err
		}
		if errors.Is(err, store.ErrUnavailable) || time.Since(started) < wait {
			clock.Sleep(ctx, spread(refused))
			refused *= 2
		} else {
			wait = min(2*wait, longestReadingWait)
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

// spread returns a pause between half and one and a half of a usual one, so that those
// who were refused at once do not come back at once.
func spread(usual time.Duration) time.Duration { return usual/2 + rand.N(usual) }

// isFinal tells whether another try would be answered alike.
func isFinal(err error) bool {
	return isSuperseded(err) || errors.Is(err, store.ErrMalformed) || errors.Is(err, store.ErrTrimmed)
}

// isSuperseded tells whether another writer has the shard.
func isSuperseded(err error) bool {
	return errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence)
}

// once makes a call that is waited for no longer than wait.
func (r *recordStore) once(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	started := time.Now()
	err := call(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) {
		r.noteOutcome(err, started) // else another try was answered, or nobody waits any more
	}
	return err
}

// page reads one page of newest records.
func (r *recordStore) page(ctx context.Context, partition store.Partition, after string, waiting func()) (page store.Page, err error) {
	release, err := r.pages.take(ctx, waiting)
	if err != nil {
		return store.Page{}, err
	}
	defer release()
	err = r.tryPage(ctx, func(ctx context.Context) error {
		page, err = r.NewestPage(ctx, partition, after)
		return err
	})
	return page, err
}

// historiesPage is page for texts, with a single try: those who wait for them hear at once
// that the store does not give them. Texts that are wanted go before those that are not.
func (r *recordStore) historiesPage(ctx context.Context, wait time.Duration, partition store.Partition, after string, wanted <-chan struct{}, waiting func()) (page store.Page, err error) {
	release, err := r.histories.takeUnless(ctx, wanted, waiting)
	if err != nil {
		return store.Page{}, err
	}
	defer release()
	releasePage, err := r.pages.take(ctx, waiting)
	if err != nil {
		return store.Page{}, err
	}
	defer releasePage()
	err = r.once(ctx, wait, func(ctx context.Context) error {
		page, err = r.NewestPage(ctx, partition, after)
		return err
	})
	return page, err
}
