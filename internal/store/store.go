// Package store defines the interface to the durable service on which daemons keep the state that
// must survive the loss of any machine: a partitioned, linearizable log of keyed records that loses
// nothing it acknowledged and rejects writers whose epoch was superseded.
//
// The platform's driver implements it for production, and package store/memory for tests and
// stand-ins. Both obey the same contract.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a store. Every error of a driver wraps one of these.
var (
	// ErrUnavailable: the call was refused and had no effect.
	ErrUnavailable = eris.New("store: unavailable, nothing was done")
	// ErrFull: the store has reached its capacity, and the call had no effect. Deleting records or
	// trimming history frees space.
	ErrFull = eris.Wrap(ErrUnavailable, "store: full")
	// ErrOutcomeUnknown: no answer arrived. The call may have taken effect, or may still take
	// effect later.
	ErrOutcomeUnknown = eris.New("store: no answer, the outcome is unknown")
	// ErrFenced: the store has seen a higher epoch for this writer's name.
	ErrFenced = eris.New("store: the writer's epoch was superseded")
	// ErrSequence: the sequence number is not the successor of the writer's last one.
	ErrSequence = eris.New("store: the writer's sequence number does not follow")
	// ErrRejected: the store never takes this call, which had no effect; it is too large, for example.
	ErrRejected = eris.New("store: rejected for good")
	// ErrTrimmed: the records at this offset were trimmed.
	ErrTrimmed = eris.New("store: the records at this offset are gone")
	// ErrMalformed: the answer could not be parsed.
	ErrMalformed = eris.New("store: malformed answer")
)

// Partition identifies one log of keyed records.
type Partition struct {
	Space  string
	Number int
}

// Record is one keyed record. A record without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's position in its partition; ignored by Append.
	Offset int64
}

// Writer identifies the writer of an append, for fencing and deduplication. The zero value appends
// without either.
type Writer struct {
	// Name identifies the writer within one partition; epochs are compared per name.
	Name string
	// Epoch fences all lower epochs of the same name once the store has seen it.
	Epoch uint64
	// Sequence numbers the appends of one epoch, starting at 1. An append that is repeated with the
	// same number takes effect once and gets the same answer.
	Sequence uint64
}

// Page is a part of the newest records of a partition's keys. The pages of a listing are read one
// after the other and do not form a snapshot.
type Page struct {
	Records []Record
	// End is the offset up to which the page is guaranteed to be complete.
	End int64
	// More: there are keys after the last one of this page.
	More bool
}

// Store is a durable log of keyed records. Implementations are safe for concurrent use and honour
// the context's deadline.
type Store interface {
	// Append adds records to the end of a partition atomically. Without records it only announces
	// the writer's epoch.
	Append(ctx context.Context, partition Partition, writer Writer, records []Record) error
	// NewestPage returns the newest record of each key greater than after, in the order of keys; ""
	// starts with the first key. The store decides how many records a page has.
	NewestPage(ctx context.Context, partition Partition, after string) (Page, error)
	// Read returns the records from an offset on, and the offset to continue from. If there are
	// none, it waits up to wait for the first one.
	Read(ctx context.Context, partition Partition, from int64, wait time.Duration) (records []Record, next int64, err error)
	// Trim drops the history of a partition before an offset. The newest record of each key stays
	// listed.
	Trim(ctx context.Context, partition Partition, before int64) error
}
