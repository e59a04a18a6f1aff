package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// readingOutcome is how one reading of a Watcher ended: a label of figures.
type readingOutcome string

const (
	readingChanged   readingOutcome = "changed"
	readingUnchanged readingOutcome = "unchanged"
	// readingFailed: the store refused it, or nothing came in time.
	readingFailed readingOutcome = "failed"
	// readingBrokenOff: it was broken off to be made anew.
	readingBrokenOff readingOutcome = "broken_off"
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
			Help: "Readings of what is followed in the store, by space and outcome.",
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

// report counts a reading, and logs one that brought nothing although it was waited for.
func (w *Watcher) report(outcome readingOutcome, took time.Duration, bytes int64, err error) {
	if w.Metrics != nil {
		w.Metrics.readings.WithLabelValues(w.Partition.Space, string(outcome)).Inc()
		if outcome != readingUnchanged {
			w.Metrics.times.WithLabelValues(w.Partition.Space, string(outcome)).Observe(took.Seconds())
		}
	}
	if outcome != readingFailed && outcome != readingBrokenOff {
		return
	}
	w.logger().Info().Str("space", w.Partition.Space).Str("outcome", string(outcome)).Dur("took", took).
		Int64("bytes", bytes).AnErr("error", err).Msg("Reading ended without an answer.")
}

// logger returns where the watcher logs to: nowhere unless it was given one.
func (w *Watcher) logger() *zerolog.Logger {
	if w.Logger == nil {
		nowhere := zerolog.Nop()
		return &nowhere
	}
	return w.Logger
}
