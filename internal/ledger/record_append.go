package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// giveUpAfter is how long an append is tried that a shard's holder waits for
	// itself.
	giveUpAfter = 700 * time.Millisecond
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
	// averageWeight is the weight of the newest answer in the usual time.
	averageWeight = 0.2
)

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
		case <-r.contact.Recovered():
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
	r.noteFull(err)
	if err == nil {
		r.note(time.Since(started))
	}
	return err
}

// firstWait is how long the first try at an append waits until another is made.
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
