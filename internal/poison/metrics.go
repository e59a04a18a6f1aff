package poison

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the Prometheus metrics of a Guard.
type Metrics struct {
	registry prometheus.Registerer
	// ends counts back ends that ended under a content, as seen by this daemon.
	ends prometheus.Counter
	// cleared counts suspected contents that ended whole here.
	cleared prometheus.Counter
	// unconfirmed counts sends of suspects without a reservation in the store, and told the ends
	// that other daemons were told of in its place.
	unconfirmed, told prometheus.Counter
	lostRecords       prometheus.Counter
	// waits observes how long suspects waited for their turn.
	waits prometheus.Histogram
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "mintpulley", Subsystem: "poison", Name: name, Help: help})
	}
	m := &Metrics{
		registry:    registry,
		ends:        counter("ends_total", "Back ends that ended under a request of this daemon."),
		cleared:     counter("cleared_total", "Suspected contents that ended whole at this daemon."),
		unconfirmed: counter("unconfirmed_sends_total", "Suspected contents sent without a reservation, as the store did not take it."),
		told:        counter("told_total", "Ends and answers of back ends that other daemons were told of, as the store did not take them."),
		lostRecords: counter("records_lost_total", "Records that were not stored, as too many waited."),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "mintpulley", Subsystem: "poison", Name: "wait_seconds", Help: "How long suspected contents waited for their turn.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
	registry.MustRegister(m.ends, m.cleared, m.unconfirmed, m.told, m.lostRecords, m.waits)
	return m
}

// observe registers gauges of the contents that a table holds.
func (m *Metrics) observe(t *table) {
	gauge := func(state string, value func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "mintpulley", Subsystem: "poison", Name: "contents", Help: "Contents under which back ends ended, by state.",
			ConstLabels: prometheus.Labels{"state": state},
		}, func() float64 { return float64(value()) })
	}
	m.registry.MustRegister(
		gauge("suspected", func() int { suspected, _ := t.counts(time.Now()); return suspected }),
		gauge("refused", func() int { _, refused := t.counts(time.Now()); return refused }),
	)
}

func (m *Metrics) lost(records int) { m.lostRecords.Add(float64(records)) }
