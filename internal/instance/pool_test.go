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

func TestLoadIsSpread(t *testing.T) {
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

func TestPreferredInstanceUnlessItIsBusy(t *testing.T) {
	p := newTestPool("a", "b")
	first, _ := p.Take(Query{Service: "s", Preferred: "b"})
	if first.ID != "b" {
		t.Errorf("got %s", first.ID)
	}
	for range 12 {
		p.Take(Query{Service: "s", Preferred: "b"})
	}
	if p.Loads()["a"] == 0 {
		t.Errorf("all went to a busy instance: %v", p.Loads())
	}
}

func TestObjectsKeepTheirInstanceWhenAnotherGoes(t *testing.T) {
	p := newTestPool("a", "b", "c", "d")
	homes := map[string]string{}
	for i := range 50 {
		object := fmt.Sprint("object-", i)
		homes[object] = p.homeOf(&Query{Service: "s", AffinityKey: object}, time.Now())
	}
	p.Replace(listOf(StateReady, "a", "b", "c"))
	for object, home := range homes {
		if got := p.homeOf(&Query{Service: "s", AffinityKey: object}, time.Now()); home != "d" && got != home {
			t.Errorf("%s moved from %s to %s", object, home, got)
		}
	}
}

func TestLeavingAndExcludedInstancesGetNothing(t *testing.T) {
	p := newTestPool("a", "b")
	p.Replace(append(listOf(StateReady, "a"), listOf(StateDraining, "b")...))
	if got, _ := p.Take(Query{Service: "s"}); got.ID != "a" {
		t.Errorf("got %s", got.ID)
	}
	if got, found := p.Take(Query{Service: "s", Excluded: []string{"a"}}); found {
		t.Errorf("got %s", got.ID)
	}
	if p.Count(Query{Service: "s"}).Admitted != 1 {
		t.Errorf("%d ready", p.Count(Query{Service: "s"}).Admitted)
	}
}

func TestOlderWordOfAnInstanceIsIgnored(t *testing.T) {
	p := newTestPool("a")
	leaving := listOf(StateDraining, "a")
	leaving[0].Sequence = 5
	p.Replace(leaving)
	p.Replace(listOf(StateReady, "a"))
	if got, found := p.Take(Query{Service: "s"}); found {
		t.Errorf("got %s, which said since that it leaves", got.ID)
	}
}

func TestFailedInstanceIsPassedOverButNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.Release("a", OutcomeFailed)
		for range 5 {
			if got, _ := p.Take(Query{Service: "s"}); got.ID != "b" {
				t.Errorf("got %s", got.ID)
			}
		}
		if got, found := p.Take(Query{Service: "s", Excluded: []string{"b"}}); !found || got.ID != "a" {
			t.Error("the last instance was given up")
		}
	})
}

func TestGoneInstanceGetsNothing(t *testing.T) {
	p := newTestPool("a", "b")
	p.Release("a", OutcomeGone)
	if _, found := p.Take(Query{Service: "s", Excluded: []string{"b"}}); found {
		t.Error("an instance whose address another has got a request")
	}
}

func TestReplaceTellsAddressesThatNobodyHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		next := listOf(StateReady, "c")
		next[0].Address = "a-a"
		p.Replace(next)
		p.forget(t, "a", "b")
		if diff := cmp.Diff([]string{"a-b"}, p.Replace(next)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// forget lets the time pass for which vanished instances are a last resort.
func (p *Pool) forget(t *testing.T, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if p.byID[id] == nil || p.byID[id].vanished.IsZero() {
			t.Fatalf("%s is not a last resort", id)
		}
		p.byID[id].vanished = time.Now().Add(-2 * vanishedLife)
	}
}

func TestVanishedInstancesAreALastResort(t *testing.T) {
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
			t.Error("no instance, though all lapsed only now")
		}
		p.forget(t, "a", "b")
		if got, found := p.Take(Query{Service: "s"}); found {
			t.Errorf("got %s long after it vanished", got.ID)
		}
		p.Replace(listOf(StateReady, "a"))
		if got, found := p.Take(Query{Service: "s"}); !found || got.ID != "a" {
			t.Error("an instance that is listed again gets nothing")
		}
	})
}

func TestLeavingInstanceThatVanishesIsNoLastResort(t *testing.T) {
	p := newTestPool("a")
	p.Replace(listOf(StateDraining, "a"))
	p.Replace(nil)
	if got, found := p.Take(Query{Service: "s"}); found {
		t.Errorf("got %s", got.ID)
	}
}

func TestInstancesWhoseEntriesLapsedInAnOutageServeUntilTheyAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		serves := func(want bool, when string) {
			t.Helper()
			if _, found := p.Take(Query{Service: "s"}); found != want {
				t.Errorf("%s: an instance was found: %v", when, found)
			}
		}
		p.MarkListUnavailable()
		time.Sleep(5 * time.Second)
		serves(true, "in an outage")
		p.MarkListAvailable()
		p.Replace(nil) // all entries lapsed
		time.Sleep(vanishedLife + 100*time.Millisecond)
		serves(true, "before the entries must be back")
		// The next outage begins: nothing is heard until its end.
		p.MarkListUnavailable()
		time.Sleep(5 * time.Second)
		serves(true, "in the next outage")
		p.MarkListAvailable()
		p.Replace(nil)
		serves(true, "after the next outage")
		time.Sleep(lapsedLife)
		serves(false, "when the entries must be back")
		p.Replace(nil)
		if len(p.byID) != 0 {
			t.Errorf("%d instances are kept that are gone", len(p.byID))
		}
	})
}

func TestInstanceTakenOffBeforeAnOutageIsNotKeptByIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		time.Sleep(time.Second)
		p.Replace(listOf(StateReady, "a"))
		p.ConfirmList(time.Now()) // as after each reading
		time.Sleep(vanishedLife / 2)
		p.MarkListUnavailable()
		time.Sleep(vanishedLife)
		for range 50 {
			if got, _ := p.Take(Query{Service: "s", Excluded: []string{"a"}}); got.ID == "b" {
				t.Fatal("an instance that was taken off while the list was read got a request after its time")
			}
		}
	})
}

func TestInstancesThatMayHaveLapsedShareTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b", "c")
		p.MarkListUnavailable()
		time.Sleep(5 * time.Second)
		p.MarkListAvailable()
		p.Replace(listOf(StateReady, "a")) // the first entry is back
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

// usable tells whether an instance may be chosen at all.
func (p *Pool) usable(id string) bool {
	_, found := p.Take(Query{Service: "s", Only: id})
	return found
}

// TestVanishedInstanceCountsFromItsLastConfirmation: instances that leave without a word serve
// on for some time after their entry went. What users saw was a request at one past that time.
// The entry may have gone right after the last reading that showed it, so a next one that came
// late must not add to the time for which the instance is a last resort.
func TestVanishedInstanceCountsFromItsLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.ConfirmList(time.Now())
		time.Sleep(vanishedLife - 100*time.Millisecond) // the next reading is late
		p.Replace(listOf(StateReady, "a"))
		p.ConfirmList(time.Now())
		if !p.usable("b") {
			t.Error("no last resort within its time")
		}
		time.Sleep(150 * time.Millisecond)
		if p.usable("b") {
			t.Error("an instance is chosen that may have left longer ago than it may be used")
		}
	})
}

// TestLateReadingIsNoOutage: what is missing after it has left, as no entry of an instance that
// is well lapses in that time. It was taken for lapsed, and used for 2.2 s more.
func TestLateReadingIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool("a", "b")
		p.ConfirmList(time.Now())
		time.Sleep(500 * time.Millisecond)
		p.MarkListUnavailable()
		time.Sleep(shortestLapse - 600*time.Millisecond)
		p.MarkListAvailable()
		p.Replace(listOf(StateReady, "a"))
		p.ConfirmList(time.Now())
		if p.usable("b") {
			t.Error("an instance that left beside a late reading is taken for one whose entry lapsed")
		}
	})
}

// TestNobodyConnectsToWhatNoRouteNames: an entry may be another writer's.
func TestNobodyConnectsToWhatNoRouteNames(t *testing.T) {
	p := newTestPool("a")
	for service, want := range map[string]bool{"s": true, "t": false} {
		if _, found := p.AnyIn("z", func(name string) bool { return name == service }); found != want {
			t.Errorf("service %s is named: found %t", service, found)
		}
	}
}
