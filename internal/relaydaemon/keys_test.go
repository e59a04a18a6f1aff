package relaydaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/tenant"
)

// newKeyDaemon returns a daemon that has only routes and keys.
func newKeyDaemon(t *testing.T, keys ...string) *Daemon {
	t.Helper()
	d := &Daemon{settings: DefaultSettings(), routesConfirmation: newConfirmation(), admission: &admission.Controller{}}
	d.setKeys(t, 1, keys...)
	return d
}

func (d *Daemon) setKeys(t *testing.T, version int64, keys ...string) {
	t.Helper()
	table := route.NewTable(version, nil, nil)
	table.Tenants = tenant.NewDirectory()
	if err := table.Tenants.Add(&tenant.Tenant{Name: "north"}, keys); err != nil {
		t.Fatal(err)
	}
	d.table.Store(table)
}

// accepts reports whether a request with a key is accepted without waiting.
func (d *Daemon) accepts(t *testing.T, key string) bool {
	t.Helper()
	known, refusal := d.Identify(t.Context(), IdentifyQuery{Route: &route.Route{}, Key: key, Left: time.Millisecond})
	return known != nil && refusal == nil
}

// TestKeysCountForAsLongAsTheyWereConfirmed checks that a daemon which was cut off or suspended
// accepts no key past the revocation time, counted from when the store was asked.
func TestKeysCountForAsLongAsTheyWereConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newKeyDaemon(t, "key")
		askedAt := time.Now()
		time.Sleep(time.Second) // the answer takes long
		d.confirmRoutes(askedAt)
		time.Sleep(d.settings.revocationTime() - revocationMargin - time.Second)
		if !d.accepts(t, "key") {
			t.Error("a key is not accepted within the revocation time")
		}
		time.Sleep(2 * time.Millisecond)
		if d.accepts(t, "key") {
			t.Error("a key is accepted that was not confirmed in time")
		}
		d.confirmRoutes(time.Now())
		if !d.accepts(t, "key") {
			t.Error("a confirmed key is not accepted")
		}
	})
}

// TestRoutesThatCannotBeUnderstoodConfirmNothing checks that routes which cannot be parsed do not
// confirm the keys in force, as they may revoke some.
func TestRoutesThatCannotBeUnderstoodConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newKeyDaemon(t, "key")
		d.confirmRoutes(time.Now())
		d.hasRefusedRoutes.Store(true)
		time.Sleep(d.settings.revocationTime())
		d.confirmRoutes(time.Now())
		if d.accepts(t, "key") {
			t.Error("a key is accepted although the newest routes could not be parsed")
		}
	})
}

// TestRequestWaitsForTheConfirmation checks that a request waits for the confirmation that comes
// some milliseconds after a suspended daemon resumes or the store is back.
func TestRequestWaitsForTheConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newKeyDaemon(t, "key")
		d.confirmRoutes(time.Now())
		time.Sleep(time.Minute)
		time.AfterFunc(10*time.Millisecond, func() { d.confirmRoutes(time.Now()) })
		known, refusal := d.Identify(t.Context(), IdentifyQuery{Route: &route.Route{}, Key: "key", Left: 3 * time.Second})
		if known == nil || refusal != nil {
			t.Errorf("got %v, %+v", known, refusal)
		}
		if len(d.routesConfirmation.refresh.C()) == 0 {
			t.Error("no read was requested")
		}
	})
}

// TestKeyThatIsNotKnownIsLookedForOnce checks that an unknown key is looked up in newer routes, and
// that repeated requests with unknown keys do not each cause a read.
func TestKeyThatIsNotKnownIsLookedForOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newKeyDaemon(t, "key")
		d.confirmRoutes(time.Now())
		time.Sleep(maxAgeForUnknownKey + time.Millisecond)
		reads := 0
		ended := make(chan struct{})
		go func() {
			for {
				select {
				case <-d.routesConfirmation.refresh.C():
				case <-ended:
					return
				}
				reads++
				time.Sleep(4 * time.Millisecond)
				d.setKeys(t, 2, "key", "new")
				d.confirmRoutes(time.Now())
			}
		}()
		if known, refusal := d.Identify(t.Context(), IdentifyQuery{Route: &route.Route{}, Key: "new", Left: 3 * time.Second}); known == nil {
			t.Errorf("a new key: got %+v", refusal)
		}
		for range 100 {
			if known, _ := d.Identify(t.Context(), IdentifyQuery{Route: &route.Route{}, Key: "none", Left: 3 * time.Second}); known != nil {
				t.Error("a key without a tenant was accepted")
			}
		}
		if reads != 1 {
			t.Errorf("the store was read %d times, want once", reads)
		}
		close(ended)
	})
}

// TestRefreshedWatchReadsAtOnce checks that a requested read confirms the routes as of when it was
// sent, not of when the answer came.
func TestRefreshedWatchReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keys := newConfirmation()
		watcher := store.Watcher{
			Store: memory.New(), Partition: store.Partition{Space: "x"}, Settings: store.WatchSettings{Wait: time.Hour, AnswerTimeout: time.Minute},
			OnChange: func(map[string]store.Record) {}, OnConnectivity: func(error) {}, OnRead: keys.confirm, Refresh: keys.refresh.C(),
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			watcher.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Minute)
		began := time.Now()
		if !keys.await(t.Context(), time.Second, began.Add(time.Second)) {
			t.Error("no confirmation came")
		}
		if at, _ := keys.last(); at.Before(began) || time.Since(began) > minRefreshInterval {
			t.Errorf("confirmed as of %s after the request, %s later", at.Sub(began), time.Since(began))
		}
		stop()
		<-done
	})
}

// TestConfirmationsOfOtherDaemonsCount checks that a confirmation by a daemon with the same or
// older routes counts, with its age, and that one of newer routes confirms nothing but makes this
// daemon expect them.
func TestConfirmationsOfOtherDaemonsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newKeyDaemon(t, "key")
		d.setKeys(t, 5, "key")
		d.confirmRoutes(time.Now())
		time.Sleep(time.Minute)
		d.ConfirmRoutes(6, time.Now())
		if d.accepts(t, "key") {
			t.Error("news of newer routes confirms older ones")
		}
		if len(d.routesConfirmation.newerRoutes.C()) == 0 {
			t.Error("newer routes are not expected")
		}
		d.ConfirmRoutes(5, time.Now().Add(-d.settings.revocationTime()))
		if d.accepts(t, "key") {
			t.Error("a confirmation that is too old counts")
		}
		d.ConfirmRoutes(4, time.Now().Add(-time.Second))
		if !d.accepts(t, "key") {
			t.Error("a recent confirmation does not count")
		}
		if version, asOf := d.RoutesConfirmed(); version != 5 || time.Since(asOf) != time.Second {
			t.Errorf("confirms version %d as of %s ago to other daemons", version, time.Since(asOf))
		}
	})
}
