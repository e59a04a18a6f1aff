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

// queuedStore makes the appends to its only partition one after the other, also those whose caller
// has left.
type queuedStore struct {
	*memory.Store
	mutex   sync.Mutex
	freeAt  time.Time
	appends int
}

// enqueue returns when the append will be done; false if the queue is full.
func (s *queuedStore) enqueue(now time.Time) (doneAt time.Time, accepted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	if s.freeAt.Sub(now) > longestQueue {
		return time.Time{}, false
	}
	s.freeAt = s.freeAt.Add(appendTime)
	s.appends++
	return s.freeAt, true
}

func (s *queuedStore) Append(ctx context.Context, p store.Partition, by store.Writer, records []store.Record) error {
	doneAt, accepted := s.enqueue(time.Now())
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

// TestLargeFleetRegistersAtOnce checks that a fleet whose daemons all start at once is registered
// with about one append for each, whatever its size.
func TestLargeFleetRegistersAtOnce(t *testing.T) {
	for _, daemons := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &queuedStore{Store: memory.New()}
				ctx, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				began := time.Now()
				var writing sync.WaitGroup
				for i := range daemons {
					registry := newTestRegistry(s.Store, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
					registry.incarnation()
					registry.store = s
					writing.Go(func() { registry.write(ctx) })
				}
				writing.Wait()
				if most := 10 * time.Second; time.Since(began) > most {
					t.Errorf("registered after %s, want at most %s", time.Since(began), most)
				}
				if most := daemons * 11 / 10; s.appends > most {
					t.Errorf("%d appends, want at most %d", s.appends, most)
				}
			})
		})
	}
}
