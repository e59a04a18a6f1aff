package fanout_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
)

const (
	// entryCount entries of entrySize bytes are what each daemon of a large fleet follows.
	entryCount = 3000
	entrySize  = 213
)

// putEntries writes entries, in appends of a hundred.
func putEntries(t *testing.T, s *busyStore, count int) {
	t.Helper()
	for first := 0; first < count; first += 100 {
		var records []store.Record
		for i := range 100 {
			value := fmt.Sprintf(`{"address":"10.0.%d.%d:80","sequence":%d,"service":"s"}`, first/250, i, i*7919%997)
			records = append(records, store.Record{Key: fmt.Sprintf("i-%05d", first+i), Value: fmt.Appendf(nil, "%-*s", entrySize, value)})
		}
		if err := s.Append(t.Context(), routes, store.Writer{}, records); err != nil {
			t.Fatal(err)
		}
	}
}

// knowAll counts the daemons whose records end at an offset, and have as many keys as are given.
func (f *fleet) knowAll(keys int, end int64) (count int) {
	for _, follower := range f.followers {
		follower.mutex.Lock()
		if follower.keys == keys && follower.routesEnd == end {
			count++
		}
		follower.mutex.Unlock()
	}
	return count
}

// expectAllKnow waits up to limit until all daemons know all entries, and checks how much the store
// read for that.
func (f *fleet) expectAllKnow(t *testing.T, keys int, end int64, limit time.Duration, readBefore, mostRead int) {
	t.Helper()
	began := time.Now()
	for f.knowAll(keys, end) < len(f.followers) && time.Since(began) < 30*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	took := time.Since(began)
	served, _ := f.store.count()
	t.Logf("%d of %d daemons know %d entries after %s, %.1f MB read", f.knowAll(keys, end), len(f.followers), keys, took, float64(served-readBefore)/1e6)
	if took > limit {
		t.Errorf("known to all after %s, want %s", took, limit)
	}
	if served-readBefore > mostRead {
		t.Errorf("%.1f MB read, want at most %.1f", float64(served-readBefore)/1e6, float64(mostRead)/1e6)
	}
}

// TestEntriesOfAllBackEndsAreReadByFew checks that the back ends of a large fleet can all write
// their entries at once: if each of 300 daemons reads 0.64 MB, the store is busy for 9.6 s, and all
// else that it is asked waits as long.
func TestEntriesOfAllBackEndsAreReadByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(300)
		defer f.run(t)()
		time.Sleep(5 * time.Second)
		before, _ := f.store.count()
		putEntries(t, f.store, entryCount)
		f.expectAllKnow(t, entryCount, entryCount, 3*time.Second, before, 20*entryCount*entrySize)
	})
}

// TestFleetThatStartsAtOnceIsListedByFew checks the same for daemons that all start at once while
// the entries are there.
func TestFleetThatStartsAtOnceIsListedByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(300)
		putEntries(t, f.store, entryCount)
		defer f.run(t)()
		f.expectAllKnow(t, entryCount, entryCount, 4*time.Second, 0, 20*entryCount*entrySize)
	})
}

// TestListFromANeighbourMissesNoChange checks that daemons which list while entries change end with
// the same records as the store, removals included.
func TestListFromANeighbourMissesNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(300)
		putEntries(t, f.store, entryCount)
		defer f.run(t)()
		end := int64(entryCount)
		for i := range 200 {
			record := store.Record{Key: fmt.Sprintf("i-%05d", i*13)}
			if i%2 == 0 {
				record.Value = fmt.Appendf(nil, "changed %d", i)
			}
			if err := f.store.Append(context.Background(), routes, store.Writer{}, []store.Record{record}); err != nil {
				t.Fatal(err)
			}
			end++
			time.Sleep(10 * time.Millisecond)
		}
		f.expectAllKnow(t, entryCount-100, end, 4*time.Second, 0, 25*entryCount*entrySize)
	})
}

// TestFleetWithoutNeighboursLeavesRoomInTheStore checks that daemons which all start while no daemon
// delivers leave the store time for those that read for others: if all list it at once, nobody gets a
// list.
func TestFleetWithoutNeighboursLeavesRoomInTheStore(t *testing.T) {
	const span = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(300)
		f.setTamper(func(int, int, peer.Message) peer.Message { return nil })
		putEntries(t, f.store, entryCount)
		defer f.run(t)()
		time.Sleep(span)
		served, _ := f.store.count()
		if most := int(0.8 * storeRate * span.Seconds()); served > most {
			t.Errorf("%.1f MB were asked of the store in %s, want at most %.1f", float64(served)/1e6, span, float64(most)/1e6)
		}
		if known := f.knowAll(entryCount, entryCount); known < 2*zones {
			t.Errorf("%d daemons know the entries, want those that read for others", known)
		}
	})
}
