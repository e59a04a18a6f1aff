package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
)

// busyPartition is the partition whose queue of appends is full.
var busyPartition = store.Partition{Space: "busy"}

// busyPartitionStore refuses appends to busyPartition.
type busyPartitionStore struct{ *directStore }

func (s busyPartitionStore) Append(ctx context.Context, p store.Partition, by store.Writer, records []store.Record) error {
	if p == busyPartition {
		return store.ErrUnavailable
	}
	return s.directStore.Append(ctx, p, by, records)
}

// TestBusyPartitionIsNoOutage checks that a store which refuses the appends to one partition still
// serves everything else directly: in a large fleet many daemons append to the same partition.
func TestBusyPartitionIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		s := f.services[0]
		for _, each := range f.services {
			each.Direct = busyPartitionStore{each.Direct.(*directStore)}
		}
		for range 50 {
			if _, _, err := s.Read(timeoutContext(t, time.Second), partition, 0, 0); err != nil {
				t.Fatalf("read: %v", err)
			}
			if err := s.Append(timeoutContext(t, time.Second), busyPartition, store.Writer{}, []store.Record{record}); err == nil {
				t.Fatal("the busy partition took an append")
			}
			if s.connectivity.failingFor(time.Now()) > 0 {
				t.Fatal("the store counts as out although it serves other calls")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if calls := f.directStores[1].count(); calls > 0 {
			t.Errorf("a helper made %d calls that the store answers directly", calls)
		}
	})
}

// TestRefusedAppendsShowAnOutage checks that a store which answers nothing else counts as out soon,
// also for a daemon that only appends.
func TestRefusedAppendsShowAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		s := f.services[0]
		if err := s.Append(timeoutContext(t, time.Second), partition, store.Writer{}, []store.Record{record}); err != nil {
			t.Fatal(err)
		}
		f.directStores[0].set(refused)
		began := time.Now()
		for s.connectivity.failingFor(time.Now()) == 0 && time.Since(began) < 10*time.Second {
			_ = s.Append(timeoutContext(t, time.Second), partition, store.Writer{}, []store.Record{record})
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(began); took > refusedAppendGrace+100*time.Millisecond {
			t.Errorf("noticed after %s", took)
		}
	})
}
