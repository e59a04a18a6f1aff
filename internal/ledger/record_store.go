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
	// pageTimeout bounds the tries to read one page of up to a megabyte, possibly over a
	// slow link that other reads share. A read of many pages may take as long as it makes
	// progress.
	pageTimeout = 8 * time.Second
	// pageTryWait is how long the first try to read a page waits for its answer, and
	// maxPageTryWait the limit for later ones. If an answer is lost, the page arrives
	// sooner by way of another daemon (store/proxy). A slow page must not be read twice
	// while callers wait for progress (pendingTimeout).
	pageTryWait    = 2 * time.Second
	maxPageTryWait = 4 * time.Second
	// shortReadWait is how long the single try at a short read waits.
	shortReadWait = 400 * time.Millisecond
	// retryPause follows a try that was refused or failed early; it doubles each time.
	retryPause = 30 * time.Millisecond
)

// recordStore repeats calls to the store that were not answered. A repeated append keeps
// its sequence number, so the store applies it once.
type recordStore struct {
	store.Store
	connectivity store.Connectivity
	// pages limits the pages that are read at a time, and textPages those of them that no
	// caller waits for.
	pages     semaphore
	textPages semaphore
	mutex     sync.Mutex
	// latency is the average latency of appends, and health what the outcomes of calls show
	// about the store. The mutex guards both.
	latency time.Duration
	health  storeHealth
}

// newest reads the newest record of each key and returns the offset to continue from. It
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

// tryPage tries to read a page for at most pageTimeout.
func (r *recordStore) tryPage(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return r.try(ctx, pageTryWait, call)
}

// newestOnce is newest with a single try, for short answers.
func (r *recordStore) newestOnce(ctx context.Context, partition store.Partition) (records []store.Record, err error) {
	err = r.once(ctx, max(r.firstWait(), shortReadWait), func(ctx context.Context) error {
		records, _, err = store.Newest(ctx, r, partition)
		return err
	})
	return records, err
}

// try repeats a read until it succeeds or fails for good. After a try that was not
// answered, the next one waits longer.
func (r *recordStore) try(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	refused := retryPause
	for {
		started := time.Now()
		err := r.once(ctx, wait, call)
		if err == nil || isFinal(err) {
			return err
		}
		if errors.Is(err, store.ErrUnavailable) || time.Since(started) < wait {
			clock.Sleep(ctx, jitter(refused))
			refused *= 2
		} else {
			wait = min(2*wait, maxPageTryWait)
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

// jitter returns a pause between half and one and a half of a usual one, so that callers
// that were refused together do not return together.
func jitter(usual time.Duration) time.Duration { return usual/2 + rand.N(usual) }

// isFinal reports whether another try would have the same outcome.
func isFinal(err error) bool {
	return isSuperseded(err) || errors.Is(err, store.ErrRejected) || errors.Is(err, store.ErrMalformed) || errors.Is(err, store.ErrTrimmed)
}

// isSuperseded reports whether another writer holds the shard.
func isSuperseded(err error) bool {
	return errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence)
}

// once makes a call and waits for it no longer than wait.
func (r *recordStore) once(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	started := time.Now()
	err := call(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) {
		r.noteOutcome(err, started) // otherwise another try was answered, or no caller waits any more
	}
	return err
}

// page reads one page of newest records.
func (r *recordStore) page(ctx context.Context, partition store.Partition, after string, waiting func()) (page store.Page, err error) {
	release, err := r.pages.acquire(ctx, waiting)
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

// textsPage is page for texts, with a single try: operations that wait for them are refused
// at once if the store does not deliver them. Texts that operations wait for have priority.
func (r *recordStore) textsPage(ctx context.Context, wait time.Duration, partition store.Partition, after string, wanted <-chan struct{}, waiting func()) (page store.Page, err error) {
	release, err := r.textPages.acquireUnless(ctx, wanted, waiting)
	if err != nil {
		return store.Page{}, err
	}
	defer release()
	releasePage, err := r.pages.acquire(ctx, waiting)
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
