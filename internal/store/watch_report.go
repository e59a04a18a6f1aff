package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// readingOutcome is how a call of a Watcher's reading went: a label of figures.
type readingOutcome string

const (
	readingChanged   readingOutcome = "changed"
	readingUnchanged readingOutcome = "unchanged"
	// readingFailed: the store refused it, or it was given up.
	readingFailed readingOutcome = "failed"
	// readingLate: nothing came in time, and it was made once more beside.
	readingLate readingOutcome = "late"
)

// WatchMetrics counts the readings of all watchers of a daemon.
type WatchMetrics struct {
	readings *prometheus.CounterVec
	times    *prometheus.HistogramVec
}

// NewWatchMetrics registers the watchers' metrics.
func NewWatchMetrics(registry prometheus.Registerer) *WatchMetrics {
	m := &WatchMetrics{
		readings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "store_watch", Name: "readings_total",
			Help: "Calls of readings of what is followed in the store, by space and outcome.",
		}, []string{"space", "outcome"}),
		times: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "mintpulley", Subsystem: "store_watch", Name: "reading_seconds",
			Help:    "How long readings took that are not answered without a change, by space and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
		}, []string{"space", "outcome"}),
	}
	registry.MustRegister(m.readings, m.times)
	return m
}

// outcomeOfReading returns how a call of a reading ended.
func outcomeOfReading(answer readingAnswer) readingOutcome {
	switch {
	case answer.err != nil:
		return readingFailed
	case answer.isChange():
		return readingChanged
	}
	return readingUnchanged
}

// report counts a call of a reading, and logs one that failed.
func (r *reading) report(answer readingAnswer) {
	outcome := outcomeOfReading(answer)
	took := answer.endedAt.Sub(answer.call.began)
	r.count(outcome, took)
	if outcome == readingFailed {
		r.watcher.logger().Info().Str("space", r.watcher.Partition.Space).Dur("took", took).Int("underway", len(r.calls)).
			Int64("bytes", answer.call.progress.Bytes()).AnErr("error", answer.err).Msg("Reading not answered.")
	}
}

// reportLate counts a reading that is late, and logs it.
func (r *reading) reportLate(now time.Time) {
	took := now.Sub(r.began)
	r.count(readingLate, took)
	r.watcher.logger().Info().Str("space", r.watcher.Partition.Space).Dur("took", took).Int("underway", len(r.calls)).
		Int64("bytes", r.latest().progress.Bytes()).Msg("Reading late. Made once more beside.")
}

// count adds a call or a reading up.
func (r *reading) count(outcome readingOutcome, took time.Duration) {
	metrics, space := r.watcher.Metrics, r.watcher.Partition.Space
	if metrics == nil {
		return
	}
	metrics.readings.WithLabelValues(space, string(outcome)).Inc()
	if outcome != readingUnchanged {
		metrics.times.WithLabelValues(space, string(outcome)).Observe(took.Seconds())
	}
}

// logger returns where the watcher logs to: nowhere unless it was given one.
func (w *Watcher) logger() *zerolog.Logger {
	if w.Logger == nil {
		nowhere := zerolog.Nop()
		return &nowhere
	}
	return w.Logger
}
