package fanout_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
)

// spoiler returns what arrives of a message between two daemons, nil for nothing.
type spoiler func(from, to int, message peer.Message) peer.Message

// onData changes the pieces of bundles.
func onData(change func(*fanout.Response)) spoiler {
	return func(_, _ int, message peer.Message) peer.Message {
		if response, is := message.(*fanout.Response); is && len(response.Data) > 0 {
			changed := *response
			change(&changed)
			return &changed
		}
		return message
	}
}

// neighbourFaults is what neighbours may do to a bundle, by name.
var neighbourFaults = map[string]spoiler{
	"nothing arrives": func(int, int, peer.Message) peer.Message { return nil },
	"a third is cut off": func(from, to int, message peer.Message) peer.Message {
		if from%zones == 0 || to%zones == 0 {
			return nil
		}
		return message
	},
	"requests arrive, answers do not": func(_, _ int, message peer.Message) peer.Message {
		if _, is := message.(*fanout.Request); is {
			return message
		}
		return nil
	},
	"pieces are garbled":    onData(func(r *fanout.Response) { r.Data = append([]byte{'x'}, r.Data[1:]...) }),
	"pieces are cut":        onData(func(r *fanout.Response) { r.Data = r.Data[:len(r.Data)/2] }),
	"pieces never end":      onData(func(r *fanout.Response) { r.Size = 1 << 40 }),
	"pieces are of no size": onData(func(r *fanout.Response) { r.Size = -1 }),
	"each has its own hash": onData(func(r *fanout.Response) { r.Bundle += "0" }),
	"pieces but the first are lost": func(_, _ int, message peer.Message) peer.Message {
		if response, is := message.(*fanout.Response); is && response.At > 0 {
			return nil
		}
		return message
	},
}

// TestRecordArrivesWhateverNeighboursDo: the store is asked by whoever gets nothing of use.
func TestRecordArrivesWhateverNeighboursDo(t *testing.T) {
	// most: a reading waits, its neighbour is silent, and all read 1.2 MB from the store, some twice.
	const daemons, most = 40, 10 * time.Second
	for name, spoil := range neighbourFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(daemons)
				f.store.put(t, routes, largeSize)
				defer f.run(t)()
				time.Sleep(20 * time.Second)
				f.setSpoil(spoil)
				f.store.put(t, routes, largeSize-1)
				t.Logf("known to all after %s", f.awaitRoutes(2, most))
				f.expectRoutes(t, 2, largeSize-1)
			})
		})
	}
}

// TestConfirmationsRestOnTheStore: while the store answers, each daemon's routes are confirmed
// about as lately as without neighbours; when it is out, nobody's are confirmed as of later.
func TestConfirmationsRestOnTheStore(t *testing.T) {
	const oldest = 1700 * time.Millisecond // a reading's wait, and a neighbour's that hung
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(40)
		f.store.put(t, routes, largeSize)
		defer f.run(t)()
		time.Sleep(20 * time.Second)
		_, before := f.store.count()
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for i, follower := range f.followers {
				if _, _, asOf := follower.known(); time.Since(asOf) > oldest {
					t.Fatalf("daemon %d: confirmed %s ago", i, time.Since(asOf))
				}
			}
		}
		_, after := f.store.count()
		// Instances are read every 1.1 s by each, routes every 1.2 s by two of each zone.
		if most := 10*len(f.followers) + 10*2*zones; after-before > most {
			t.Errorf("%d calls to the store, want at most %d", after-before, most)
		}
		f.store.SetDown(true)
		time.Sleep(10 * time.Second) // readings that waited as it went out are answered
		if time.Since(f.store.answeredAt) < 8*time.Second {
			t.Error("the store is not out")
		}
		for i, follower := range f.followers {
			if _, _, asOf := follower.known(); asOf.After(f.store.answeredAt) {
				t.Errorf("daemon %d: confirmed as of %s after the store's last answer", i, asOf.Sub(f.store.answeredAt))
			}
		}
	})
}

// TestSmallRecordsAreReadFromTheStore: they cost no messages.
func TestSmallRecordsAreReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(40)
		f.store.put(t, routes, 10_000)
		defer f.run(t)()
		time.Sleep(5 * time.Second)
		f.store.put(t, routes, 10_000)
		time.Sleep(time.Second)
		if missing, _ := behind(f.followers, 2); missing > 0 || f.messages() > 0 {
			t.Errorf("%d daemons do not have it, %d messages", missing, f.messages())
		}
	})
}

// TestVersionsThatFollowEachOther: a bundle goes on to be fetched while newer versions come, and
// nobody goes to the store for that.
func TestVersionsThatFollowEachOther(t *testing.T) {
	const versions = 6
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(40)
		f.store.bytesPerSecond = 80_000_000
		f.store.put(t, routes, largeSize)
		defer f.run(t)()
		time.Sleep(20 * time.Second)
		before, _ := f.store.count()
		for version := 2; version <= versions; version++ {
			f.store.put(t, routes, largeSize-version)
			time.Sleep(70 * time.Millisecond)
		}
		took := f.awaitRoutes(versions, 10*time.Second)
		after, _ := f.store.count()
		// Two of each zone read each version, and some of them again with the next.
		if most := 2 * 2 * zones * versions * largeSize; took > time.Second || after-before > most {
			t.Errorf("known to all after %s, %.1f MB read, want 1s and %.1f", took, float64(after-before)/1e6, float64(most)/1e6)
		}
		t.Logf("known to all after %s, %.1f MB read", took, float64(after-before)/1e6)
		f.expectRoutes(t, versions, largeSize-versions)
	})
}
