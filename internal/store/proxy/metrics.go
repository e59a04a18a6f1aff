package proxy

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts calls made by way of another daemon.
type Metrics struct {
	calls *prometheus.CounterVec
	late  prometheus.Counter
}

// NewMetrics registers the proxy's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "store_proxy", Name: "calls_total",
		Help: "Calls to the store by way of another daemon, by side (asked: this daemon's own; served: made for others) and result.",
	}, []string{"side", "result"})}
	m.late = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "store_proxy", Name: "late_calls_total",
		Help: "Calls that were not answered in time while the store answered others.",
	})
	registry.MustRegister(m.calls, m.late)
	return m
}

func (m *Metrics) countLate() { m.late.Inc() }

func (m *Metrics) countAsked(result string) { m.calls.WithLabelValues("asked", result).Inc() }

func (m *Metrics) countServed(result string) { m.calls.WithLabelValues("served", result).Inc() }
