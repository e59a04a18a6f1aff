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
	// ErrFull: the store keeps as much as it may, so nothing was done. It may keep less
	// again once records are dropped or history is trimmed.
	ErrFull = eris.Wrap(ErrUnavailable, "store: full")
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

// Page is a part of the newest records of a partition's keys. Pages of one
// listing are read one after the other and are no snapshot.
type Page struct {
	Records []Record
	// End is the offset behind the last record that the page is sure to cover.
	End int64
	// More: there are keys behind the page's last one.
	More bool
}

// Store is a durable log of keyed records. Implementations are safe for
// concurrent use and honour the context's deadline.
type Store interface {
	// Append adds records to the end of a partition, all or none. With no
	// records it only makes the writer's epoch known.
	Append(ctx context.Context, partition Partition, writer Writer, records []Record) error
	// NewestPage returns the newest record of each key after a key, "" for the
	// first, in the order of keys. It returns as many as the store gives at once.
	NewestPage(ctx context.Context, partition Partition, after string) (Page, error)
	// Read returns records from an offset on and the offset to go on from. It
	// waits up to wait for the first one.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (records []Record, next int64, err error)
	// Trim drops the history of a partition before an offset. The newest record of each
	// key stays in its listing.
	Trim(ctx context.Context, partition Partition, before int64) error
}
