package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// slowAppendStore takes a while for each append.
type slowAppendStore struct {
	*directStore
	takes time.Duration
}

func (s slowAppendStore) Append(ctx context.Context, p store.Partition, by store.Writer, records []store.Record) error {
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	}
	return s.directStore.Append(ctx, p, by, records)
}

// TestPatientAppendIsMadeOnce checks that an append that nobody waits for is not made again by a
// helper while the store works it off.
func TestPatientAppendIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.services[0].Direct = slowAppendStore{f.directStores[0], 1500 * time.Millisecond}
		ctx := store.WithPatience(timeoutContext(t, 3*time.Second))
		if err := f.services[0].Append(ctx, partition, store.Writer{}, []store.Record{record}); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second) // messages arrive
		if calls := f.directStores[1].count(); calls > 0 {
			t.Errorf("the helper made %d appends, want none", calls)
		}
	})
}

// TestPatientAppendGoesByWayOfAHelperIfTheStoreRefusesThisDaemon checks that patience does not keep
// a daemon that the store turns away from asking a helper.
func TestPatientAppendGoesByWayOfAHelperIfTheStoreRefusesThisDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.directStores[0].set(refused)
		ctx := store.WithPatience(timeoutContext(t, 3*time.Second))
		if err := f.services[0].Append(ctx, partition, store.Writer{}, []store.Record{record}); err != nil {
			t.Error(err)
		}
	})
}
