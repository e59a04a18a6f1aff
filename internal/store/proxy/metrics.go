package proxy

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts calls that went by way of another daemon.
type Metrics struct {
	calls *prometheus.CounterVec
}

// NewMetrics registers the proxy's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "store_proxy", Name: "calls_total",
		Help: "Calls to the store by way of another daemon, by side (asked: this daemon's own; served: made for others) and result.",
	}, []string{"side", "result"})}
	registry.MustRegister(m.calls)
	return m
}

func (m *Metrics) asked(result string) { m.calls.WithLabelValues("asked", result).Inc() }

func (m *Metrics) served(result string) { m.calls.WithLabelValues("served", result).Inc() }
