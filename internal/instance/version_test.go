package instance

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// expectIndexOfVersions checks that each instance of a service is in the index of its version.
func expectIndexOfVersions(t *rapid.T, service *serviceIndex) {
	indexed := 0
	for version, index := range service.versions {
		indexed += len(index.entries)
		if len(index.entries) == 0 || !slices.IsSortedFunc(index.entries, compareIDs) ||
			slices.ContainsFunc(index.entries, func(e *entry) bool { return e.Version != version }) {
			t.Fatalf("index of version %q is not consistent", version)
		}
	}
	if indexed != len(service.entries) {
		t.Fatalf("%d instances are indexed by version, want %d", indexed, len(service.entries))
	}
}

// TestChoiceOfARareVersionDoesNotCostALargeService checks that a choice among the few instances
// of one version considers only these.
func TestChoiceOfARareVersionDoesNotCostALargeService(t *testing.T) {
	const rareInstances = 20
	rare := "v2"
	filter := &countingFilter{}
	pool := NewPoolWith(Options{Zone: "c", Address: "10.0.0.1:7000"}, rand.New(rand.NewPCG(1, 1)), Plugins{Filters: []Filter{filter}})
	list := largeList(100_000)
	for i := range list {
		list[i].Version = "v1"
		if i%(len(list)/rareInstances) == 0 {
			list[i].Version = rare
		}
	}
	pool.Replace(list)
	filter.calls = 0
	taken, found := pool.Take(Query{Service: "s", Version: &rare, Preferred: "i-000777"})
	if !found || taken.Version != rare {
		t.Errorf("found %v of version %q", found, taken.Version)
	}
	if filter.calls > 2*rareInstances {
		t.Errorf("%d instances considered for a choice among %d", filter.calls, rareInstances)
	}
	if gone := "v1.0"; pool.MayAdmit(Query{Service: "s", Version: &gone}) {
		t.Error("an instance of a version that none has may be chosen")
	}
}
