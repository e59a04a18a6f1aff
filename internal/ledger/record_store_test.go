package ledger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// resettingStore fails every call at once, like a store that resets connections.
type resettingStore struct {
	store.Store
	calls int
}

// Append implements store.Store.
func (s *resettingStore) Append(context.Context, store.Partition, store.Writer, []store.Record) error {
	s.calls++
	time.Sleep(time.Millisecond)
	return store.ErrOutcomeUnknown
}

func TestStoreThatBreaksCallsOffIsNotCalledWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &resettingStore{}
		r := &recordStore{Store: s, connectivity: store.UnknownConnectivity{}}
		err := r.appendWithin(t.Context(), appendTimeout, store.Partition{}, store.Writer{}, nil)
		if !errors.Is(err, store.ErrOutcomeUnknown) {
			t.Errorf("got %v, want %v", err, store.ErrOutcomeUnknown)
		}
		const most = 10
		if s.calls > most {
			t.Errorf("%d calls in %v, want %d at most", s.calls, appendTimeout, most)
		}
	})
}

// slowPages is a store that returns a page late, and answers appends at once.
type slowPages struct {
	store.Store
	late  time.Duration
	pages int
}

// NewestPage implements store.Store.
func (s *slowPages) NewestPage(ctx context.Context, _ store.Partition, _ string) (store.Page, error) {
	s.pages++
	select {
	case <-time.After(s.late):
		return store.Page{}, nil
	case <-ctx.Done():
		return store.Page{}, store.ErrOutcomeUnknown
	}
}

// Append implements store.Store.
func (s *slowPages) Append(context.Context, store.Partition, store.Writer, []store.Record) error {
	return nil
}

// TestSlowPageIsProgress: a page that arrives slowly from a busy store is read once, and
// the store does not count as down meanwhile.
func TestSlowPageIsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowPages{late: 1800 * time.Millisecond}
		r := &recordStore{Store: s, connectivity: store.UnknownConnectivity{}}
		go func() {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				_ = r.appendWithin(t.Context(), appendTimeout, store.Partition{}, store.Writer{}, nil)
			}
		}()
		if _, err := r.page(t.Context(), store.Partition{}, "", func() {}); err != nil {
			t.Error(err)
		}
		if s.pages != 1 {
			t.Errorf("the page was read %d times, want once", s.pages)
		}
		if _, err := r.newestOnce(t.Context(), store.Partition{}); err == nil {
			t.Error("a short read was waited for")
		}
		time.Sleep(downAfter)
		if r.isDown(time.Now()) {
			t.Error("the store counts as down though it answers appends")
		}
	})
}
