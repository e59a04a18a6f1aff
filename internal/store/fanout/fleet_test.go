package fanout_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

var (
	routes    = store.Partition{Space: "routes"}
	instances = store.Partition{Space: "instances"}
)

// busyStore serves reads one after the other at a rate shared by all, including those that nobody
// waits for any more.
type busyStore struct {
	*memory.Store
	bytesPerSecond int
	mutex          sync.Mutex
	freeAt         time.Time
	served, calls  int
	// answeredAt is when the last read of the routes was answered.
	answeredAt time.Time
}

func (s *busyStore) NewestPage(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	page, err := s.Store.NewestPage(ctx, p, after)
	if err == nil && !s.pass(ctx, store.SizeOf(page.Records)) {
		err = store.ErrOutcomeUnknown
	}
	return page, err
}

func (s *busyStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	records, next, err := s.Store.Read(ctx, p, from, wait)
	if err == nil && !s.pass(ctx, store.SizeOf(records)) {
		return nil, from, store.ErrOutcomeUnknown
	}
	if err == nil && p == routes {
		s.mutex.Lock()
		s.answeredAt = time.Now()
		s.mutex.Unlock()
	}
	return records, next, err
}

// pass waits until the store has sent size bytes; false if the caller left first.
func (s *busyStore) pass(ctx context.Context, size int) bool {
	s.mutex.Lock()
	if now := time.Now(); s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond))
	s.served += size
	s.calls++
	sent := time.NewTimer(time.Until(s.freeAt))
	s.mutex.Unlock()
	defer sent.Stop()
	select {
	case <-sent.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *busyStore) count() (served, calls int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.served, s.calls
}

func (s *busyStore) put(t *testing.T, partition store.Partition, size int) {
	t.Helper()
	var value strings.Builder
	for i := 0; value.Len() < size; i++ {
		fmt.Fprintf(&value, `{"path":"/later/%d","service":"s%d","timeoutMs":%d},`, i, i*7919%31, 1000+i*104729%977)
	}
	record := store.Record{Key: "k", Value: []byte(value.String()[:size])}
	if err := s.Append(t.Context(), partition, store.Writer{}, []store.Record{record}); err != nil {
		t.Fatal(err)
	}
}

// follower records what one daemon has read.
type follower struct {
	mutex                   sync.Mutex
	routesEnd, instancesEnd int64
	size                    int
	// keys is the number of keys of the routes' partition.
	keys     int
	asOf     time.Time
	wentBack bool
}

// locked wraps a function so that it runs under the mutex.
func (f *follower) locked(note func(map[string]store.Record, int64)) func(map[string]store.Record, int64) {
	return func(records map[string]store.Record, end int64) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		note(records, end)
	}
}

func (f *follower) confirm(asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

func (f *follower) known() (routesEnd, instancesEnd int64, asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.routesEnd, f.instancesEnd, f.asOf
}

// follow watches the routes in one store and the instances in another.
func (f *follower) follow(ctx context.Context, routesStore, instancesStore store.Store) {
	settings := store.WatchSettings{Wait: 1200 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, RetryInterval: 150 * time.Millisecond}
	watchRoutes := store.Watcher{
		Store: routesStore, Partition: routes, Settings: settings, OnConnectivity: func(error) {},
		OnAdvance: f.locked(func(records map[string]store.Record, end int64) {
			f.wentBack = f.wentBack || end < f.routesEnd
			f.routesEnd, f.size, f.keys = end, len(records["k"].Value), len(records)
		}),
		OnRead: f.confirm,
	}
	if service, distributes := routesStore.(*fanout.Service); distributes {
		watchRoutes.List = func(ctx context.Context) (store.Listing, error) { return service.List(ctx, routes) }
	}
	settings.Wait, settings.Pause = 600*time.Millisecond, 500*time.Millisecond
	watchInstances := store.Watcher{
		Store: instancesStore, Partition: instances, Settings: settings, OnConnectivity: func(error) {},
		OnAdvance: f.locked(func(_ map[string]store.Record, end int64) { f.instancesEnd = end }),
	}
	go watchRoutes.Run(ctx)
	go watchInstances.Run(ctx)
}

// behind counts the daemons that lack a version of the routes, and of the instances.
func behind(followers []*follower, version int64) (ofRoutes, ofInstances int) {
	for _, f := range followers {
		routesEnd, instancesEnd, _ := f.known()
		if routesEnd < version {
			ofRoutes++
		}
		if instancesEnd < version {
			ofInstances++
		}
	}
	return ofRoutes, ofInstances
}

// awaitRoutes waits up to most until all daemons have a version of the routes, and returns how long
// it took.
func (f *fleet) awaitRoutes(version int64, most time.Duration) time.Duration {
	began := time.Now()
	for missing := len(f.followers); missing > 0 && time.Since(began) < most; time.Sleep(10 * time.Millisecond) {
		missing, _ = behind(f.followers, version)
	}
	return time.Since(began)
}

// expectRoutes checks that each daemon has exactly this version of the routes, and that no daemon
// ever went back to an older one.
func (f *fleet) expectRoutes(t *testing.T, version int64, size int) {
	t.Helper()
	for i, follower := range f.followers {
		if end, _, _ := follower.known(); end != version || follower.size != size || follower.wentBack {
			t.Errorf("daemon %d: end %d, %d bytes, went back: %v", i, end, follower.size, follower.wentBack)
		}
	}
}

const (
	largeSize = 1_200_000
	storeRate = 20_000_000
)

// TestInstancesDoNotWaitBehindALargeRecord checks that a large record does not delay a small one:
// if each of 60 daemons reads 1.2 MB, the store is busy for 3.6 s.
func TestInstancesDoNotWaitBehindALargeRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(60)
		f.store.put(t, routes, largeSize)
		f.store.put(t, instances, 100)
		defer f.run(t)()
		time.Sleep(20 * time.Second)
		before, _ := f.store.count()
		f.store.put(t, routes, largeSize)
		f.store.put(t, instances, 100)
		began := time.Now()
		var routesTook, instancesTook time.Duration
		for time.Since(began) < 20*time.Second && (routesTook == 0 || instancesTook == 0) {
			time.Sleep(10 * time.Millisecond)
			ofRoutes, ofInstances := behind(f.followers, 2)
			if ofRoutes == 0 && routesTook == 0 {
				routesTook = time.Since(began)
			}
			if ofInstances == 0 && instancesTook == 0 {
				instancesTook = time.Since(began)
			}
		}
		served, _ := f.store.count()
		t.Logf("routes known after %s, instances after %s, %.1f MB read", routesTook, instancesTook, float64(served-before)/1e6)
		if routesTook == 0 || routesTook > time.Second || instancesTook == 0 || instancesTook > time.Second {
			t.Errorf("routes known after %s, instances after %s, want both within 1s", routesTook, instancesTook)
		}
		if most := 12 * largeSize; served-before > most {
			t.Errorf("%.1f MB read, want at most %.1f", float64(served-before)/1e6, float64(most)/1e6)
		}
	})
}
