// Package metrics defines the Prometheus metrics of a daemon. To bound their
// cardinality, no label has a tenant, program or request as its value.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of all metric names.
const namespace = "mintpulley"

// durationBuckets range from 1 ms to 5 min, in seconds.
var durationBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 300}

// Callers holds the metrics of callers' requests. Its methods are safe for
// concurrent use; a nil Callers records nothing.
type Callers struct {
	requests    *prometheus.CounterVec
	durations   *prometheus.HistogramVec
	firstText   prometheus.Histogram
	slowReaders prometheus.Counter
}

// NewCallers registers the metrics of callers.
func NewCallers(registry prometheus.Registerer) *Callers {
	c := &Callers{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: "callers", Name: "requests_total",
			Help: "Requests answered, by route, HTTP status, result and reason.",
		}, []string{"route", "status", "result", "reason"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: "callers", Name: "request_seconds",
			Help: "Time from a request's headers to the end of its answer.", Buckets: durationBuckets,
		}, []string{"route"}),
		firstText: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: "callers", Name: "first_text_seconds",
			Help: "Time from a request's headers to the first text of its answer.", Buckets: durationBuckets,
		}),
		slowReaders: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: "callers", Name: "slow_readers_total",
			Help: "Streams that were ended because the caller read too slowly.",
		}),
	}
	registry.MustRegister(c.requests, c.durations, c.firstText, c.slowReaders)
	return c
}

// Request records an answered request and its duration.
func (c *Callers) Request(route string, status int, result, reason string, took time.Duration) {
	if c == nil {
		return
	}
	c.requests.WithLabelValues(route, strconv.Itoa(status), result, reason).Inc()
	c.durations.WithLabelValues(route).Observe(took.Seconds())
}

// FirstText records the time from a request's headers to the first text of its
// answer.
func (c *Callers) FirstText(after time.Duration) {
	if c != nil {
		c.firstText.Observe(after.Seconds())
	}
}

// SlowReader counts a stream that was ended because its caller read too slowly.
func (c *Callers) SlowReader() {
	if c != nil {
		c.slowReaders.Inc()
	}
}
