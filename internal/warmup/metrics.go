package warmup

import "github.com/prometheus/client_golang/prometheus"

// Outcomes for a cold instance in the choice for a request, as values of a metric's label.
const (
	outcomeTaken = "taken"
	// outcomeOthers: only other daemons send requests to the instance.
	outcomeOthers = "others_share"
	// outcomeSpent: this daemon's share for the window is used up.
	outcomeSpent = "share_spent"
	// outcomeUnconfirmed: the registry of daemons was not read lately.
	outcomeUnconfirmed = "roster_unconfirmed"
	// outcomeNew: this daemon has not been registered for long enough.
	outcomeNew = "daemon_new"
)

// Metrics counts the outcomes for cold instances. A nil Metrics counts nothing.
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
