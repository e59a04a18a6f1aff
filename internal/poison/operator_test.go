package poison

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestOperatorsSeeContentsAndLetThemThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		d := f.living()[0]
		d.endOnce("suspected", "e9")
		for number := range Limit {
			f.living()[number].endOnce("refused", fmt.Sprint("e", number))
		}
		time.Sleep(settled)
		listed, err := List(t.Context(), f.store, time.Now())
		if err != nil || len(listed) != 2 {
			t.Fatalf("%d contents are listed, want 2; %v", len(listed), err)
		}
		if first := listed[0]; !first.IsRefused || first.Ends != Limit || len(first.Sends) != Limit || first.Sends[0].Instance != "e0" {
			t.Errorf("the first is %+v", first)
		}
		if second := listed[1]; second.IsRefused || second.Ends != 1 {
			t.Errorf("the second is %+v", second)
		}
		if err := Allow(t.Context(), f.store, listed[0].Digest, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settled)
		for _, d := range f.living() {
			tracker := d.track("refused")
			if err := tracker.Admit(d.alive, noPreference); err != nil || tracker.IsSuspect() {
				t.Errorf("%s: let through with %v, suspected: %v", d.Self, err, tracker.IsSuspect())
			}
		}
		if err := Allow(t.Context(), f.store, listed[0].Digest, time.Now()); !errors.Is(err, ErrUnknownContent) {
			t.Errorf("letting it through a second time: %v", err)
		}
	})
}

func TestOutageIsToldToOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.store.SetDown(true)
		if _, err := List(t.Context(), f.store, time.Now()); err == nil {
			t.Error("a list is returned while the store is out")
		}
	})
}
