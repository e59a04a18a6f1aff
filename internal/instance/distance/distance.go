// Package distance weighs the distance to an instance against the wait for a nearer one.
//
// The unit is time. A request to another zone or region costs the round trip, and the time
// that it may rather wait in order not to send its bytes there:
//
//	penalty = 2 x latency + kilobytes x time per kilobyte
//
// The pool expresses cost as a fraction of an instance's slots. A request to an instance
// without a free slot waits for about the service time, and longer with more requests
// queued before it. So the cost is the penalty divided by the service time, and requests
// spill over to another region once the wait in their own would exceed the penalty.
package distance

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// zoneLatency and regionLatency are the one-way latencies to another zone of the region
	// and to another region.
	zoneLatency   = time.Millisecond
	regionLatency = 8 * time.Millisecond
	// zonePerKilobyte is the penalty for sending a kilobyte to another zone, and
	// regionPerKilobyte that for another region. Between zones it is only meant to break
	// ties: a higher penalty would overload the zone with the most clients while others have
	// free slots, as a daemon knows only its own requests. A request of 20 KB may wait 4 ms for
	// it. Between regions operators pay four times as much for a gigabyte.
	zonePerKilobyte   = 200 * time.Microsecond
	regionPerKilobyte = 4 * zonePerKilobyte
	kilobyte          = 1000
	// defaultServiceTime applies until the service time is known.
	defaultServiceTime = 250 * time.Millisecond
	// minServiceTime replaces shorter service times: the load of an instance is not known
	// more precisely than that.
	minServiceTime = 20 * time.Millisecond
)

// Scorer adds the cost of the distance to an instance. It implements instance.Scorer.
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

// Penalty returns how long a request of the given size may wait rather than be sent over
// the distance.
func Penalty(distance zone.Distance, bytes int) time.Duration {
	switch distance {
	case zone.SameRegion:
		return 2*zoneLatency + transferPenalty(zonePerKilobyte, bytes)
	case zone.OtherRegion:
		return 2*regionLatency + transferPenalty(regionPerKilobyte, bytes)
	}
	return 0
}

// transferPenalty returns the part of the penalty for the size of a request.
func transferPenalty(perKilobyte time.Duration, bytes int) time.Duration {
	return time.Duration(float64(perKilobyte) * float64(bytes) / kilobyte)
}
