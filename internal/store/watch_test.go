package store_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

func TestWatcherReportsChangesConnectivityAndFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		partition := store.Partition{Space: "x"}
		var changes, reads, losses, recoveries int
		var value string
		w := store.Watcher{
			Store: s, Partition: partition,
			Settings: store.WatchSettings{Wait: time.Second, AnswerTimeout: time.Second, RetryInterval: 100 * time.Millisecond},
			OnChange: func(records map[string]store.Record) {
				changes++
				value = string(records["a"].Value)
			},
			OnRead: func(time.Time) { reads++ },
			OnConnectivity: func(err error) {
				if err != nil {
					losses++
				} else {
					recoveries++
				}
			},
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		time.Sleep(10 * time.Second)
		if changes != 1 || reads < 9 {
			t.Errorf("%d changes and %d reads in 10 s without a change, want 1 and one each second", changes, reads)
		}
		if err := s.Append(ctx, partition, store.Writer{}, []store.Record{{Key: "a", Value: []byte("1")}}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if changes != 2 || value != "1" {
			t.Errorf("%d changes, value %q", changes, value)
		}
		s.SetDown(true)
		time.Sleep(3 * time.Second)
		before := reads
		time.Sleep(3 * time.Second)
		if losses != 1 || reads != before {
			t.Errorf("%d losses reported, %d reads while the store was down", losses, reads-before)
		}
		s.SetDown(false)
		time.Sleep(3 * time.Second)
		if recoveries != 1 || reads == before {
			t.Errorf("%d recoveries reported, %d reads since", recoveries, reads-before)
		}
		stop()
		<-done
	})
}

// trimmedStore reports once that the records at the offset were trimmed.
type trimmedStore struct {
	*memory.Store
	trimmed bool
}

func (s *trimmedStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	if !s.trimmed {
		s.trimmed = true
		return nil, from, store.ErrTrimmed
	}
	return s.Store.Read(ctx, p, from, wait)
}

// TestReadReportsAsOfWhenItIsCurrent checks that a read is current as of the end of its wait if
// no record arrived, or else as of when it was sent, and that a trimmed offset confirms nothing.
func TestReadReportsAsOfWhenItIsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &trimmedStore{Store: memory.New()}
		partition := store.Partition{Space: "x"}
		var reported []time.Duration
		began := time.Now()
		w := store.Watcher{
			Store: s, Partition: partition, Settings: store.WatchSettings{Wait: time.Second, AnswerTimeout: time.Second},
			OnChange: func(map[string]store.Record) {}, OnConnectivity: func(error) {},
			OnRead: func(asOf time.Time) { reported = append(reported, asOf.Sub(began)) },
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		time.Sleep(1500 * time.Millisecond) // a listing, a trimmed read, a listing, a full wait, half a wait
		if err := s.Append(ctx, partition, store.Writer{}, []store.Record{{Key: "a", Value: []byte("1")}}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		stop()
		<-done
		if want := []time.Duration{0, 0, time.Second, time.Second}; !slices.Equal(reported, want) {
			t.Errorf("reported as of %v, want %v", reported, want)
		}
	})
}
