package instance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newTestPool(ready ...string) *Pool {
	p := NewPool(rand.New(rand.NewPCG(1, 2)), Plugins{})
	p.Replace(listOf(StateReady, ready...))
	return p
}

func listOf(state State, ids ...string) []Instance {
	var list []Instance
	for _, id := range ids {
		list = append(list, Instance{ID: id, Service: "s", Address: "a-" + id, Zone: "z", Slots: 4, State: state, Sequence: 1})
	}
	return list
}

func TestRequestsAreSpreadEvenly(t *testing.T) {
	p := newTestPool("a", "b", "c")
	counts := map[string]int{}
	for range 30 {
		instance, found := p.Take(Query{Service: "s"})
		if !found {
			t.Fatal("no instance")
		}
		counts[instance.ID]++
	}
	if diff := cmp.Diff(map[string]int{"a": 10, "b": 10, "c": 10}, counts); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestPreferredInstanceIsUsedUnlessItIsBusy(t *testing.T) {
	p := newTestPool("a", "b")
	first, _ := p.Take(Query{Service: "s", Preferred: "b"})
	if first.ID != "b" {
		t.Errorf("got %s", first.ID)
	}
	for range 12 {
		p.Take(Query{Service: "s", Preferred: "b"})
	}
	if p.Loads()["a"] == 0 {
		t.Errorf("all requests went to a busy instance: %v", p.Loads())
	}
}

func TestAffinityKeysKeepTheirInstanceWhenAnotherIsRemoved(t *testing.T) {
	p := newTestPool("a", "b", "c", "d")
	former := map[string]string{}
	for i := range 50 {
		key := fmt.Sprint("object-", i)
		former[key] = p.rendezvousInstance(&Query{Service: "s", AffinityKey: key}, time.Now())
	}
	p.Replace(listOf(StateReady, "a", "b", "c"))
	for key, want := range former {
		if got := p.rendezvousInstance(&Query{Service: "s", AffinityKey: key}, time.Now()); want != "d" && got != want {
			t.Errorf("%s moved from %s to %s", key, want, got)
		}
	}
}

func TestDrainingAndExcludedInstancesAreNotChosen(t *testing.T) {
	p := newTestPool("a", "b")
	p.Replace(append(listOf(StateReady, "a"), listOf(StateDraining, "b")...))
	if got, _ := p.Take(Query{Service: "s"}); got.ID != "a" {
		t.Errorf("got %s", got.ID)
	}
	if got, found := p.Take(Query{Service: "s", Excluded: []string{"a"}}); found {
		t.Errorf("got %s", got.ID)
	}
	if p.Count(Query{Service: "s"}).Admitted != 1 {
		t.Errorf("%d instances admitted, want 1", p.Count(Query{Service: "s"}).Admitted)
	}
}

func TestOlderSequenceIsIgnored(t *testing.T) {
	p := newTestPool("a")
	draining := listOf(StateDraining, "a")
	draining[0].Sequence = 5
	p.Replace(draining)
	p.Replace(listOf(StateReady, "a"))
	if got, found := p.Take(Query{Service: "s"}); found {
		t.Errorf("got %s, whose newer entry says that it drains", got.ID)
	}
}

func TestFailedInstanceIsUsedOnlyAsALastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.Release("a", OutcomeFailed)
		for range 5 {
			if got, _ := p.Take(Query{Service: "s"}); got.ID != "b" {
				t.Errorf("got %s", got.ID)
			}
		}
		if got, found := p.Take(Query{Service: "s", Excluded: []string{"b"}}); !found || got.ID != "a" {
			t.Error("the only other instance, in backoff, was not chosen")
		}
	})
}

func TestGoneInstanceIsNotChosen(t *testing.T) {
	p := newTestPool("a", "b")
	p.Release("a", OutcomeGone)
	if _, found := p.Take(Query{Service: "s", Excluded: []string{"b"}}); found {
		t.Error("an instance whose address another one has was chosen")
	}
}

func TestReplaceReturnsUnusedAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		next := listOf(StateReady, "c")
		next[0].Address = "a-a"
		p.Replace(next)
		p.expireUnlisted(t, "a", "b")
		if diff := cmp.Diff([]string{"a-b"}, p.Replace(next)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// expireUnlisted sets unlisted instances back by more than unlistedTTL.
func (p *Pool) expireUnlisted(t *testing.T, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if p.byID[id] == nil || p.byID[id].unlistedSince.IsZero() {
			t.Fatalf("%s is listed or unknown", id)
		}
		p.byID[id].unlistedSince = time.Now().Add(-2 * unlistedTTL)
	}
}

func TestUnlistedInstancesAreALastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.Replace(listOf(StateReady, "a"))
		for range 20 {
			if got, _ := p.Take(Query{Service: "s"}); got.ID != "a" {
				t.Fatalf("got %s, which is not listed", got.ID)
			}
		}
		p.Replace(nil)
		if _, found := p.Take(Query{Service: "s"}); !found {
			t.Error("no instance was found right after all were unlisted")
		}
		p.expireUnlisted(t, "a", "b")
		if got, found := p.Take(Query{Service: "s"}); found {
			t.Errorf("got %s after unlistedTTL", got.ID)
		}
		p.Replace(listOf(StateReady, "a"))
		if got, found := p.Take(Query{Service: "s"}); !found || got.ID != "a" {
			t.Error("an instance that is listed again was not chosen")
		}
	})
}

func TestUnlistedDrainingInstanceIsNotChosen(t *testing.T) {
	p := newTestPool("a")
	p.Replace(listOf(StateDraining, "a"))
	p.Replace(nil)
	if got, found := p.Take(Query{Service: "s"}); found {
		t.Errorf("got %s", got.ID)
	}
}

func TestInstancesServeAfterTheirEntriesExpiredInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		serves := func(want bool, when string) {
			t.Helper()
			if _, found := p.Take(Query{Service: "s"}); found != want {
				t.Errorf("%s: an instance was found: %v, want the opposite", when, found)
			}
		}
		p.MarkListUnavailable()
		time.Sleep(5 * time.Second)
		serves(true, "during an outage")
		p.MarkListAvailable()
		p.Replace(nil) // all entries expired
		time.Sleep(unlistedTTL + 100*time.Millisecond)
		serves(true, "before recoveryTime is over")
		// A second outage begins before recoveryTime is over.
		p.MarkListUnavailable()
		time.Sleep(5 * time.Second)
		serves(true, "during the second outage")
		p.MarkListAvailable()
		p.Replace(nil)
		serves(true, "after the second outage")
		time.Sleep(recoveryTime)
		serves(false, "after recoveryTime")
		p.Replace(nil)
		if len(p.byID) != 0 {
			t.Errorf("%d removed instances are still kept", len(p.byID))
		}
	})
}

func TestInstanceRemovedBeforeAnOutageIsNotKeptByIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		time.Sleep(time.Second)
		p.Replace(listOf(StateReady, "a"))
		p.ConfirmList(time.Now()) // as after each read
		time.Sleep(unlistedTTL / 2)
		p.MarkListUnavailable()
		time.Sleep(unlistedTTL)
		for range 50 {
			if got, _ := p.Take(Query{Service: "s", Excluded: []string{"a"}}); got.ID == "b" {
				t.Fatal("an instance that was removed before the outage was chosen after unlistedTTL")
			}
		}
	})
}

func TestInstancesWithPossiblyExpiredEntriesShareTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b", "c")
		p.MarkListUnavailable()
		time.Sleep(5 * time.Second)
		p.MarkListAvailable()
		p.Replace(listOf(StateReady, "a")) // the first entry is written again
		taken := map[string]int{}
		for range 12 {
			got, _ := p.Take(Query{Service: "s"})
			taken[got.ID]++
		}
		if taken["a"] == 12 || taken["a"] < taken["b"] || taken["a"] < taken["c"] {
			t.Errorf("requests by instance: %v", taken)
		}
	})
}

// isUsable reports whether an instance may be chosen at all.
func (p *Pool) isUsable(id string) bool {
	_, found := p.Take(Query{Service: "s", Only: id})
	return found
}

// TestUnlistedTTLStartsAtTheLastConfirmedList guards against requests to an instance that
// has already exited. Instances serve only for some time after their entry is removed. The
// entry may have been removed right after the last read that showed it, so a late read must
// not extend unlistedTTL.
func TestUnlistedTTLStartsAtTheLastConfirmedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.ConfirmList(time.Now())
		time.Sleep(unlistedTTL - 100*time.Millisecond) // the next read is late
		p.Replace(listOf(StateReady, "a"))
		p.ConfirmList(time.Now())
		if !p.isUsable("b") {
			t.Error("an unlisted instance is not usable within unlistedTTL")
		}
		time.Sleep(150 * time.Millisecond)
		if p.isUsable("b") {
			t.Error("an instance is usable that may have been unlisted for longer than unlistedTTL")
		}
	})
}

// TestLateReadIsNotAnOutage guards against using removed instances for recoveryTime after a
// late read: no entry of a running instance expires in less than outageHeartbeats*DefaultHeartbeat.
func TestLateReadIsNotAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.ConfirmList(time.Now())
		time.Sleep(500 * time.Millisecond)
		p.MarkListUnavailable()
		time.Sleep(outageHeartbeats*DefaultHeartbeat - 600*time.Millisecond)
		p.MarkListAvailable()
		p.Replace(listOf(StateReady, "a"))
		p.ConfirmList(time.Now())
		if p.isUsable("b") {
			t.Error("an instance that was removed during a late read is usable")
		}
	})
}

// TestShortOutageIsNoReasonToKeepInstancesThatBeatRarely checks that the heartbeat decides how long
// an outage must last for entries of running instances to expire in it.
func TestShortOutageIsNoReasonToKeepInstancesThatBeatRarely(t *testing.T) {
	for heartbeat, kept := range map[time.Duration]bool{time.Second: true, 5 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			p := NewPoolWith(Options{Heartbeat: heartbeat}, rand.New(rand.NewPCG(1, 1)), Plugins{})
			p.Replace(listOf(StateReady, "a", "b"))
			p.MarkListUnavailable()
			time.Sleep(6 * time.Second)
			p.MarkListAvailable()
			p.Replace(listOf(StateReady, "a"))
			p.ConfirmList(time.Now())
			if got := p.isUsable("b"); got != kept {
				t.Errorf("heartbeat %s: a missing instance is usable after an outage of 6s: %t", heartbeat, got)
			}
		})
	}
}

// The store may list instances that do not belong to this fleet; no connection to them is
// opened.
func TestAnyInReturnsOnlyNamedServices(t *testing.T) {
	p := newTestPool("a")
	for service, want := range map[string]bool{"s": true, "t": false} {
		if _, found := p.AnyIn("z", func(name string) bool { return name == service }); found != want {
			t.Errorf("only service %s is named: found %t", service, found)
		}
	}
}
