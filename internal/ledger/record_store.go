package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// giveUpAfter is how long one call to the store is tried.
	giveUpAfter = 900 * time.Millisecond
	// shortestWait and longestWait bound how long one try waits for an answer.
	shortestWait = 80 * time.Millisecond
	longestWait  = time.Second
	// waitFactor times the usual time of an answer is how long a first try waits.
	waitFactor = 6
	// refusedPause follows a try that was refused.
	refusedPause = 30 * time.Millisecond
	// averageWeight is the weight of the newest answer in the usual time.
	averageWeight = 0.2
)

// recordStore repeats calls to the store that were not answered. A repeated
// append keeps its number, so the store does it once.
type recordStore struct {
	store.Store
	mutex sync.Mutex
	usual time.Duration
}

// append appends records, trying for giveUpAfter at most.
func (r *recordStore) append(ctx context.Context, partition store.Partition, writer store.Writer, records []store.Record) error {
	return r.try(ctx, func(ctx context.Context) error {
		return r.Append(ctx, partition, writer, records)
	})
}

// newest reads the newest record of each key, trying for giveUpAfter at most.
func (r *recordStore) newest(ctx context.Context, partition store.Partition) (records []store.Record, err error) {
	err = r.try(ctx, func(ctx context.Context) error {
		records, _, err = r.Newest(ctx, partition)
		return err
	})
	return records, err
}

func (r *recordStore) try(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, giveUpAfter)
	defer cancel()
	wait := r.firstWait()
	for {
		started := time.Now()
		err := r.once(ctx, wait, call)
		if err == nil {
			r.note(time.Since(started))
			return nil
		}
		if errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrSequence) || errors.Is(err, store.ErrMalformed) {
			return err
		}
		if errors.Is(err, store.ErrUnavailable) {
			pause(ctx, refusedPause)
		} else {
			wait = min(2*wait, longestWait)
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

func (r *recordStore) once(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return call(ctx)
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
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
