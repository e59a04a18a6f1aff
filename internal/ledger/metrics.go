package ledger

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/storecapacity"
)

// Metrics are the ledger's metrics.
type Metrics struct {
	claims   prometheus.Histogram
	losses   *prometheus.CounterVec
	skipped  prometheus.Counter
	silences prometheus.Counter
	// doubts counts how often a holder's ownership of its shard was in doubt, by cause.
	doubts *prometheus.CounterVec
	// confirms counts shards that a claimant left to their confirmed holder, and requests
	// that were forwarded to one.
	confirms *prometheus.CounterVec
	grants   *prometheus.CounterVec
	// handovers counts planned ones, by the successor's last answer.
	handovers *prometheus.CounterVec
	// verdicts counts those on requests of limited tenants, by reason.
	verdicts *prometheus.CounterVec
	trims    *prometheus.CounterVec
	// refusedTurns counts those refused because the store was full, and refusedPrograms
	// those refused because it was nearly full.
	refusedTurns, refusedPrograms prometheus.Counter
	// storeBytes is the number of bytes that the shards held here use in the store, by
	// purpose.
	storeBytes *prometheus.GaugeVec
	// storeFill is the estimated usage of the store by the whole fleet, and the store's
	// bound.
	storeFill *prometheus.GaugeVec
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
	m.doubts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "ownership_doubts_total",
		Help: "Times at which a holder had no proof that it still holds its shard, and made an append before it decided: the proof had expired, or the daemon was paused.",
	}, []string{"cause"})
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
	m.refusedTurns = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "turns_store_full_total",
		Help: "Turns that were refused as the store was full.",
	})
	m.refusedPrograms = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "programs_store_crowded_total",
		Help: "Programs that were turned away as the store has no room for what they leave behind.",
	})
	m.storeBytes = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "store_bytes",
		Help: "Bytes that the shards held here take in the store, by purpose.",
	}, []string{"purpose"})
	m.storeFill = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "mintpulley", Subsystem: "ledger", Name: "store_fill_bytes",
		Help: "What the whole fleet keeps in the store as this daemon takes it (kept), the store's bound (bound), and what could be kept beside (spare; below 0 programs are held back).",
	}, []string{"what"})
	registry.MustRegister(m.doubts, m.refusedPrograms, m.storeBytes, m.storeFill, m.refusedTurns, m.claims, m.losses, m.skipped, m.silences, m.confirms, m.grants, m.handovers, m.verdicts, m.trims)
	return m
}

func (m *Metrics) claimed(took time.Duration) { m.claims.Observe(took.Seconds()) }

func (m *Metrics) granted(by string) { m.grants.WithLabelValues(by).Inc() }

func (m *Metrics) handedOver(with result) { m.handovers.WithLabelValues(string(with)).Inc() }

func (m *Metrics) decidedQuota(verdict quota.Verdict) {
	m.verdicts.WithLabelValues(string(verdict.Reason)).Inc()
}

func (m *Metrics) malformed() { m.skipped.Inc() }

func (m *Metrics) leftToHolder() { m.confirms.WithLabelValues("kept").Inc() }

func (m *Metrics) forwarded() { m.confirms.WithLabelValues("passed_on").Inc() }

func (m *Metrics) ownershipDoubted(paused bool) {
	cause := "expired"
	if paused {
		cause = "paused"
	}
	m.doubts.WithLabelValues(cause).Inc()
}

func (m *Metrics) silent() { m.silences.Inc() }

func (m *Metrics) refusedFull() { m.refusedTurns.Inc() }

func (m *Metrics) refusedCrowded() { m.refusedPrograms.Inc() }

// updateStoreBytes records that the sizes of a held shard have changed.
func (m *Metrics) updateStoreBytes(before, now shardSizes) {
	m.storeBytes.WithLabelValues("turns").Add(float64(now.turns - before.turns))
	m.storeBytes.WithLabelValues("accounts").Add(float64(now.accounts - before.accounts))
	m.storeBytes.WithLabelValues("history").Add(float64(now.history - before.history))
}

// updateStoreFill records the estimated usage of the store by the whole fleet.
func (m *Metrics) updateStoreFill(kept storecapacity.Profile, bound float64, plan storecapacity.Plan) {
	m.storeFill.WithLabelValues("kept").Set(float64(kept.Bytes()))
	m.storeFill.WithLabelValues("bound").Set(bound)
	m.storeFill.WithLabelValues("spare").Set(plan.Spare)
}

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
