package fanout

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// listTimeout is how long a neighbour may take to send the first piece of all records: it may
	// have to wait for its own neighbour.
	listTimeout = 3 * time.Second
	// listSpacing times the number of daemons is the time between two listings of the store by a
	// daemon whose neighbours do not deliver. It is longer than fallbackSpacing, as a list is large:
	// all daemons together may be without one, and those that read for others need the store.
	listSpacing = 50 * time.Millisecond
	// maxViewTime is how long a daemon that has started waits until it knows minViewShare of the
	// daemons, before it takes itself for one that reads for others.
	maxViewTime  = time.Second
	minViewShare = 0.5
	// pageTries is the number of tries at one page of a listing, as a busy store refuses some. The
	// pause between them doubles from pagePause on.
	pageTries = 5
	pagePause = 50 * time.Millisecond
	// pageTimeout is the timeout of one try: a page of a busy store may take as long.
	pageTimeout = 4 * time.Second
)

// List returns the newest records of all keys of a partition, from a neighbour or from the store.
func (s *Service) List(ctx context.Context, partition store.Partition) (store.Listing, error) {
	f := s.followed[partition]
	if f == nil {
		return s.listStore(ctx, partition)
	}
	s.awaitDiscovery(ctx, f)
	for began := time.Now(); ctx.Err() == nil; {
		neighbour, found := s.neighbour(f, time.Now())
		if !found && s.knowsFew(f) && time.Since(began) < maxViewTime {
			clock.Sleep(ctx, retryPause)
			continue
		}
		if !found {
			break
		}
		if listing, delivered := s.listFromNeighbour(ctx, f, neighbour); delivered {
			return listing, nil
		}
		if f.listFallback.await(ctx, time.Duration(s.daemonCount())*listSpacing) {
			break
		}
		clock.Sleep(ctx, retryPause)
	}
	listing, err := s.listStore(ctx, partition)
	if err == nil {
		s.answerAll(f.replica.setListing(listing, nil), f)
	}
	return listing, err
}

// knowsFew reports whether this daemon knows a small part of a fleet that distributes the records.
func (s *Service) knowsFew(f *followed) bool {
	return s.isDistributed(f) && float64(len(s.View.Members())) < minViewShare*float64(s.daemonCount())
}

// awaitDiscovery waits until this daemon had time to discover the others, if they distribute the
// records. One that has started knows no neighbours yet.
func (s *Service) awaitDiscovery(ctx context.Context, f *followed) {
	if s.Discovered == nil || !s.isDistributed(f) {
		return
	}
	select {
	case <-s.Discovered():
	case <-ctx.Done():
	}
}

// listFromNeighbour requests all records from a neighbour; false if it did not deliver them.
func (s *Service) listFromNeighbour(ctx context.Context, f *followed, neighbour structs.DaemonID) (store.Listing, bool) {
	sent := time.Now()
	request := Request{Partition: f.partition, From: fromAll, WaitMS: listTimeout.Milliseconds()}
	response := s.ask(ctx, neighbour, request, listTimeout+neighbourTimeout)
	if response == nil {
		s.recordFailure(ctx, f, neighbour, outcomeSilent)
		return store.Listing{}, false
	}
	if response.Result != resultPiece {
		s.recordFailure(ctx, f, neighbour, outcomeUnable)
		return store.Listing{}, false
	}
	got, packed, delivered := s.fetch(ctx, f, neighbour, request, response, sent)
	if !delivered {
		return store.Listing{}, false
	}
	listing := store.Listing{Records: got.records, End: got.next, AsOf: got.asOf}
	s.answerAll(f.replica.setListing(listing, packed), f)
	return listing, true
}

// listStore lists a partition from the store.
func (s *Service) listStore(ctx context.Context, partition store.Partition) (store.Listing, error) {
	began := time.Now()
	ctx = store.WithPurpose(ctx, store.Purpose("list_"+partition.Space))
	records, end, err := store.ListNewest(func(after string) (store.Page, error) { return s.tryPage(ctx, partition, after) })
	return store.Listing{Records: records, End: end, AsOf: began}, err
}

// tryPage reads one page from the store, a few times if the store does not answer.
func (s *Service) tryPage(ctx context.Context, partition store.Partition, after string) (page store.Page, err error) {
	pause := pagePause
	for range pageTries {
		trying, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err = s.Store.NewestPage(trying, partition, after)
		cancel()
		if !isTemporary(err) || ctx.Err() != nil {
			return page, err
		}
		ctx = store.WithFreshConnection(ctx) // the former may have gone silent
		clock.Sleep(ctx, pause/2+rand.N(pause))
		pause *= 2
	}
	return page, err
}

// isTemporary reports whether another try at a call may succeed.
func isTemporary(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown)
}
