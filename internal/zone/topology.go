// Package zone keeps what a daemon knows of zones: the region of each, whether operators
// evacuated it, and whether it can be reached.
//
// A zone is a failure domain: its machines fail or are cut off together. A region is a
// group of zones that are close to each other. The parts that place requests, hold shards
// or forward calls get their view of zones from this package.
package zone

import (
	"maps"
	"slices"
)

// Distance is the class of distance to another zone.
type Distance int

// Distances, in ascending order.
const (
	// SameZone is the daemon's own zone.
	SameZone Distance = iota
	// SameRegion is another zone of the daemon's region.
	SameRegion
	// OtherRegion is a zone of another region.
	OtherRegion
)

// String implements fmt.Stringer.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "same_zone"
	case SameRegion:
		return "same_region"
	case OtherRegion:
		return "other_region"
	}
	return "unknown"
}

// Topology is the immutable mapping of zones to regions, as seen from one zone. The zero
// value knows no zones: its own zone is "", and all others are in the same region.
type Topology struct {
	own     string
	region  string
	regions map[string]string
}

// NewTopology returns the topology of a daemon in the zone own of a region; regions maps
// each zone to its region.
func NewTopology(own, region string, regions map[string]string) Topology {
	known := maps.Clone(regions)
	if known == nil {
		known = map[string]string{}
	}
	known[own] = region
	return Topology{own: own, region: region, regions: known}
}

// OwnZone returns the daemon's own zone.
func (t Topology) OwnZone() string { return t.own }

// OwnRegion returns the daemon's own region.
func (t Topology) OwnRegion() string { return t.region }

// Zones returns the known zones, sorted.
func (t Topology) Zones() []string { return slices.Sorted(maps.Keys(t.regions)) }

// Regions returns the known regions, sorted.
func (t Topology) Regions() []string {
	return slices.Compact(slices.Sorted(maps.Values(t.regions)))
}

// RegionOf returns a zone's region, and false if the zone is unknown.
func (t Topology) RegionOf(zone string) (string, bool) {
	region, known := t.regions[zone]
	return region, known
}

// DistanceTo returns the distance to a zone. An unknown zone counts as SameRegion, as the
// settings of a fleet in one region need not name its zones.
func (t Topology) DistanceTo(zone string) Distance {
	if zone == t.own {
		return SameZone
	}
	if region, known := t.regions[zone]; known && region != t.region {
		return OtherRegion
	}
	return SameRegion
}
