package ledger

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/quota"
)

// Metrics counts what the ledger does.
type Metrics struct {
	claims   prometheus.Histogram
	losses   *prometheus.CounterVec
	skipped  prometheus.Counter
	silences prometheus.Counter
	// confirms are shards that a claimant left to their holder by its word, and
	// requests that were passed on to one.
	confirms *prometheus.CounterVec
	grants   *prometheus.CounterVec
	// handovers are planned ones, by the successor's last word.
	handovers *prometheus.CounterVec
	// verdicts are those on requests of limited tenants, by reason.
	verdicts *prometheus.CounterVec
	trims    *prometheus.CounterVec
	// unkept are turns that were refused as the store was full.
	unkept prometheus.Counter
}

// NewMetrics registers the ledger's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		claims: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "mintpulley", Subsystem: "ledger", Name: "claim_seconds",
			Help: "Time to take a shard over.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
		}),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "ledger", Name: "shards_lost_total",
			Help: "Shards that this daemon lost, by cause.",
		}, []string{"cause"}),
		skipped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "ledger", Name: "records_skipped_total",
			Help: "Records that could not be understood.",
		}),
		silences: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "mintpulley", Subsystem: "ledger", Name: "holders_silent_total",
			Help: "Requests that a shard's holder did not answer.",
		}),
	}
	m.grants = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "turns_total",
		Help: "Turns that began, by what they waited for.",
	}, []string{"by"})
	m.confirms = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "holders_confirmed_total",
		Help: "Claims that were left off because the holder answered (kept), and requests passed on to it (passed_on).",
	}, []string{"what"})
	m.handovers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "handovers_total",
		Help: "Shards that were to be passed on as planned, by what the successor said last.",
	}, []string{"result"})
	m.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "quota", Name: "verdicts_total",
		Help: "Requests of limited tenants that this daemon decided as the limit's owner, by reason.",
	}, []string{"reason"})
	m.trims = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "history_trims_total",
		Help: "Calls to trim the history of shards in the store, by outcome.",
	}, []string{"outcome"})
	m.unkept = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "turns_store_full_total",
		Help: "Turns that were refused as the store was full.",
	})
	registry.MustRegister(m.unkept, m.claims, m.losses, m.skipped, m.silences, m.confirms, m.grants, m.handovers, m.verdicts, m.trims)
	return m
}

func (m *Metrics) claimed(took time.Duration) { m.claims.Observe(took.Seconds()) }

func (m *Metrics) granted(by string) { m.grants.WithLabelValues(by).Inc() }

func (m *Metrics) handedOver(with result) { m.handovers.WithLabelValues(string(with)).Inc() }

func (m *Metrics) decidedQuota(verdict quota.Verdict) {
	m.verdicts.WithLabelValues(string(verdict.Reason)).Inc()
}

func (m *Metrics) malformed() { m.skipped.Inc() }

func (m *Metrics) kept() { m.confirms.WithLabelValues("kept").Inc() }

func (m *Metrics) passedOn() { m.confirms.WithLabelValues("passed_on").Inc() }

func (m *Metrics) silent() { m.silences.Inc() }

func (m *Metrics) refusedFull() { m.unkept.Inc() }

func (m *Metrics) trimmed(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.trims.WithLabelValues(outcome).Inc()
}

func (m *Metrics) lost(err error) {
	cause := "store"
	if isSuperseded(err) {
		cause = "superseded"
	}
	m.losses.WithLabelValues(cause).Inc()
}
