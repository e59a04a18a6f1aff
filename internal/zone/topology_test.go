package zone

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDistances(t *testing.T) {
	topology := NewTopology("north-a", "north", map[string]string{"north-b": "north", "south-a": "south"})
	got := map[string]Distance{}
	for _, name := range []string{"north-a", "north-b", "south-a", "elsewhere"} {
		got[name] = topology.DistanceTo(name)
	}
	want := map[string]Distance{"north-a": SameZone, "north-b": SameRegion, "south-a": OtherRegion, "elsewhere": SameRegion}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"north-a", "north-b", "south-a"}, topology.Zones()); diff != "" {
		t.Errorf("zones (-want +got):\n%s", diff)
	}
}

func TestTopologyWithoutZonesIsOneRegion(t *testing.T) {
	topology := NewTopology("z", "", nil)
	if got := topology.DistanceTo("other"); got != SameRegion {
		t.Errorf("got %s, want %s", got, SameRegion)
	}
}
