// Package fanout distributes records that all daemons follow between daemons.
//
// A store has one read rate for all daemons. If each daemon of a large fleet reads the same records
// itself, the store is busy for as long as their size times the number of daemons takes, and all
// other reads are delayed. Service wraps a store for the reads of some partitions. If reading them
// would keep the store busy, a few daemons of each zone read them from the store, and every other
// daemon requests them from one neighbour, along a tree (see parentOf). If the neighbour does not
// deliver in time, the daemon reads from the store, so no daemon depends on another.
package fanout

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// maxBusyTime is how long the reads of all daemons may keep the store busy: half of the 0.4 s
	// after which a read of the list of instances is late. Larger records are distributed between
	// daemons.
	maxBusyTime = 200 * time.Millisecond
	// unreadAllowance is the size in bytes that records may gain between two reads. In a fleet
	// whose daemons would keep the store busy with that, records are distributed whatever their
	// size is.
	unreadAllowance = 64 << 10
	// defaultReadRate is the read rate of the store in bytes per second if it is not configured:
	// low enough for a store with ordinary disks and links.
	defaultReadRate = 80e6
	// minReadLimit is the smallest limit of a read in bytes.
	minReadLimit = 8 << 10
	// fallbackSpacing times the number of daemons is the time between two reads of the store by a
	// daemon whose neighbours do not deliver: all daemons may be in the same situation.
	fallbackSpacing = 2 * time.Millisecond
	// neighbourTries is the number of neighbours that are asked for one read.
	neighbourTries = 2
	// retryPause is the time between attempts while no neighbour delivers and the store may not be
	// read yet.
	retryPause = 150 * time.Millisecond
	// rootPause is the time between two reads of the store by a daemon from which others get the
	// records. It batches changes, and leaves the read's wait and neighbourTimeout for the others.
	rootPause = 100 * time.Millisecond
)

// Options configure a Service.
type Options struct {
	// Store is read when no neighbour can be asked.
	store.Store
	// Partitions are those whose records are distributed; calls for others go to Store. Those of
	// SmallRecords have many records that are small.
	Partitions   []store.Partition
	SmallRecords []store.Partition
	Self         structs.Daemon
	View         membership.View
	Transport    peer.Transport
	// ExpectedDaemons returns the number of daemons on record, 0 if unknown. It may be nil, as may
	// Discovered, which returns a channel that is closed once this daemon had time to discover the
	// others.
	ExpectedDaemons func() int
	Discovered      func() <-chan struct{}
	// ReadRate is the number of bytes per second that the store serves to all daemons together; 0
	// if unknown.
	ReadRate float64
	// OnTold is called with what other daemons tell by Tell; it may be nil.
	OnTold  func(partition store.Partition, records []store.Record, keep bool)
	Logger  zerolog.Logger
	Metrics *Metrics
}

// followed is a partition whose records are distributed.
type followed struct {
	partition store.Partition
	// hasSmallRecords: an answer of the store can be limited to a part of the records.
	hasSmallRecords bool

	replica    *replica
	neighbours neighbours
	// fallback limits this daemon's reads in place of a neighbour, and listFallback its listings.
	fallback, listFallback fallback
}

// Service is a store.Store that reads some partitions by way of a neighbour if that relieves the
// store. It is safe for concurrent use.
type Service struct {
	Options
	// followed does not change.
	followed map[store.Partition]*followed
	replies  peer.Replies[*Response]
}

// New returns a Service.
func New(options Options) *Service {
	if options.ReadRate <= 0 {
		options.ReadRate = defaultReadRate
	}
	s := &Service{Options: options, followed: map[store.Partition]*followed{}}
	for _, partition := range options.Partitions {
		s.followed[partition] = &followed{
			partition: partition, hasSmallRecords: slices.Contains(options.SmallRecords, partition), replica: newReplica(),
		}
	}
	return s
}

// Read implements store.Store. A read that does not wait goes to the store, because its caller needs
// the store's own current state.
func (s *Service) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	f := s.followed[partition]
	if f == nil {
		return s.Store.Read(ctx, partition, from, wait)
	}
	if store.WantsFreshConnection(ctx) {
		return s.readInParallel(ctx, f, from)
	}
	if wait <= 0 {
		return s.readStore(ctx, f, from, 0)
	}
	began := time.Now()
	for try := range neighbourTries {
		neighbour, found := s.neighbour(f, time.Now())
		if !found && try == 0 {
			return s.readStore(s.rootContext(ctx, f), f, from, wait)
		}
		left := wait - time.Since(began)
		if !found || left <= 0 {
			break
		}
		if got, delivered := s.readFromNeighbour(ctx, f, neighbour, from, left); delivered {
			store.ProgressOf(ctx).SetAsOf(got.asOf)
			store.ProgressOf(ctx).SetPause(0) // the neighbour has batched the changes
			return got.records, got.next, nil
		}
	}
	return s.fallBack(ctx, f, from, max(0, wait-time.Since(began)))
}

// readInParallel makes the parallel copy of a read that is late: from the store, unless too many
// daemons might do the same.
func (s *Service) readInParallel(ctx context.Context, f *followed, from int64) ([]store.Record, int64, error) {
	if s.isDistributed(f) && !f.fallback.await(ctx, s.fallbackInterval()) {
		s.Metrics.countRead(outcomeDelayed)
		<-ctx.Done() // the read itself goes on
		return nil, from, store.ErrOutcomeUnknown
	}
	return s.readStore(ctx, f, from, 0)
}

// fallBack reads from the store in place of a neighbour. If too many daemons might do the same, it
// tells what is known instead: nothing newer, as of the last confirmation.
func (s *Service) fallBack(ctx context.Context, f *followed, from int64, wait time.Duration) ([]store.Record, int64, error) {
	asOf := f.replica.confirmedAt()
	if asOf.IsZero() || f.fallback.await(ctx, s.fallbackInterval()) {
		return s.readStore(ctx, f, from, wait)
	}
	s.Metrics.countRead(outcomeDelayed)
	store.ProgressOf(ctx).SetAsOf(asOf)
	store.ProgressOf(ctx).SetPause(retryPause)
	return nil, from, nil
}

// fallbackInterval returns the time between two reads of the store by a daemon that has a neighbour.
func (s *Service) fallbackInterval() time.Duration {
	return time.Duration(s.daemonCount()) * fallbackSpacing
}

// readStore reads from the store, and answers the daemons that wait for this one.
func (s *Service) readStore(ctx context.Context, f *followed, from int64, wait time.Duration) ([]store.Record, int64, error) {
	began := time.Now()
	records, next, err := s.Store.Read(s.withReadLimit(ctx, f), f.partition, from, wait)
	if err != nil {
		return records, next, err
	}
	asOf := store.AsOf(began, wait, time.Now(), len(records) > 0)
	store.ProgressOf(ctx).SetAsOf(asOf)
	if s.isDistributed(f) {
		store.ProgressOf(ctx).SetPause(rootPause)
	}
	s.answerAll(f.replica.apply(readResult{records: records, from: from, next: next, asOf: asOf}, nil), f)
	return records, next, nil
}

// rootContext returns a context for the reads of a daemon that has no neighbour to ask. It reads
// without a limit if it reads for others.
func (s *Service) rootContext(ctx context.Context, f *followed) context.Context {
	if !s.isDistributed(f) {
		return ctx
	}
	return store.WithReadLimit(ctx, math.MaxInt)
}

// withReadLimit limits a read of the store so that the same read by all daemons keeps it busy for
// maxBusyTime at most: a daemon that has started may not know yet that others read for it.
func (s *Service) withReadLimit(ctx context.Context, f *followed) context.Context {
	if !f.hasSmallRecords || store.ReadLimit(ctx) > 0 {
		return ctx
	}
	limit := s.ReadRate * maxBusyTime.Seconds() / float64(max(s.daemonCount(), 1))
	return store.WithReadLimit(ctx, max(int(limit), minReadLimit))
}

// daemonCount returns the number of daemons, as far as it is known.
func (s *Service) daemonCount() int {
	count := len(s.View.Members())
	if s.ExpectedDaemons != nil {
		count = max(count, s.ExpectedDaemons())
	}
	return count
}

// isDistributed reports whether the records of a partition are distributed between daemons.
func (s *Service) isDistributed(f *followed) bool {
	size := f.replica.totalSize() + unreadAllowance
	return float64(size*s.daemonCount()) > s.ReadRate*maxBusyTime.Seconds()
}

// neighbour returns the daemon to request records from; false if they are to be read from the store.
func (s *Service) neighbour(f *followed, now time.Time) (structs.DaemonID, bool) {
	if !s.isDistributed(f) {
		f.neighbours.logChange("", f.partition, &s.Logger)
		return "", false
	}
	parent, found := parentOf(s.Self, f.neighbours.usable(s.View.Members(), s.Self.ID, now), f.partition)
	f.neighbours.logChange(parent, f.partition, &s.Logger)
	return parent, found
}

var _ store.Store = (*Service)(nil)
