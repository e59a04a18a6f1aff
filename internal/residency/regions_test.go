package residency

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

var topology = zone.NewTopology("east-a", "east", map[string]string{"east-b": "east", "north-a": "north", "south-a": "south"})

// An instance is admitted if and only if its region is allowed by both the route and the
// tenant, each of which allows all regions if it names none.
func TestInstanceMustBeAllowedByRouteAndTenant(t *testing.T) {
	regions := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"east", "north", "south", "west"}), rapid.ID)
	rapid.Check(t, func(t *rapid.T) {
		route, tenant := regions.Draw(t, "route"), regions.Draw(t, "tenant")
		allowed := AllowedRegions(route, tenant)
		filter := Filter{Topology: topology}
		for _, name := range []string{"east-a", "east-b", "north-a", "south-a", "nowhere"} {
			region, known := topology.RegionOf(name)
			allows := func(list []string) bool { return len(list) == 0 || known && slices.Contains(list, region) }
			want := allows(route) && allows(tenant)
			if got := filter.Admits(&instance.Query{Regions: allowed}, &instance.Instance{Zone: name}, time.Time{}); got != want {
				t.Fatalf("route %v, tenant %v: zone %s is admitted: %v", route, tenant, name, got)
			}
		}
		if allowed.AllowsNone() && (len(route) == 0 || len(tenant) == 0) || !allowed.IsRestricted() && len(route)+len(tenant) > 0 {
			t.Fatalf("route %v, tenant %v: restricted to %v", route, tenant, allowed)
		}
	})
}

// BenchmarkFilter evaluates 50 back ends for a request that is restricted to two regions.
func BenchmarkFilter(b *testing.B) {
	filter := Filter{Topology: topology}
	query := &instance.Query{Regions: AllowedRegions([]string{"north", "south"}, nil)}
	candidate := &instance.Instance{Zone: "south-a"}
	b.ReportAllocs()
	for b.Loop() {
		for range 50 {
			filter.Admits(query, candidate, time.Time{})
		}
	}
}
