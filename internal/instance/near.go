package instance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A service may have thousands of instances. A choice among all of them costs as much as there are,
// and spreads a daemon's requests over so many that hardly one finds an open connection or a prompt
// in the cache. So in a large service each query has a position on the ring of each zone, and only
// the instances that follow it are candidates. The position is the hash of the affinity key, which
// is the same for all daemons, or of the daemon's address. If all of them are busy, more are.

const (
	// scanLimit is the number of instances of a service up to which all are candidates.
	scanLimit = 256
	// firstSegment is the number of instances of each zone that are candidates at first, and
	// lastSegment the largest number before all instances of the service are.
	firstSegment = 8
	lastSegment  = 128
	// segmentGrowth is the factor by which the number grows while no candidate is acceptable.
	segmentGrowth = 4
	// acceptableCost is the cost from which a candidate has no free slot or is a last resort.
	acceptableCost = 1
)

// chooseNear returns the instance with the lowest cost near the query's position, nil if no instance
// of the service is admitted.
func (p *Pool) chooseNear(query *Query, now time.Time) *entry {
	service := p.indexOf(query)
	position := p.position(query)
	var best cheapest
	if preferred := p.byID[query.Preferred]; preferred != nil && preferred.Service == query.Service {
		p.consider(&best, preferred, query, now)
	}
	for count := firstSegment; count <= lastSegment; count *= segmentGrowth {
		if p.considerZones(&best, service, position, count, query, now) {
			return best.entry
		}
	}
	for _, e := range service.entries {
		p.consider(&best, e, query, now)
	}
	return best.entry
}

// position returns where the candidates of a query begin on each ring.
func (p *Pool) position(query *Query) uint64 {
	if query.AffinityKey != "" {
		return xxhash.Sum64String(query.AffinityKey)
	}
	return xxhash.Sum64String(p.options.Address)
}

// considerZones considers up to count instances of each zone, the daemon's own first, until one is
// acceptable, and reports whether one is.
func (p *Pool) considerZones(best *cheapest, service *serviceIndex, position uint64, count int, query *Query, now time.Time) bool {
	p.considerSegment(best, service.rings[p.options.Zone], position, count, query, now)
	for _, zone := range service.zones {
		if best.isAcceptable() {
			return true
		}
		if zone != p.options.Zone {
			p.considerSegment(best, service.rings[zone], position, count, query, now)
		}
	}
	return best.isAcceptable()
}

func (p *Pool) considerSegment(best *cheapest, ring []*entry, position uint64, count int, query *Query, now time.Time) {
	first, wrapped := segment(ring, position, count)
	for _, e := range first {
		p.consider(best, e, query, now)
	}
	for _, e := range wrapped {
		p.consider(best, e, query, now)
	}
}

func (c *cheapest) isAcceptable() bool { return c.entry != nil && c.cost < acceptableCost }
