// Package residency keeps requests and the text of turns in the regions that operators
// allow for them.
//
// A route and a tenant may each name regions; where both do, a request is bound to
// those that both name. A bound request runs on back ends in its regions alone, and its
// text goes to no daemon outside of them but the one that its caller reached.
package residency

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// ReasonRegion is why back ends in other regions get nothing of a bound request.
const ReasonRegion = "region"

// Regions are those that a request is bound to. Nil means that any region may serve it,
// and an empty list that none may.
type Regions []string

// Bound returns the regions to which a request is bound by those that its route and its
// tenant name; one that names none allows all.
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

// IsBound tells whether the request is bound to regions.
func (r Regions) IsRestricted() bool { return r != nil }

// IsNowhere tells whether no region at all may serve the request.
func (r Regions) AllowsNone() bool { return r != nil && len(r) == 0 }

// Filter keeps bound requests from the back ends of other regions. One in a zone that
// the settings do not name is in no region that anybody knows.
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
