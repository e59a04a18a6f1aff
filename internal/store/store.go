// Package store is the extension point for the durable service on which a
// daemon keeps what must outlast every machine: a partitioned log of keyed
// records, linearizable, that loses nothing it acknowledged and refuses a
// writer whose epoch was superseded.
//
// The platform's driver implements it for production and package store/memory
// for tests and stand-ins; both obey the same contract.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a store. Every error of a driver wraps one of these.
var (
	// ErrUnavailable: the call was refused and nothing was done.
	ErrUnavailable = eris.New("store: unavailable, nothing was done")
	// ErrOutcomeUnknown: no answer came; the call may have been done, or may
	// be done later.
	ErrOutcomeUnknown = eris.New("store: no answer, the outcome is unknown")
	// ErrFenced: a higher epoch was seen for this writer's name.
	ErrFenced = eris.New("store: the writer's epoch was superseded")
	// ErrSequence: the sequence number does not follow the last one.
	ErrSequence = eris.New("store: the writer's sequence number does not follow")
	// ErrTrimmed: the records at this offset are no longer kept.
	ErrTrimmed = eris.New("store: the records at this offset are gone")
	// ErrMalformed: the answer could not be understood.
	ErrMalformed = eris.New("store: malformed answer")
)

// Partition names one log of keyed records.
type Partition struct {
	Space  string
	Number int
}

// Record is one keyed record. A record without a value drops its key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's place in its partition; ignored when appending.
	Offset int64
}

// Writer identifies an appender for fencing and repeats. The zero value
// appends without either.
type Writer struct {
	// Name is what epochs are compared under, within one partition.
	Name string
	// Epoch fences every lower epoch of the same name once it was seen.
	Epoch uint64
	// Sequence numbers the calls of one epoch, from 1. A call that is repeated
	// with its number is done once and answered alike.
	Sequence uint64
}

// Store is a durable log of keyed records. Implementations are safe for
// concurrent use and honour the context's deadline.
type Store interface {
	// Append adds records to the end of a partition, all or none. With no
	// records it only makes the writer's epoch known.
	Append(ctx context.Context, partition Partition, writer Writer, records []Record) error
	// Newest returns the newest record of each key, and the offset behind the
	// last record that the answer is sure to cover.
	Newest(ctx context.Context, partition Partition) (records []Record, end int64, err error)
	// Read returns records from an offset on and the offset to go on from. It
	// waits up to wait for the first one.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (records []Record, next int64, err error)
}
