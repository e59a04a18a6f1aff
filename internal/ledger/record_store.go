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
	// giveUpAfter is how long an append is tried that a shard's holder waits for
	// itself.
	giveUpAfter = 700 * time.Millisecond
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
	// shortestWait and longestWait bound how long a try is waited for until
	// another is made beside it. The longest is how late the store's return may
	// be noticed by an append that waits for it.
	shortestWait = 30 * time.Millisecond
	longestWait  = 400 * time.Millisecond
	// waitFactor times the usual time of an answer is how long a first try waits.
	waitFactor = 4
	// tryTimeout bounds one try at an append: a store that is slow answers later
	// than another try is made.
	tryTimeout = 2 * time.Second
	// triesAtOnce bounds the tries of one append that are under way. The store
	// answers a repeated append alike while at most five have followed it.
	triesAtOnce = 4
	// refusedPause follows a try that was refused, or broken off before its time;
	// it doubles each time.
	refusedPause = 30 * time.Millisecond
	// downAfter is how long no call must have been answered until the store
	// counts as down for this daemon, and probePause separates the calls that
	// are made all the same to see whether it is back.
	downAfter  = 300 * time.Millisecond
	probePause = 250 * time.Millisecond
	// averageWeight is the weight of the newest answer in the usual time.
	averageWeight = 0.2
)

// recordStore repeats calls to the store that were not answered. A repeated
// append keeps its number, so the store does it once.
type recordStore struct {
	store.Store
	contact store.Contact
	// pages bounds the pages that are read at a time, and histories those of them that
	// nobody waits for.
	pages     slots
	histories slots
	mutex     sync.Mutex
	usual     time.Duration
	// failingSince is when the first call failed since one was answered; zero
	// if none did.
	failingSince time.Time
	probeAt      time.Time
	// failedAt is when the latest call failed, and backAt when one was answered after
	// calls had failed for downAfter.
	failedAt time.Time
	backAt   time.Time
	// answeredAt is when a call was last answered.
	answeredAt time.Time
	// returned is closed when the store is said to answer again after it failed.
	returned <-chan struct{}
}

// isDown tells whether the store does not answer this daemon at all. Now and
// then it says no, so that the caller tries.
func (r *recordStore) isDown(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failingSince.IsZero() || now.Sub(r.failingSince) < downAfter {
		return false
	}
	if isClosed(r.returned) {
		r.returned = r.contact.Returned()
		return false
	}
	if now.Before(r.probeAt) {
		return true
	}
	r.probeAt = now.Add(probePause)
	return false
}

// isBack tells whether the store answers this daemon again since lately.
func (r *recordStore) isBack(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.backAt.IsZero() && now.Sub(r.backAt) <= sightBack
}

// noteOutcome takes note of whether a call was answered. One that was not tells nothing
// if the store has answered another since it began: it is busy, and not lost.
func (r *recordStore) noteOutcome(err error, started time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err == nil || isFinal(err):
		if r.failedAt.Sub(r.failingSince) >= downAfter && !r.failingSince.IsZero() {
			r.backAt = time.Now()
		}
		r.failingSince = time.Time{}
		r.answeredAt = time.Now()
	case errors.Is(err, store.ErrOutcomeUnknown) && r.answeredAt.After(started):
	default:
		r.failedAt = time.Now()
		if r.failingSince.IsZero() {
			r.failingSince = r.failedAt
			r.returned = r.contact.Returned()
		}
	}
}

// append appends records until the store answers for good or ctx ends. A try
// that is not answered in time is not broken off: another is made beside it, on
// another connection, and the first answer counts. So an append waits neither
// for an answer that was lost nor, where the store is slow, from the start.
func (r *recordStore) append(ctx context.Context, partition store.Partition, writer store.Writer, records []store.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, triesAtOnce)
	underway := 0
	try := func() {
		if underway < triesAtOnce {
			underway++
			go func() { results <- r.tryAppend(ctx, partition, writer, records) }()
		}
	}
	try()
	wait := r.firstWait()
	next := time.NewTimer(wait)
	defer next.Stop()
	last := store.ErrOutcomeUnknown
	for {
		select {
		case err := <-results:
			underway--
			if err == nil || isFinal(err) {
				return err
			}
			last = err
		case <-r.contact.Returned():
			try()
		case <-next.C:
			try()
			wait = min(2*wait, longestWait)
			next.Reset(wait)
		case <-ctx.Done():
			return last
		}
	}
}

// appendWithin is append with a bound on its time.
func (r *recordStore) appendWithin(ctx context.Context, limit time.Duration, partition store.Partition, writer store.Writer, records []store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.append(ctx, partition, writer, records)
}

// tryAppend makes one try at an append.
func (r *recordStore) tryAppend(ctx context.Context, partition store.Partition, writer store.Writer, records []store.Record) error {
	started := time.Now()
	err := r.once(ctx, tryTimeout, func(ctx context.Context) error {
		return r.Append(ctx, partition, writer, records)
	})
	if err == nil {
		r.note(time.Since(started))
	}
	return err
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

func (r *recordStore) firstWait() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return min(max(waitFactor*r.usual, shortestWait), longestWait)
}

// note takes the time of an answer into the usual time.
func (r *recordStore) note(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.usual == 0 {
		r.usual = took
		return
	}
	r.usual += time.Duration(averageWeight * float64(took-r.usual))
}
