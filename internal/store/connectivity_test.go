package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

// hangingStore lets listings hang while hangs is set. A call that hangs never returns an answer,
// even after hangs is cleared.
type hangingStore struct {
	*memory.Store
	hangs bool
}

func (s *hangingStore) NewestPage(ctx context.Context, p store.Partition, after string) (store.Page, error) {
	if s.hangs {
		<-ctx.Done()
		return store.Page{}, store.ErrOutcomeUnknown
	}
	return s.Store.NewestPage(ctx, p, after)
}

// fakeConnectivity is a Connectivity whose recovery the test triggers by closing recovered.
type fakeConnectivity struct {
	store.UnknownConnectivity
	recovered chan struct{}
}

func (s *fakeConnectivity) Recovered() <-chan struct{} { return s.recovered }

func TestWatcherReadsAtOnceWhenTheStoreAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hangingStore{Store: memory.New(), hangs: true}
		connectivity := &fakeConnectivity{recovered: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		changes, losses, recoveries := 0, 0, 0
		w := store.Watcher{
			Store: s, Partition: store.Partition{Space: "x"}, Connectivity: connectivity,
			Settings: store.WatchSettings{Wait: time.Minute, AnswerTimeout: time.Second, RetryInterval: time.Minute},
			OnChange: func(map[string]store.Record) { changes++ },
			OnConnectivity: func(err error) {
				if err != nil {
					losses++
				} else {
					recoveries++
				}
			},
		}
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		time.Sleep(10 * time.Second) // the listing hangs; a listing does not wait for a change
		if changes != 0 || losses != 1 {
			t.Errorf("%d changes and %d losses reported in 10 s without an answer, want 0 and 1", changes, losses)
		}
		s.hangs = false
		before := connectivity.recovered
		connectivity.recovered = make(chan struct{})
		close(before)
		synctest.Wait()
		if changes != 1 || losses != 1 || recoveries != 1 {
			t.Errorf("%d changes, %d losses and %d recoveries reported after the recovery, want one each", changes, losses, recoveries)
		}
		stop()
		<-done
	})
}
