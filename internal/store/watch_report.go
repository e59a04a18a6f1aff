package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// readOutcome is how a call of a Watcher's read ended, as a metric label.
type readOutcome string

const (
	readChanged   readOutcome = "changed"
	readUnchanged readOutcome = "unchanged"
	// readFailed: the store refused the call, or the call was canceled.
	readFailed readOutcome = "failed"
	// readLate: nothing arrived in time, and the read was sent again in parallel.
	readLate readOutcome = "late"
)

// WatchMetrics counts the reads of all watchers of a daemon.
type WatchMetrics struct {
	reads     *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

// NewWatchMetrics registers the watchers' metrics.
func NewWatchMetrics(registry prometheus.Registerer) *WatchMetrics {
	m := &WatchMetrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "store_watch", Name: "readings_total",
			Help: "Calls of readings of what is followed in the store, by space and outcome.",
		}, []string{"space", "outcome"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "mintpulley", Subsystem: "store_watch", Name: "reading_seconds",
			Help:    "How long readings took that are not answered without a change, by space and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
		}, []string{"space", "outcome"}),
	}
	registry.MustRegister(m.reads, m.durations)
	return m
}

// outcomeOfRead classifies how a call of a read ended.
func outcomeOfRead(answer readAnswer) readOutcome {
	switch {
	case answer.err != nil:
		return readFailed
	case answer.isChange():
		return readChanged
	}
	return readUnchanged
}

// report counts a finished call of a read, and logs it if it failed.
func (r *hedgedRead) report(answer readAnswer) {
	outcome := outcomeOfRead(answer)
	took := answer.endedAt.Sub(answer.call.began)
	r.count(outcome, took)
	if outcome == readFailed {
		r.watcher.logger().Info().Str("space", r.watcher.Partition.Space).Dur("took", took).Int("underway", len(r.calls)).
			Int64("bytes", answer.call.progress.Bytes()).AnErr("error", answer.err).Msg("Read failed.")
	}
}

// reportLate counts and logs a read that is late.
func (r *hedgedRead) reportLate(now time.Time) {
	took := now.Sub(r.began)
	r.count(readLate, took)
	r.watcher.logger().Info().Str("space", r.watcher.Partition.Space).Dur("took", took).Int("underway", len(r.calls)).
		Int64("bytes", r.latest().progress.Bytes()).Msg("Read is late. Sent again in parallel.")
}

// count updates the metrics, if there are any.
func (r *hedgedRead) count(outcome readOutcome, took time.Duration) {
	metrics, space := r.watcher.Metrics, r.watcher.Partition.Space
	if metrics == nil {
		return
	}
	metrics.reads.WithLabelValues(space, string(outcome)).Inc()
	if outcome != readUnchanged {
		metrics.durations.WithLabelValues(space, string(outcome)).Observe(took.Seconds())
	}
}

// logger returns the watcher's logger, or one that discards everything.
func (w *Watcher) logger() *zerolog.Logger {
	if w.Logger == nil {
		discard := zerolog.Nop()
		return &discard
	}
	return w.Logger
}
