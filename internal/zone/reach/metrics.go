package reach

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	namespace = "mintpulley"
	subsystem = "zone"
)

// Metrics shows which zones are cut off. The values of the zone label are the zones that
// the settings name.
type Metrics struct {
	cutOff   *prometheus.GaugeVec
	found    *prometheus.CounterVec
	isolated prometheus.Gauge
	probes   prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		cutOff:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "cut_off", Help: "1 while the daemon takes itself to be cut off from the zone."}, []string{"zone"}),
		found:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "found_cut_off_total", Help: "How often the zone was found cut off."}, []string{"zone"}),
		isolated: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "isolated", Help: "1 while the daemon takes itself to be cut off from the store and most of the fleet."}),
		probes:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "questions_total", Help: "Daemons asked whether they can be reached."}),
	}
	registry.MustRegister(m.cutOff, m.found, m.isolated, m.probes)
	return m
}

func (m *Metrics) changed(change zone.ReachabilityChange) {
	value := 0.0
	if change.CutOff {
		value = 1
	}
	if change.Zone == "" {
		m.isolated.Set(value)
		return
	}
	m.cutOff.WithLabelValues(change.Zone).Set(value)
	if change.CutOff {
		m.found.WithLabelValues(change.Zone).Inc()
	}
}
