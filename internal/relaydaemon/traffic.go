package relaydaemon

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// traffic counts the bytes sent to other daemons by kind of message and distance, as traffic
// between zones and regions costs money.
type traffic struct {
	topology zone.Topology
	// members looks a daemon up by address. It is nil until the membership exists; messages before
	// that count as same_region.
	members func(address string) (membership.Member, bool)
	bytes   *prometheus.CounterVec
	// counters caches the counters of bytes by trafficKey, since a lookup by labels is slower.
	counters sync.Map
}

// trafficKey identifies one counter.
type trafficKey struct {
	kind     peer.Kind
	distance zone.Distance
}

func newTraffic(topology zone.Topology, registry prometheus.Registerer) *traffic {
	t := &traffic{topology: topology, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley",
		Subsystem: "peer",
		Name:      "sent_bytes_total",
		Help:      "Bytes sent to other daemons, by kind of message and distance.",
	}, []string{"kind", "distance"})}
	registry.MustRegister(t.bytes)
	return t
}

// count adds a message to another daemon.
func (t *traffic) count(to structs.DaemonID, kind peer.Kind, bytes int) {
	key := trafficKey{kind: kind, distance: zone.SameRegion}
	if t.members != nil {
		if member, known := t.members(to.Address()); known {
			key.distance = t.topology.DistanceTo(string(member.Daemon.Zone))
		}
	}
	counter, known := t.counters.Load(key)
	if !known {
		counter, _ = t.counters.LoadOrStore(key, t.bytes.WithLabelValues(string(key.kind), key.distance.String()))
	}
	counter.(prometheus.Counter).Add(float64(bytes))
}
