// Package zone tells where machines and back ends stand, and what is known of
// each zone: which region it is in, whether operators emptied it, whether it can
// be reached.
//
// A zone is what is lost or cut off together, and a region is some zones that
// are near each other. The parts that place requests, hold shards or pass calls
// on ask this package; none of them decides by itself what a zone is good for.
package zone

import (
	"maps"
	"slices"
)

// Distance is how far another zone is.
type Distance int

// Distances, in rising order.
const (
	// SameZone is this daemon's own zone.
	SameZone Distance = iota
	// SameRegion is another zone near by.
	SameRegion
	// OtherRegion is far away.
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

// Topology is which zones there are and which region each is in, as seen from one
// of them. It does not change once it is made. The zero value knows no zones: then
// all but its own, "", are in its region.
type Topology struct {
	own     string
	region  string
	regions map[string]string
}

// NewTopology returns the topology of a daemon in a zone and region; regions names
// the region of each zone.
func NewTopology(own, region string, regions map[string]string) Topology {
	known := maps.Clone(regions)
	if known == nil {
		known = map[string]string{}
	}
	known[own] = region
	return Topology{own: own, region: region, regions: known}
}

// Own returns the daemon's own zone.
func (t Topology) OwnZone() string { return t.own }

// OwnRegion returns the daemon's own region.
func (t Topology) OwnRegion() string { return t.region }

// Zones returns the zones that are known, in order.
func (t Topology) Zones() []string { return slices.Sorted(maps.Keys(t.regions)) }

// Regions returns the regions that are known, in order.
func (t Topology) Regions() []string {
	return slices.Compact(slices.Sorted(maps.Values(t.regions)))
}

// RegionOf returns a zone's region, and false if the zone is not known.
func (t Topology) RegionOf(zone string) (string, bool) {
	region, known := t.regions[zone]
	return region, known
}

// DistanceTo returns how far a zone is. One that is not known counts as near: the
// settings of a fleet in one region may name no zones.
func (t Topology) DistanceTo(zone string) Distance {
	if zone == t.own {
		return SameZone
	}
	if region, known := t.regions[zone]; known && region != t.region {
		return OtherRegion
	}
	return SameRegion
}
