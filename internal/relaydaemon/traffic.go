package relaydaemon

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

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
	logger   zerolog.Logger
	window   trafficWindow
}

// trafficLogInterval is the interval whose messages are summed up in one log line.
const trafficLogInterval = 10 * time.Second

// trafficWindow sums up the messages of the current interval. The zero value is ready.
type trafficWindow struct {
	mutex   sync.Mutex
	startAt time.Time
	sums    map[peer.Kind]trafficSum
}

// trafficSum is the number of messages of one kind and their bytes.
type trafficSum struct{ messages, bytes int }

// add adds a message. If the interval is over, it returns its sums and how long it took, and begins
// another.
func (w *trafficWindow) add(kind peer.Kind, bytes int, now time.Time) (finished map[peer.Kind]trafficSum, took time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if took = now.Sub(w.startAt); w.sums == nil || took >= trafficLogInterval {
		finished, w.sums, w.startAt = w.sums, map[peer.Kind]trafficSum{}, now
	}
	sum := w.sums[kind]
	w.sums[kind] = trafficSum{sum.messages + 1, sum.bytes + bytes}
	return finished, took
}

// logWindow logs the messages of an interval by kind, if there is one.
func (t *traffic) logWindow(sums map[peer.Kind]trafficSum, took time.Duration) {
	if sums == nil {
		return
	}
	event := t.logger.Info().Dur("took", took)
	for _, kind := range slices.Sorted(maps.Keys(sums)) {
		event.Ints(string(kind), []int{sums[kind].messages, sums[kind].bytes})
	}
	event.Msg("Sent to other daemons: messages, bytes.")
}

// trafficKey identifies one counter.
type trafficKey struct {
	kind     peer.Kind
	distance zone.Distance
}

func newTraffic(topology zone.Topology, registry prometheus.Registerer, logger zerolog.Logger) *traffic {
	t := &traffic{topology: topology, logger: logger, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
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
	t.logWindow(t.window.add(kind, bytes, time.Now()))
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
