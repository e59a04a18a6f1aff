// Package residency keeps requests and the text of turns in the regions that operators
// allow for them.
//
// A route and a tenant may each name regions; where both do, a request is restricted to the
// intersection. A restricted request runs only on back ends in its regions, and its text is
// sent to no daemon outside of them except the one that the client is connected to.
package residency

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// ReasonRegion is the reason of Filter.
const ReasonRegion = "region"

// Regions are the regions to which a request is restricted. Nil means that any region may
// serve it, and an empty list that none may.
type Regions []string

// AllowedRegions returns the regions to which a request is restricted by its route and its
// tenant; an empty argument allows all regions.
func AllowedRegions(route, tenant []string) Regions {
	switch {
	case len(route) == 0 && len(tenant) == 0:
		return nil
	case len(route) == 0:
		return tenant
	case len(tenant) == 0:
		return route
	}
	both := Regions{}
	for _, region := range route {
		if slices.Contains(tenant, region) {
			both = append(both, region)
		}
	}
	return both
}

// IsRestricted reports whether the request is restricted to regions.
func (r Regions) IsRestricted() bool { return r != nil }

// AllowsNone reports whether no region may serve the request.
func (r Regions) AllowsNone() bool { return r != nil && len(r) == 0 }

// Filter rejects back ends outside of the regions to which a request is restricted. A back
// end in a zone that the settings do not name is in no known region.
type Filter struct{ Topology zone.Topology }

// Reason implements instance.Filter.
func (Filter) Reason() string { return ReasonRegion }

// Admits implements instance.Filter.
func (f Filter) Admits(query *instance.Query, candidate *instance.Instance, _ time.Time) bool {
	if query == nil || query.Regions == nil {
		return true
	}
	region, known := f.Topology.RegionOf(candidate.Zone)
	return known && slices.Contains(query.Regions, region)
}
