package poison

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Guards against addresses of machines that are gone for good being kept for ever.
func TestRunsAtAddressesWithoutAMemberAreForgotten(t *testing.T) {
	memberOf := func(address string, incarnation uint64) membership.Member {
		return membership.Member{Daemon: structs.Daemon{ID: structs.NewDaemonID(address, incarnation)}}
	}
	runs := latestRuns{incarnations: map[string]uint64{}}
	for _, address := range []string{"a:1", "b:1"} {
		runs.note(memberOf(address, 2))
	}
	runs.keepOnly([]membership.Member{memberOf("a:1", 2)})
	if len(runs.incarnations) != 1 || !runs.isReplaced(structs.NewDaemonID("a:1", 1)) || runs.isReplaced(structs.NewDaemonID("b:1", 1)) {
		t.Errorf("known runs are %v, want that of a:1", runs.incarnations)
	}
}

// Guards against reservations that count as sent, and later as ends, because a list names them before the one
// whose turn it was.
func TestListInAnyOrderHasOneFirstReservation(t *testing.T) {
	now := time.Now()
	table := newTable(knownRuns{})
	digest := (&Content{Target: "x"}).Digest()
	var listed []store.Record
	for number := 5; number > 0; number-- {
		send := Send{State: StateReserved, Instance: fmt.Sprint("e", number), AtMS: now.UnixMilli(), HoldMS: 1000}
		record, err := send.record(newSendKey(digest, uint64(number)))
		if err != nil {
			t.Fatal(err)
		}
		record.Offset = int64(number)
		listed = append(listed, record)
	}
	table.apply(store.Update{Records: listed, Complete: true}, now)
	if known, _, _ := table.standing(digest, now.Add(time.Second+2*holdMargin)); known.ends != 1 {
		t.Errorf("%d of five reservations of lost daemons count as ends, want 1", known.ends)
	}
}

// Guards against an innocent content that is refused after one back end ended, because all daemons were
// killed together: each had a reservation, of which one at most was sent.
func TestReservationsOfDaemonsKilledTogetherCountAsOneEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		f.living()[0].endOnce("x", "e0")
		for number, d := range f.living() {
			timeLeft, instance := 4*time.Second, fmt.Sprint("e", 1+number)
			if number == 0 {
				timeLeft = 500 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(d.alive, timeLeft)
			defer cancel()
			go func() { _ = d.track("x").Admit(ctx, func() string { return instance }) }()
			time.Sleep(10 * time.Millisecond)
		}
		f.killAll()
		for number := range 6 {
			f.start(number, 2)
		}
		d := f.living()[0]
		for range 200 { // requests look at the content all the time
			time.Sleep(100 * time.Millisecond)
			if ends := d.ends("x"); ends > 2 {
				t.Fatalf("%d back ends count as ended, one ended and one may have", ends)
			}
		}
	})
}

// Guards against the same where one daemon lives: it has the first reservation, and its back end ends after the
// others have been replaced.
func TestReservationsOfReplacedDaemonsBehindALivingOneAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.living()[0].endOnce("x", "e0")
		survivor := f.living()[0]
		first := survivor.track("x")
		if err := first.Admit(survivor.alive, noPreference); err != nil {
			t.Fatal(err)
		}
		for number, d := range f.living()[1:] {
			ctx, cancel := context.WithTimeout(d.alive, 4*time.Second)
			defer cancel()
			go func() { _ = d.track("x").Admit(ctx, func() string { return fmt.Sprint("other ", number) }) }()
			time.Sleep(10 * time.Millisecond)
		}
		for _, d := range f.living()[1:] {
			f.end(d)
		}
		for number := 1; number < 4; number++ {
			f.start(number, 2)
		}
		time.Sleep(100 * time.Millisecond)
		first.Ended(survivor.alive, "e1", nil)
		first.Close()
		time.Sleep(10 * time.Second)
		for _, d := range f.living() {
			if ends := d.ends("x"); ends != 2 {
				t.Errorf("%d ends count at %s, want 2", ends, d.Self)
			}
		}
	})
}

// Guards against a reservation that counts as an end although it was released: the store had been out, and the
// daemon was killed after the reservation was taken and before its deletion was.
func TestReservationReleasedInAnOutageIsNeverStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		d := f.living()[0]
		d.endOnce("x", "e0")
		d.endOnce("x", "e1")
		f.store.SetDown(true)
		tracker := d.track("x")
		if err := tracker.Admit(d.alive, func() string { return "e2" }); !errors.Is(err, ErrUnconfirmed) {
			t.Fatalf("got %v, want %v", err, ErrUnconfirmed)
		}
		tracker.Close()
		f.store.SetDown(false)
		for range 1000 {
			time.Sleep(time.Millisecond)
			f.checkRecords(2) // the ends
		}
	})
}
