// Package distance weighs how far an instance is against the wait for a nearer one.
//
// The unit is time. A request to another zone or region costs the latency there and back,
// and the price of its bytes as the wait that it is worth to save them:
//
//	penalty = 2 x latency + kilobytes x time per kilobyte
//
// The pool reckons cost in shares of an instance's slots. A request that comes to an
// instance without a free slot waits for about the service time, and for longer the more
// requests are ahead of it. So the cost is the penalty divided by the service time, and a
// request goes to another region once its wait in its own would exceed the penalty.
package distance

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// zoneLatency and regionLatency are the one-way latencies to another zone of the
	// region and to another region: those of buildings in one town, and of places some
	// hundred kilometres apart.
	zoneLatency   = time.Millisecond
	regionLatency = 8 * time.Millisecond
	// zonePerKilobyte is how long a request may rather wait than send a kilobyte to
	// another zone, and regionPerKilobyte the same for another region, where operators pay
	// four times as much (1,000 a gigabyte in place of 250). For a request of 20 KB that is
	// 4 ms between zones: with the latency 6 ms, or a third of one request more at an
	// instance of sixteen slots whose service time is 300 ms. That breaks ties. More would
	// fill the zone with most callers while others have free slots, as a daemon knows its
	// own requests only.
	zonePerKilobyte   = 200 * time.Microsecond
	regionPerKilobyte = 4 * zonePerKilobyte
	// kilobyte is in bytes.
	kilobyte = 1000
	// defaultServiceTime is used until a service's is known.
	defaultServiceTime = 250 * time.Millisecond
	// minServiceTime is used for a shorter one: the load of an instance is not known more
	// exactly than that.
	minServiceTime = 20 * time.Millisecond
)

// Scorer counts the distance to an instance against it. It implements instance.Scorer.
type Scorer struct{ Topology zone.Topology }

// Cost implements instance.Scorer.
func (s Scorer) Cost(query *instance.Query, candidate *instance.Instance, _ time.Time) float64 {
	penalty := Penalty(s.Topology.DistanceTo(candidate.Zone), query.Bytes)
	if penalty == 0 {
		return 0
	}
	serviceTime := query.ServiceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	return float64(penalty) / float64(max(serviceTime, minServiceTime))
}

// Penalty is how long a request of some bytes may rather wait than go a distance.
func Penalty(distance zone.Distance, bytes int) time.Duration {
	switch distance {
	case zone.SameRegion:
		return 2*zoneLatency + price(zonePerKilobyte, bytes)
	case zone.OtherRegion:
		return 2*regionLatency + price(regionPerKilobyte, bytes)
	}
	return 0
}

func price(perKilobyte time.Duration, bytes int) time.Duration {
	return time.Duration(float64(perKilobyte) * float64(bytes) / kilobyte)
}
