// Package distance weighs how far an instance is against what a request would wait at a
// nearer one: by zone, then by region.
//
// All is reckoned in time. An instance farther off costs the way there and back and, for
// the bytes that cross zones or regions, what their price is worth:
//
//	cost = 2 x way + kilobytes x time per kilobyte        milliseconds
//
// A nearer instance whose slots are all taken makes the request wait for as long as one
// usually stays there, and the more requests are ahead of it the longer. So the cost in
// shares of an instance's slots, as the pool counts, is that time by the usual stay. A
// request goes to another region once what it would wait in its own exceeds what the way
// and the bytes cost.
package distance

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// regionWay and zoneWay are one way to another region, or to another zone of the
	// region: what platforms tell of places some hundred kilometres apart, and of
	// buildings of one town.
	regionWay = 8 * time.Millisecond
	zoneWay   = time.Millisecond
	// zoneKilobyte is how long a request may rather wait than send a kilobyte to another
	// zone, and regionKilobyte the same to another region. Operators pay four times as
	// much between regions (250 and 1,000 a gigabyte). A turn of 20 KB counts 6 ms
	// between zones, a fiftieth of a stay of 300 ms: as much as a third of one request
	// more at an instance of sixteen slots. That breaks ties; more would fill the zone that
	// has most callers while others have places, as a daemon sees its own requests only.
	zoneKilobyte   = 200 * time.Microsecond
	regionKilobyte = 4 * zoneKilobyte
	kilobyte       = 1000
	// usualStay is taken for a service's until it is known, and shortestStay is taken
	// for a shorter one: less is lost in what the load is known by.
	usualStay    = 250 * time.Millisecond
	shortestStay = 20 * time.Millisecond
)

// Scorer is an instance.Scorer.
type Scorer struct{ Topology zone.Topology }

// Cost implements instance.Scorer.
func (s Scorer) Cost(query *instance.Query, candidate *instance.Instance, _ time.Time) float64 {
	extra := Extra(s.Topology.DistanceTo(candidate.Zone), query.Bytes)
	if extra == 0 {
		return 0
	}
	stay := query.Stay
	if stay == 0 {
		stay = usualStay
	}
	return float64(extra) / float64(max(stay, shortestStay))
}

// Extra is what a distance costs a request of some bytes, in time that it may rather wait.
func Extra(distance zone.Distance, bytes int) time.Duration {
	switch distance {
	case zone.SameRegion:
		return 2*zoneWay + price(zoneKilobyte, bytes)
	case zone.OtherRegion:
		return 2*regionWay + price(regionKilobyte, bytes)
	}
	return 0
}

func price(perKilobyte time.Duration, bytes int) time.Duration {
	return time.Duration(float64(perKilobyte) * float64(bytes) / kilobyte)
}
