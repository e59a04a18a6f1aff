package store_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

// busyStore serves reads one after the other at a rate shared by all. It finishes a read that it
// has begun even if nobody waits for it any more.
type busyStore struct {
	*memory.Store
	bytesPerSecond int
	mutex          sync.Mutex
	freeAt         time.Time
	served         int
}

func (s *busyStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	records, next, err := s.Store.Read(ctx, p, from, wait)
	if err != nil {
		return nil, from, err
	}
	if !s.pass(ctx, store.SizeOf(records)) {
		return nil, from, store.ErrOutcomeUnknown
	}
	return records, next, nil
}

// pass waits until the store has sent size bytes; false if the caller left first.
func (s *busyStore) pass(ctx context.Context, size int) bool {
	s.mutex.Lock()
	if now := time.Now(); s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond))
	s.served += size
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

// busyFleet is a number of daemons that follow one partition of a busy store.
type busyFleet struct {
	mutex     sync.Mutex
	store     *busyStore
	versions  []int64
	outages   int
	refreshes []chan struct{}
}

func newBusyFleet(daemons, bytesPerSecond int) *busyFleet {
	f := &busyFleet{store: &busyStore{Store: memory.New(), bytesPerSecond: bytesPerSecond}, versions: make([]int64, daemons)}
	for range daemons {
		f.refreshes = append(f.refreshes, make(chan struct{}, 1))
	}
	return f
}

func (f *busyFleet) run(ctx context.Context, settings store.WatchSettings) {
	for i, refresh := range f.refreshes {
		watcher := store.Watcher{
			Store: f.store, Partition: store.Partition{Space: "routes"}, Settings: settings, Refresh: refresh,
			OnAdvance: func(_ map[string]store.Record, end int64) {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				f.versions[i] = end
			},
			OnConnectivity: func(err error) {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				if err != nil {
					f.outages++
				}
			},
		}
		go watcher.Run(ctx)
	}
}

// refreshThoseBehind requests an immediate read from each daemon that lacks a version, as notices
// from other daemons would, and returns how many lack it.
func (f *busyFleet) refreshThoseBehind(version int64) (behind int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, known := range f.versions {
		if known >= version {
			continue
		}
		behind++
		select {
		case f.refreshes[i] <- struct{}{}:
		default:
		}
	}
	return behind
}

// TestRefreshesDoNotRestartTheReadOfALargeRecord guards against a fleet that never finishes reading
// a large record because news of it cancels and restarts the reads in flight: the busy store goes
// on with canceled reads, so its queue grows.
func TestRefreshesDoNotRestartTheReadOfALargeRecord(t *testing.T) {
	const (
		daemons = 65
		size    = 800 << 10
		rate    = 80 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		f := newBusyFleet(daemons, rate)
		ctx, stop := context.WithCancel(t.Context())
		f.run(ctx, store.WatchSettings{
			Wait: 1500 * time.Millisecond, AnswerTimeout: 700 * time.Millisecond, RetryInterval: 150 * time.Millisecond,
		})
		time.Sleep(time.Second)
		large := store.Record{Key: "configuration", Value: bytes.Repeat([]byte("r"), size)}
		for range 2 { // a second version follows before all daemons have read the first
			if err := f.store.Append(ctx, store.Partition{Space: "routes"}, store.Writer{}, []store.Record{large}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
		}
		began := time.Now()
		for f.refreshThoseBehind(2) > 0 && time.Since(began) < 10*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(began)
		behind := f.refreshThoseBehind(2)
		stop()
		synctest.Wait()
		if behind > 0 || took > 2*time.Second {
			t.Errorf("%d of %d daemons have not read it after %s", behind, daemons, took)
		}
		if most := 2 * 2 * daemons * size; f.store.served > most {
			t.Errorf("the store served %d MB, of which %d MB were needed", f.store.served>>20, 2*daemons*size>>20)
		}
		if f.outages > 0 {
			t.Errorf("%d daemons considered the store unreachable although it answered all the time", f.outages)
		}
	})
}

// silentStore does not answer reads that wait for a change while it is silent, and counts reads
// that do not wait.
type silentStore struct {
	*memory.Store
	silent    bool
	immediate int
}

func (s *silentStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if wait > 0 && s.silent {
		<-ctx.Done()
		return nil, from, store.ErrOutcomeUnknown
	}
	if wait == 0 {
		s.immediate++
	}
	return s.Store.Read(ctx, p, from, wait)
}

// TestExpectedChangeIsReadWhileAReadHangs checks that news of a change does not have to
// wait until the end of a read that hangs, and that no extra read is made if the one in flight
// returns the change.
func TestExpectedChangeIsReadWhileAReadHangs(t *testing.T) {
	for name, isSilent := range map[string]bool{"the read hangs": true, "the read returns it": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &silentStore{Store: memory.New(), silent: isSilent}
				expected := make(chan struct{}, 1)
				changed := make(chan struct{}, 2)
				watcher := store.Watcher{
					Store: s, Partition: store.Partition{Space: "x"}, ChangeExpected: expected,
					Settings:       store.WatchSettings{Wait: time.Minute, AnswerTimeout: 400 * time.Millisecond},
					OnChange:       func(map[string]store.Record) { changed <- struct{}{} },
					OnConnectivity: func(error) {},
				}
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go watcher.Run(ctx)
				<-changed // the first listing
				time.Sleep(time.Second)
				if err := s.Append(ctx, watcher.Partition, store.Writer{}, []store.Record{{Key: "a", Value: []byte("1")}}); err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				for len(changed) == 0 && time.Since(began) < 10*time.Second { // other daemons announce it until it is read
					select {
					case expected <- struct{}{}:
					default:
					}
					time.Sleep(50 * time.Millisecond)
				}
				if took := time.Since(began); took > 500*time.Millisecond {
					t.Errorf("read after %s", took)
				}
				if want := map[bool]int{true: 1, false: 0}[isSilent]; s.immediate != want {
					t.Errorf("%d parallel reads, want %d", s.immediate, want)
				}
			})
		})
	}
}
