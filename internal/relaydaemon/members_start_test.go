package relaydaemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

const (
	// appendTime is how long one append takes, and longestQueue the time of queued appends from
	// which on the store refuses more.
	appendTime   = 2 * time.Millisecond
	longestQueue = 2 * time.Second
)

// queuedStore makes the appends to each partition one after the other, also those whose caller has
// left.
type queuedStore struct {
	*memory.Store
	mutex   sync.Mutex
	freeAt  map[store.Partition]time.Time
	appends int
}

// enqueue returns when the append will be done; false if the queue is full.
func (s *queuedStore) enqueue(p store.Partition, now time.Time) (doneAt time.Time, accepted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	freeAt := s.freeAt[p]
	if freeAt.Before(now) {
		freeAt = now
	}
	if freeAt.Sub(now) > longestQueue {
		return time.Time{}, false
	}
	s.freeAt[p] = freeAt.Add(appendTime)
	s.appends++
	return s.freeAt[p], true
}

func (s *queuedStore) Append(ctx context.Context, p store.Partition, by store.Writer, records []store.Record) error {
	doneAt, accepted := s.enqueue(p, time.Now())
	if !accepted {
		return store.ErrUnavailable
	}
	done := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(doneAt))
		done <- s.Store.Append(context.Background(), p, by, records)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	}
}

// meteredStore counts the bytes of the pages that are read.
type meteredStore struct {
	*memory.Store
	read int
}

func (s *meteredStore) NewestPage(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	page, err := s.Store.NewestPage(ctx, p, after)
	s.read += store.SizeOf(page.Records)
	return page, err
}

// TestRestartOfALargeFleetReadsLittleOfTheRegistry checks that daemons which all start again read a
// small part of the registry each, know about how many they are, and get higher incarnations.
func TestRestartOfALargeFleetReadsLittleOfTheRegistry(t *testing.T) {
	const daemons, partitions = 1000, 24
	s := &meteredStore{Store: memory.New()}
	start := func(i int) *memberRegistry {
		registry := newTestRegistry(s.Store, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		registry.store = s
		registry.settings.LedgerPartitions = partitions
		registry.incarnation()
		return registry
	}
	var former []uint64
	for i := range daemons {
		registry := start(i)
		registry.ownRecord.Incarnation += uint64(time.Hour) // its clock was ahead
		registry.write(t.Context())
		former = append(former, registry.ownRecord.Incarnation)
	}
	s.read = 0
	for i := range daemons {
		registry := start(i)
		if registry.ownRecord.Incarnation <= former[i] {
			t.Errorf("daemon %d: the incarnation after %d is %d", i, former[i], registry.ownRecord.Incarnation)
		}
		if count := registry.count(); count < daemons/2 || count > daemons*2 {
			t.Errorf("daemon %d: takes the fleet for %d daemons", i, count)
		}
	}
	if each, most := s.read/daemons, 6000; each > most {
		t.Errorf("each daemon reads %d bytes, want at most %d", each, most)
	}
}

// TestLargeFleetRegistersAtOnce checks that a fleet whose daemons all start at once is registered
// with about one append of each kind for each, whatever its size.
func TestLargeFleetRegistersAtOnce(t *testing.T) {
	for _, daemons := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &queuedStore{Store: memory.New(), freeAt: map[store.Partition]time.Time{}}
				ctx, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				began := time.Now()
				var writing sync.WaitGroup
				for i := range daemons {
					registry := newTestRegistry(s.Store, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
					registry.settings.LedgerPartitions = 24
					registry.incarnation()
					registry.store = s
					writing.Go(func() { registry.write(ctx) })
				}
				writing.Wait()
				if most := 10 * time.Second; time.Since(began) > most {
					t.Errorf("registered after %s, want at most %s", time.Since(began), most)
				}
				if most := 2 * daemons * 11 / 10; s.appends > most { // an incarnation and an entry each
					t.Errorf("%d appends, want at most %d", s.appends, most)
				}
			})
		})
	}
}
