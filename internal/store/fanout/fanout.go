// Package fanout hands large records on from daemon to daemon.
//
// A store reads for all daemons together at one rate, so a record that each of them reads keeps
// it busy for as long as its size times their number takes, and small records wait behind it.
// Service stands before the store for the readings of one partition. While its records are large
// for the fleet, a few daemons of each zone read them from the store, and each other daemon asks
// one neighbour, along a tree (see tree). A neighbour that brings nothing in time is passed over
// and the store asked, so that no daemon depends on another.
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
	// busyTime is for how long the reading of all daemons may keep the store busy: half of the
	// 0.4 s after which a reading of the list of instances is late. Records that take longer
	// are handed on. With 295 daemons and 80 MB/s that is from 54 KB on.
	busyTime = 200 * time.Millisecond
	// assumedReadRate is what a store reads that does not tell, in bytes a second: little enough
	// that a store of usual disks and links is not kept busy.
	assumedReadRate = 80e6
)

// Options give a Service what it works with.
type Options struct {
	// Store is read where no neighbour is asked.
	store.Store
	// Partition is the one whose records are handed on; calls about others pass through.
	Partition store.Partition
	Self      structs.Daemon
	View      membership.View
	Transport peer.Transport
	// ReadRate is how many bytes a second the store reads for all daemons; 0 if not known.
	ReadRate float64
	Logger   zerolog.Logger
	Metrics  *Metrics
}

// Service is a store.Store whose readings of one partition go by way of a neighbour while its
// records are large. It is safe for concurrent use.
type Service struct {
	Options
	replica replica
	sources sources
	replies peer.Replies[*Response]
}

// New returns a service.
func New(options Options) *Service {
	if options.ReadRate <= 0 {
		options.ReadRate = assumedReadRate
	}
	s := &Service{Options: options}
	s.replica.sizes = map[string]int{}
	return s
}

// NewestPage implements store.Store. The store is asked; sizes are noted.
func (s *Service) NewestPage(ctx context.Context, partition store.Partition, after string) (store.Page, error) {
	page, err := s.Store.NewestPage(ctx, partition, after)
	if err == nil && partition == s.Partition {
		s.replica.noteSizes(page.Records)
	}
	return page, err
}

// Read implements store.Store. A reading that does not wait, or that is made beside one that is
// late, goes to the store: somebody wants to know what the store itself says.
func (s *Service) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if partition != s.Partition {
		return s.Store.Read(ctx, partition, from, wait)
	}
	began := time.Now()
	if wait > 0 && !store.WantsFreshConnection(ctx) {
		if neighbour, found := s.neighbour(began); found {
			if got, brought := s.follow(ctx, neighbour, from, wait); brought {
				store.ProgressOf(ctx).NoteAsOf(got.asOf)
				return got.records, got.next, nil
			}
			wait = max(0, wait-time.Since(began))
		}
	}
	return s.readStore(ctx, from, wait)
}

// readStore reads from the store, and answers those that wait for this daemon.
func (s *Service) readStore(ctx context.Context, from int64, wait time.Duration) ([]store.Record, int64, error) {
	began := time.Now()
	records, next, err := s.Store.Read(ctx, s.Partition, from, wait)
	if err == nil {
		asOf := store.AsOf(began, wait, time.Now(), len(records) > 0)
		store.ProgressOf(ctx).NoteAsOf(asOf)
		s.take(reading{records: records, from: from, next: next, asOf: asOf}, nil)
	}
	return records, next, err
}

// neighbour returns whom to ask for newer records; false if they are read from the store.
func (s *Service) neighbour(now time.Time) (structs.DaemonID, bool) {
	size := s.replica.size()
	if size == 0 {
		return "", false
	}
	members := s.View.Members()
	if float64(size*len(members)) <= s.ReadRate*busyTime.Seconds() {
		s.sources.note("", &s.Logger)
		return "", false
	}
	parent, found := parentOf(s.Self, s.sources.usable(members, s.Self.ID, now), s.Partition)
	s.sources.note(parent, &s.Logger)
	return parent, found
}

var _ store.Store = (*Service)(nil)
