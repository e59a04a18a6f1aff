package relaydaemon

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// traffic counts the bytes that this daemon sends to others, by kind of message and by
// distance: those between zones and regions cost money.
type traffic struct {
	topology zone.Topology
	// members is set once membership is there; what is sent before counts as near.
	members func(address string) (membership.Member, bool)
	bytes   *prometheus.CounterVec
	// counters are those of bytes by trafficKey: finding them by labels takes longer.
	counters sync.Map
}

// trafficKey names one counter.
type trafficKey struct {
	kind     peer.Kind
	distance zone.Distance
}

func newTraffic(topology zone.Topology, figures prometheus.Registerer) *traffic {
	t := &traffic{topology: topology, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley",
		Subsystem: "peer",
		Name:      "sent_bytes_total",
		Help:      "Bytes sent to other daemons, by kind of message and distance.",
	}, []string{"kind", "distance"})}
	figures.MustRegister(t.bytes)
	return t
}

// count takes note of a message to another daemon.
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
