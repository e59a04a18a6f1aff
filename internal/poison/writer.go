package poison

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// appendRetry is the time between two attempts while the store does not take an append.
	appendRetry = 150 * time.Millisecond
	// maxBatch is the most records of one append, and maxQueue the most that wait for one. More are
	// not written: they would need an outage and thousands of back ends that end in it.
	maxBatch = 512
	maxQueue = 8192
	// purposeSends is the purpose of the appends.
	purposeSends store.Purpose = "poison_sends"
)

// writer appends records in order, those that wait for an append together in the next one. It
// repeats an append until the store has taken it: records are whole, so that a repetition changes
// nothing. It is safe for concurrent use.
type writer struct {
	store   store.Store
	logger  zerolog.Logger
	metrics *Metrics

	mutex sync.Mutex
	queue []*write
	// size is the number of records in the queue.
	size int
	wake chan struct{}
	// idle is closed while nothing waits and nothing is in flight.
	idle chan struct{}
}

// write is what one caller appends.
type write struct {
	records []store.Record
	// taken is closed once the store has taken it. failed is closed when an attempt failed for the
	// first time; the attempts go on.
	taken, failed chan struct{}
	hasFailed     bool
}

func newWriter(s store.Store, logger zerolog.Logger, metrics *Metrics) *writer {
	w := &writer{store: s, logger: logger, metrics: metrics, wake: make(chan struct{}, 1), idle: make(chan struct{})}
	close(w.idle)
	return w
}

// append queues records. It does not block.
func (w *writer) append(records ...store.Record) *write {
	added := &write{records: records, taken: make(chan struct{}), failed: make(chan struct{})}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.size+len(records) > maxQueue {
		w.metrics.lost(len(records))
		added.fail()
		return added
	}
	if len(w.queue) == 0 && isClosed(w.idle) {
		w.idle = make(chan struct{})
	}
	w.queue = append(w.queue, added)
	w.size += len(records)
	select {
	case w.wake <- struct{}{}:
	default: // the loop is already awake
	}
	return added
}

// fail marks a write as failed once.
func (w *write) fail() {
	if !w.hasFailed {
		w.hasFailed = true
		close(w.failed)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// run appends what is queued until ctx ends.
func (w *writer) run(ctx context.Context, recovered func() <-chan struct{}) {
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			select {
			case <-w.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !w.appendBatch(ctx, batch) {
			w.awaitRetry(ctx, recovered())
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// nextBatch returns the writes at the head of the queue, which stay there. If there are none, the
// writer is idle.
func (w *writer) nextBatch() []*write {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.queue) == 0 && !isClosed(w.idle) {
		close(w.idle)
	}
	size := 0
	for number, queued := range w.queue {
		size += len(queued.records)
		if size > maxBatch && number > 0 {
			return slices.Clone(w.queue[:number])
		}
	}
	return slices.Clone(w.queue)
}

// appendBatch appends writes, and reports whether the store has taken them. If not, the next attempt has what
// was queued since, too: a reservation that is released by then never stands alone in the store.
func (w *writer) appendBatch(ctx context.Context, batch []*write) bool {
	var records []store.Record
	for _, queued := range batch {
		records = append(records, queued.records...)
	}
	err := w.appendOnce(ctx, records)
	if err == nil {
		w.remove(batch, len(records))
		return true
	}
	if ctx.Err() == nil {
		w.logger.Warn().Err(err).Int("records", len(records)).Msg("Sends of suspected contents not stored. This is tried again.")
		w.failAll()
	}
	return false
}

// awaitRetry waits for the next attempt.
func (w *writer) awaitRetry(ctx context.Context, recovered <-chan struct{}) {
	retry := time.NewTimer(appendRetry)
	defer retry.Stop()
	select {
	case <-retry.C:
	case <-recovered:
	case <-ctx.Done():
	}
}

func (w *writer) appendOnce(ctx context.Context, records []store.Record) error {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, purposeSends), appendTimeout)
	defer cancel()
	return w.store.Append(ctx, Partition(), store.Writer{}, records)
}

// remove removes writes that were taken from the head of the queue.
func (w *writer) remove(batch []*write, records int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue = w.queue[len(batch):]
	w.size -= records
	for _, taken := range batch {
		close(taken.taken)
	}
}

// failAll marks all queued writes as failed.
func (w *writer) failAll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, queued := range w.queue {
		queued.fail()
	}
}

// flush waits until everything that was queued is stored, or ctx ends.
func (w *writer) flush(ctx context.Context) {
	w.mutex.Lock()
	idle := w.idle
	w.mutex.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
