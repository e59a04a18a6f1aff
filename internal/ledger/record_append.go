package ledger

import (
	"context"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// appendTimeout bounds an append that blocks a shard's holder.
	appendTimeout = 700 * time.Millisecond
	// minTryWait and maxTryWait bound how long a try may go unanswered until another is
	// made in parallel. The maximum is how late a waiting append may notice that the store
	// is back.
	minTryWait = 30 * time.Millisecond
	maxTryWait = 400 * time.Millisecond
	// waitFactor times the average latency of an append is how long the first try may go
	// unanswered.
	waitFactor = 4
	// tryTimeout bounds a single try. It exceeds the wait for the next try, as a slow store
	// may answer later than that.
	tryTimeout = 2 * time.Second
	// maxConcurrentTries bounds the concurrent tries of one append. The store recognizes a
	// repeated append while at most five have followed it.
	maxConcurrentTries = 4
	// averageWeight is the weight of the newest sample in the average latency.
	averageWeight = 0.2
)

// append appends records until the store gives a final answer or ctx ends. A try that is
// not answered in time is not canceled: another is made in parallel on another connection,
// and the first answer counts. This way an append neither waits for a lost answer nor
// starts over when the store is slow.
func (r *recordStore) append(ctx context.Context, partition store.Partition, writer store.Writer, records []store.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxConcurrentTries)
	inFlight := 0
	try := func() {
		if inFlight < maxConcurrentTries {
			inFlight++
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
			inFlight--
			if err == nil || isFinal(err) {
				return err
			}
			last = err
		case <-r.connectivity.Recovered():
			try()
		case <-next.C:
			try()
			wait = min(2*wait, maxTryWait)
			next.Reset(wait)
		case <-ctx.Done():
			return last
		}
	}
}

// appendWithin is append with a time limit.
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

// firstWait returns how long the first try at an append may go unanswered until another is
// made.
func (r *recordStore) firstWait() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return min(max(waitFactor*r.latency, minTryWait), maxTryWait)
}

// note adds a sample to the average latency.
func (r *recordStore) note(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += time.Duration(averageWeight * float64(took-r.latency))
}
