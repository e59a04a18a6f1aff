package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
)

// hangingStore does not answer until it is told to, and calls from before never.
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

// signal is a Contact that a test closes.
type signal struct {
	store.NoContact
	returned chan struct{}
}

func (s *signal) Returned() <-chan struct{} { return s.returned }

func TestWatcherReadsAtOnceWhenTheStoreAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hangingStore{Store: memory.New(), hangs: true}
		contact := &signal{returned: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		changes, losses, returns := 0, 0, 0
		w := store.Watcher{
			Store: s, Partition: store.Partition{Space: "x"}, Contact: contact,
			Settings: store.WatchSettings{Wait: time.Minute, Answer: time.Second, Retry: time.Minute},
			OnChange: func(map[string]store.Record) { changes++ },
			OnContact: func(err error) {
				if err != nil {
					losses++
				} else {
					returns++
				}
			},
		}
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		time.Sleep(10 * time.Second) // a listing hangs, which waits for no change
		if changes != 0 || losses != 1 {
			t.Errorf("%d changes and %d losses told in 10 s without an answer, want 0 and 1", changes, losses)
		}
		s.hangs = false
		before := contact.returned
		contact.returned = make(chan struct{})
		close(before)
		synctest.Wait()
		if changes != 1 || losses != 1 || returns != 1 {
			t.Errorf("%d changes, %d losses and %d returns told at the return, want one each", changes, losses, returns)
		}
		stop()
		<-done
	})
}
