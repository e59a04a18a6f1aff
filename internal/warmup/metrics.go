package warmup

import "github.com/prometheus/client_golang/prometheus"

// What became of a cold instance when one was chosen for a request.
const (
	outcomeTaken = "taken"
	// outcomeOthers: other daemons send it requests.
	outcomeOthers = "others_share"
	// outcomeSpent: this daemon's share of the last window is used up.
	outcomeSpent = "share_spent"
	// outcomeUnconfirmed: which daemons there are was not read lately.
	outcomeUnconfirmed = "roster_unconfirmed"
	// outcomeNew: this daemon is on record for too short a time.
	outcomeNew = "daemon_new"
)

// Metrics counts what became of cold instances. A nil one counts nothing.
type Metrics struct{ considered map[string]prometheus.Counter }

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "warmup", Name: "considered_total",
		Help: "Cold instances that came into question for a request, by what became of that (taken, or why it was passed over).",
	}, []string{"outcome"})
	registry.MustRegister(counts)
	m := &Metrics{considered: map[string]prometheus.Counter{}}
	for _, outcome := range []string{outcomeTaken, outcomeOthers, outcomeSpent, outcomeUnconfirmed, outcomeNew} {
		m.considered[outcome] = counts.WithLabelValues(outcome)
	}
	return m
}

func (m *Metrics) note(outcome string) {
	if m != nil {
		m.considered[outcome].Inc()
	}
}
