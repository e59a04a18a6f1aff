// Package fanout distributes large records between daemons.
//
// A store has one read rate for all daemons. If each daemon reads a large record itself, the store
// is busy for as long as the record's size times their number takes, and small records are delayed.
// Service wraps a store for the reads of one partition. While its records are large, a few daemons
// of each zone read them from the store, and every other daemon requests them from one neighbour,
// along a tree (see parentOf). If the neighbour does not deliver in time, the daemon reads from the
// store, so no daemon depends on another.
package fanout

import (
	"context"
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
	// defaultReadRate is the read rate of the store in bytes per second if it is not configured:
	// low enough for a store with ordinary disks and links.
	defaultReadRate = 80e6
)

// Options configure a Service.
type Options struct {
	// Store is read when no neighbour can be asked.
	store.Store
	// Partition is the one whose records are distributed; calls for other partitions go to Store.
	Partition store.Partition
	Self      structs.Daemon
	View      membership.View
	Transport peer.Transport
	// ReadRate is the number of bytes per second that the store serves to all daemons together; 0
	// if unknown.
	ReadRate float64
	Logger   zerolog.Logger
	Metrics  *Metrics
}

// Service is a store.Store that reads one partition by way of a neighbour while its records are
// large. It is safe for concurrent use.
type Service struct {
	Options
	replica    replica
	neighbours neighbours
	replies    peer.Replies[*Response]
}

// New returns a Service.
func New(options Options) *Service {
	if options.ReadRate <= 0 {
		options.ReadRate = defaultReadRate
	}
	s := &Service{Options: options}
	s.replica.sizes = map[string]int{}
	return s
}

// NewestPage implements store.Store. It reads from the store and records the sizes of the values.
func (s *Service) NewestPage(ctx context.Context, partition store.Partition, after string) (store.Page, error) {
	page, err := s.Store.NewestPage(ctx, partition, after)
	if err == nil && partition == s.Partition {
		s.replica.recordSizes(page.Records)
	}
	return page, err
}

// Read implements store.Store. A read that does not wait, or that is the parallel copy of one that
// is late, goes to the store, because its caller needs the store's own current state.
func (s *Service) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if partition != s.Partition {
		return s.Store.Read(ctx, partition, from, wait)
	}
	began := time.Now()
	if wait > 0 && !store.WantsFreshConnection(ctx) {
		if neighbour, found := s.neighbour(began); found {
			if got, delivered := s.readFromNeighbour(ctx, neighbour, from, wait); delivered {
				store.ProgressOf(ctx).SetAsOf(got.asOf)
				return got.records, got.next, nil
			}
			wait = max(0, wait-time.Since(began))
		}
	}
	return s.readStore(ctx, from, wait)
}

// readStore reads from the store, and answers the daemons that wait for this one.
func (s *Service) readStore(ctx context.Context, from int64, wait time.Duration) ([]store.Record, int64, error) {
	began := time.Now()
	records, next, err := s.Store.Read(ctx, s.Partition, from, wait)
	if err == nil {
		asOf := store.AsOf(began, wait, time.Now(), len(records) > 0)
		store.ProgressOf(ctx).SetAsOf(asOf)
		s.apply(readResult{records: records, from: from, next: next, asOf: asOf}, nil)
	}
	return records, next, err
}

// neighbour returns the daemon to request newer records from; false if they are to be read from the
// store.
func (s *Service) neighbour(now time.Time) (structs.DaemonID, bool) {
	size := s.replica.size()
	if size == 0 {
		return "", false
	}
	members := s.View.Members()
	if float64(size*len(members)) <= s.ReadRate*maxBusyTime.Seconds() {
		s.neighbours.logChange("", &s.Logger)
		return "", false
	}
	parent, found := parentOf(s.Self, s.neighbours.usable(members, s.Self.ID, now), s.Partition)
	s.neighbours.logChange(parent, &s.Logger)
	return parent, found
}

var _ store.Store = (*Service)(nil)
