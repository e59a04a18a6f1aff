package fanout

import "github.com/prometheus/client_golang/prometheus"

// outcome is the outcome of a read by way of a neighbour, as a metric label.
type outcome string

const (
	outcomeUnchanged outcome = "unchanged"
	outcomeDelivered outcome = "brought"
	outcomeUnable    outcome = "unable"
	outcomeSilent    outcome = "silent"
	outcomeStale     outcome = "stale"
	outcomeDelayed   outcome = "delayed"
	outcomeMalformed outcome = "malformed"
)

// Metrics counts reads by way of a neighbour.
type Metrics struct {
	reads   *prometheus.CounterVec
	answers *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "store_fanout", Name: "readings_total",
			Help: "Readings of large records that a neighbour was asked for, by outcome.",
		}, []string{"outcome"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "store_fanout", Name: "answers_total",
			Help: "Answers to other daemons that asked for large records, by result.",
		}, []string{"result"}),
	}
	registry.MustRegister(m.reads, m.answers)
	return m
}

func (m *Metrics) countRead(how outcome) { m.reads.WithLabelValues(string(how)).Inc() }

func (m *Metrics) countAnswer(what result) { m.answers.WithLabelValues(string(what)).Inc() }
