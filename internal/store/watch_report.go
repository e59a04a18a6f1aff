package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// readingOutcome is how a call of a Watcher's read ended, as a metric label.
type readingOutcome string

const (
	readingChanged   readingOutcome = "changed"
	readingUnchanged readingOutcome = "unchanged"
	// readingFailed: the store refused the call, or the call was canceled.
	readingFailed readingOutcome = "failed"
	// readingLate: nothing arrived in time, and the read was sent again in parallel.
	readingLate readingOutcome = "late"
)

// WatchMetrics counts the reads of all watchers of a daemon.
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

// outcomeOfReading classifies how a call of a read ended.
func outcomeOfReading(answer readingAnswer) readingOutcome {
	switch {
	case answer.err != nil:
		return readingFailed
	case answer.isChange():
		return readingChanged
	}
	return readingUnchanged
}

// report counts a finished call of a read, and logs it if it failed.
func (r *reading) report(answer readingAnswer) {
	outcome := outcomeOfReading(answer)
	took := answer.endedAt.Sub(answer.call.began)
	r.count(outcome, took)
	if outcome == readingFailed {
		r.watcher.logger().Info().Str("space", r.watcher.Partition.Space).Dur("took", took).Int("underway", len(r.calls)).
			Int64("bytes", answer.call.progress.Bytes()).AnErr("error", answer.err).Msg("Read failed.")
	}
}

// reportLate counts and logs a read that is late.
func (r *reading) reportLate(now time.Time) {
	took := now.Sub(r.began)
	r.count(readingLate, took)
	r.watcher.logger().Info().Str("space", r.watcher.Partition.Space).Dur("took", took).Int("underway", len(r.calls)).
		Int64("bytes", r.latest().progress.Bytes()).Msg("Read is late. Sent again in parallel.")
}

// count updates the metrics, if there are any.
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

// logger returns the watcher's logger, or one that discards everything.
func (w *Watcher) logger() *zerolog.Logger {
	if w.Logger == nil {
		nowhere := zerolog.Nop()
		return &nowhere
	}
	return w.Logger
}
