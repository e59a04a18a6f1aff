package fanout_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
)

// tamperFunc returns what arrives of a message sent between two daemons, nil if it is lost.
type tamperFunc func(from, to int, message peer.Message) peer.Message

// tamperPieces applies a change to the pieces of bundles.
func tamperPieces(change func(*fanout.Response)) tamperFunc {
	return func(_, _ int, message peer.Message) peer.Message {
		if response, is := message.(*fanout.Response); is && len(response.Data) > 0 {
			changed := *response
			change(&changed)
			return &changed
		}
		return message
	}
}

// neighbourFaults are faults of neighbours by name.
var neighbourFaults = map[string]tamperFunc{
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
	"pieces are garbled":    tamperPieces(func(r *fanout.Response) { r.Data = append([]byte{'x'}, r.Data[1:]...) }),
	"pieces are cut":        tamperPieces(func(r *fanout.Response) { r.Data = r.Data[:len(r.Data)/2] }),
	"pieces never end":      tamperPieces(func(r *fanout.Response) { r.Size = 1 << 40 }),
	"pieces are of no size": tamperPieces(func(r *fanout.Response) { r.Size = -1 }),
	"each has its own hash": tamperPieces(func(r *fanout.Response) { r.Bundle += "0" }),
	"pieces but the first are lost": func(_, _ int, message peer.Message) peer.Message {
		if response, is := message.(*fanout.Response); is && response.At > 0 {
			return nil
		}
		return message
	},
}

// TestRecordArrivesWhateverNeighboursDo checks that a daemon reads from the store if its neighbour
// sends nothing usable.
func TestRecordArrivesWhateverNeighboursDo(t *testing.T) {
	// most covers a read that waits, a neighbour that is silent, and all daemons reading 1.2 MB
	// from the store, some of them twice.
	const daemons, most = 40, 10 * time.Second
	for name, tamper := range neighbourFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(daemons)
				f.store.put(t, routes, largeSize)
				defer f.run(t)()
				time.Sleep(20 * time.Second)
				f.setTamper(tamper)
				f.store.put(t, routes, largeSize-1)
				t.Logf("known to all after %s", f.awaitRoutes(2, most))
				f.expectRoutes(t, 2, largeSize-1)
			})
		})
	}
}

// TestConfirmationsRestOnTheStore checks that each daemon's routes are confirmed about as recently
// as without neighbours while the store answers, and that no confirmation is later than the store's
// last answer during an outage.
func TestConfirmationsRestOnTheStore(t *testing.T) {
	const oldest = 1700 * time.Millisecond // the wait of a read, and of one by way of a neighbour that hung
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
		time.Sleep(10 * time.Second) // reads that were waiting when the outage began are answered
		if time.Since(f.store.answeredAt) < 8*time.Second {
			t.Error("the store still answers")
		}
		for i, follower := range f.followers {
			if _, _, asOf := follower.known(); asOf.After(f.store.answeredAt) {
				t.Errorf("daemon %d: confirmed as of %s after the store's last answer", i, asOf.Sub(f.store.answeredAt))
			}
		}
	})
}

// TestSmallRecordsAreReadFromTheStore checks that small records cause no messages between daemons.
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

// TestVersionsThatFollowEachOther checks that a fetch continues while newer versions arrive, and
// that no daemon falls back to the store because of them.
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
		// Two daemons of each zone read each version, and some read it again together with the
		// next.
		if most := 2 * 2 * zones * versions * largeSize; took > time.Second || after-before > most {
			t.Errorf("known to all after %s, %.1f MB read, want 1s and %.1f", took, float64(after-before)/1e6, float64(most)/1e6)
		}
		t.Logf("known to all after %s, %.1f MB read", took, float64(after-before)/1e6)
		f.expectRoutes(t, versions, largeSize-versions)
	})
}
