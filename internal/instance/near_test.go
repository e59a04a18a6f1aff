package instance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// countingFilter admits all instances but those it blocks, and counts its calls.
type countingFilter struct {
	calls   int
	blocked func(*Instance) bool
}

func (f *countingFilter) Reason() string { return "blocked" }

func (f *countingFilter) Admits(_ *Query, candidate *Instance, _ time.Time) bool {
	f.calls++
	return f.blocked == nil || !f.blocked(candidate)
}

// largeServiceZones are the zones of the instances of newLargePool.
var largeServiceZones = []string{"a", "b", "c", "d", "e"}

// newLargePool returns the pool of a daemon with instances of one service, spread evenly over
// largeServiceZones.
func newLargePool(count int, options Options, filter *countingFilter) *Pool {
	pool := NewPoolWith(options, rand.New(rand.NewPCG(1, 1)), Plugins{Filters: []Filter{filter}})
	pool.Replace(largeList(count))
	return pool
}

func largeList(count int) []Instance {
	list := make([]Instance, count)
	for i := range list {
		list[i] = Instance{
			ID: fmt.Sprintf("i-%06d", i), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
			Zone: largeServiceZones[i%len(largeServiceZones)], Slots: 6, State: StateReady, Sequence: 1,
		}
	}
	return list
}

// TestChoiceDoesNotCostMoreInALargerService checks that a choice considers a number of instances
// that does not follow their total, and allocates nothing.
func TestChoiceDoesNotCostMoreInALargerService(t *testing.T) {
	queries := map[string]Query{
		"plain":     {Service: "s"},
		"keyed":     {Service: "s", AffinityKey: "prompt"},
		"preferred": {Service: "s", Preferred: "i-000777"},
		"only":      {Service: "s", Only: "i-000777"},
	}
	for _, count := range []int{1000, 100_000} {
		for name, query := range queries {
			filter := &countingFilter{}
			pool := newLargePool(count, Options{Zone: "c", Address: "10.0.0.1:7000"}, filter)
			filter.calls = 0
			allocations := testing.AllocsPerRun(100, func() {
				taken, found := pool.Take(query)
				if !found {
					t.Fatalf("%d, %s: none found", count, name)
				}
				pool.Release(taken.ID, OutcomeAnswered)
			})
			if each := filter.calls / 101; each > 2*firstSegment {
				t.Errorf("%d, %s: %d instances considered for a choice", count, name, each)
			}
			if allocations > 0 {
				t.Errorf("%d, %s: %.0f allocations for a choice", count, name, allocations)
			}
		}
	}
}

// TestDaemonUsesFewInstancesOfItsZone checks that a daemon's requests stay with the instances to
// which it has connections, and that those with one key go to the same few from all daemons.
func TestDaemonUsesFewInstancesOfItsZone(t *testing.T) {
	used := map[string]bool{}
	usedForKey := map[string]bool{}
	for daemon := range 40 {
		pool := newLargePool(1000, Options{Zone: "b", Address: fmt.Sprintf("10.0.0.%d:7000", daemon)}, &countingFilter{})
		own := map[string]bool{}
		for range 100 {
			taken, _ := pool.Take(Query{Service: "s"})
			pool.Release(taken.ID, OutcomeAnswered)
			own[taken.ID] = true
			if taken.Zone != "b" {
				t.Errorf("an instance of zone %s was chosen", taken.Zone)
			}
			keyed, _ := pool.Take(Query{Service: "s", AffinityKey: "prompt"})
			pool.Release(keyed.ID, OutcomeAnswered)
			usedForKey[keyed.ID] = true
		}
		if len(own) > firstSegment {
			t.Errorf("daemon %d uses %d instances, want at most %d", daemon, len(own), firstSegment)
		}
		for id := range own {
			used[id] = true
		}
	}
	if len(usedForKey) > firstSegment {
		t.Errorf("requests with one key go to %d instances, want at most %d", len(usedForKey), firstSegment)
	}
	if len(used) < 100 {
		t.Errorf("40 daemons use %d of 200 instances of their zone", len(used))
	}
}

// TestChoiceWidensWhenInstancesAreBusy checks that all slots of a large service can be taken by one
// daemon, the own zone's first, before any instance gets more requests than slots.
func TestChoiceWidensWhenInstancesAreBusy(t *testing.T) {
	const count = 300
	pool := newLargePool(count, Options{Zone: "a", Address: "10.0.0.1:7000"}, &countingFilter{})
	for range count * 6 {
		if _, found := pool.Take(Query{Service: "s"}); !found {
			t.Fatal("none found")
		}
	}
	for id, load := range pool.Loads() {
		if load > 6 {
			t.Errorf("%s has %d requests on 6 slots while others are free", id, load)
		}
	}
}

// TestOnlyAdmittedInstanceOfALargeServiceIsFound checks that one admitted instance is found among
// thousands that a filter rejects, are in backoff, or were offered the request before.
func TestOnlyAdmittedInstanceOfALargeServiceIsFound(t *testing.T) {
	filter := &countingFilter{blocked: func(candidate *Instance) bool { return candidate.ID != "i-003123" && candidate.ID != "i-000004" }}
	pool := newLargePool(5000, Options{Zone: "a", Address: "10.0.0.1:7000"}, filter)
	taken, found := pool.Take(Query{Service: "s", Excluded: []string{"i-000004"}})
	if !found || taken.ID != "i-003123" {
		t.Errorf("found %v: %s", found, taken.ID)
	}
	if _, found := pool.Take(Query{Service: "s", Excluded: []string{"i-000004", "i-003123"}}); found {
		t.Error("an instance was chosen that must not be")
	}
}

// TestZoneWithoutAdmittedInstancesIsLeft checks that requests go to other zones while the own one is
// evacuated, at a bounded cost.
func TestZoneWithoutAdmittedInstancesIsLeft(t *testing.T) {
	filter := &countingFilter{blocked: func(candidate *Instance) bool { return candidate.Zone == "a" }}
	pool := newLargePool(50_000, Options{Zone: "a", Address: "10.0.0.1:7000"}, filter)
	filter.calls = 0
	taken, found := pool.Take(Query{Service: "s"})
	if !found || taken.Zone == "a" {
		t.Errorf("found %v in zone %s", found, taken.Zone)
	}
	if filter.calls > 4*firstSegment {
		t.Errorf("%d instances considered", filter.calls)
	}
}

// TestOneChangeCostsNoMoreInALargerList checks that applying one changed entry allocates the same
// for any number of instances.
func TestOneChangeCostsNoMoreInALargerList(t *testing.T) {
	for _, count := range []int{1000, 100_000} {
		pool := newLargePool(count, Options{Zone: "a"}, &countingFilter{})
		changed := largeList(10)[7]
		allocations := testing.AllocsPerRun(50, func() {
			changed.Sequence++
			pool.Apply(Update{Instances: []Instance{changed}})
		})
		if allocations > 5 {
			t.Errorf("%d instances: %.0f allocations for one change", count, allocations)
		}
	}
}

// TestChangesGiveTheSameAsLists applies random changes to one pool and whole lists to another: both
// must know the same instances, and keep their index in order.
func TestChangesGiveTheSameAsLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byChange := NewPool(rand.New(rand.NewPCG(1, 1)), Plugins{})
		byList := NewPool(rand.New(rand.NewPCG(1, 1)), Plugins{})
		entries := map[string]Instance{}
		byChange.Apply(Update{Complete: true})
		byList.Replace(nil)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			var update Update
			changed := map[string]bool{}
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				name := fmt.Sprintf("i%d", rapid.IntRange(0, 9).Draw(t, "name"))
				if changed[name] {
					continue
				}
				changed[name] = true
				if rapid.Bool().Draw(t, "remove") {
					delete(entries, name)
					update.Removed = append(update.Removed, name)
					continue
				}
				next := Instance{
					ID: RunID(name, rapid.Int64Range(0, 2).Draw(t, "run")), Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
					Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Address: fmt.Sprint("a:", rapid.IntRange(1, 12).Draw(t, "address")),
					Version: rapid.SampledFrom([]string{"", "v1", "v1.1"}).Draw(t, "version"),
					Slots:   1, State: rapid.SampledFrom([]State{StateReady, StateDraining}).Draw(t, "state"), Sequence: int64(step),
				}
				entries[name] = next
				update.Instances = append(update.Instances, next)
			}
			byChange.Apply(update)
			var list []Instance
			for _, entry := range entries {
				list = append(list, entry)
			}
			byList.Replace(list)
			expectSameInstances(t, byChange, byList)
		}
	})
}

func expectSameInstances(t *rapid.T, byChange, byList *Pool) {
	ids := func(p *Pool) (ids []string) {
		for id, e := range p.byID {
			ids = append(ids, fmt.Sprint(id, e.Service, e.Zone, e.Address, e.State, e.unlistedSince.IsZero()))
		}
		slices.Sort(ids)
		return ids
	}
	if changed, listed := ids(byChange), ids(byList); !slices.Equal(changed, listed) {
		t.Fatalf("by changes %v, by lists %v", changed, listed)
	}
	for _, pool := range []*Pool{byChange, byList} {
		indexed := 0
		for name, service := range pool.byService {
			inRings := 0
			for zone, ring := range service.rings {
				inRings += len(ring)
				if !slices.IsSortedFunc(ring, compareHashes) || slices.ContainsFunc(ring, func(e *entry) bool { return e.Zone != zone || e.Service != name }) {
					t.Fatalf("ring of %s in %s is not in order", name, zone)
				}
			}
			if inRings != len(service.entries) || !slices.IsSortedFunc(service.entries, compareIDs) || len(service.zones) != len(service.rings) {
				t.Fatalf("index of %s is not consistent", name)
			}
			indexed += inRings
			expectIndexOfVersions(t, service)
		}
		if indexed != len(pool.byID) {
			t.Fatalf("%d instances are indexed, want %d", indexed, len(pool.byID))
		}
	}
}
