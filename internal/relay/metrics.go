package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/ledger"
)

const (
	namespace = "mintpulley"
	subsystem = "relay"
)

// Metrics are the relay's Prometheus metrics.
type Metrics struct {
	answers        *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	offersNotTaken *prometheus.CounterVec
	furtherRuns    *prometheus.CounterVec
	brokenRuns     *prometheus.CounterVec
	unwatchedRuns  prometheus.Counter
	latency        *prometheus.HistogramVec
	firstEvents    prometheus.Histogram
	begins         *prometheus.HistogramVec
	records        *prometheus.HistogramVec
	// resumptions counts the streams that an instance went on with, by where they were begun
	// and by the software version compared with the one that began them.
	resumptions  *prometheus.CounterVec
	droppedLines prometheus.Counter
	// beliefAges observes, at each offer, how long ago the data that it is based on was
	// confirmed, by kind of data.
	beliefAges *prometheus.HistogramVec
	// givenUp counts offers that were given up, by zone and by whether the zone or only the
	// instance was unreachable.
	givenUp *prometheus.CounterVec
	// heldUpRequests counts requests that were held up, by the last condition that did and
	// by outcome.
	heldUpRequests *prometheus.CounterVec
	tenants        tenantMetrics
	// endings counts requests that ended, by kind and cause; open is the number of those
	// that have not, and faults counts bugs of the code that ends them.
	endings *prometheus.CounterVec
	open    prometheus.Gauge
	faults  *prometheus.CounterVec
}

// NewMetrics returns the relay's metrics, registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers:        newCounterVec("answers_total", "Back ends' answers passed on, by route kind and status.", "kind", "status"),
		refusals:       newCounterVec("refusals_total", "Requests ended by the system itself, by reason.", "reason"),
		offersNotTaken: newCounterVec("offers_not_taken_total", "Offers that an instance did not run, by cause.", "cause"),
		furtherRuns:    newCounterVec("further_runs_total", "Requests run again or streams taken up.", "cause"),
		brokenRuns:     newCounterVec("runs_broken_total", "Runs that broke off, by what became of their back end.", "back_end"),
		unwatchedRuns: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "canceled_runs_unwatched_total",
			Help: "Runs canceled by this side after which nobody watched whether their back end ended, as too many were watched.",
		}),
		latency: newHistogramVec("answer_seconds", "From a request read to its answer ended.", "kind"),
		firstEvents: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "first_event_seconds", Help: "From a request read to its first event.", Buckets: buckets(),
		}),
		begins:  newHistogramVec("turn_begin_seconds", "Time to reserve a turn's tokens, by outcome.", "outcome"),
		records: newHistogramVec("turn_record_seconds", "Time until the end of a kept turn was on record, by outcome.", "outcome"),
		resumptions: newCounterVec("streams_resumed_total",
			"Streams that a back end went on with, by where they were begun and by its software version compared with the one that began them.", "begun_by", "version"),
		droppedLines: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "log_lines_left_out_total", Help: "Log lines of the ordinary way that sampling left out.",
		}),
		beliefAges:     newHistogramVec("belief_age_seconds", "At each offer, since when what it rests on was not confirmed, by what that is.", "of"),
		givenUp:        newCounterVec("offers_given_up_total", "Offers given up as their back end is not reached, by its zone and by what is not reached.", "zone", "what"),
		heldUpRequests: newCounterVec("held_up_total", "Requests that were held up, by what held them up last and by what became of them.", "by", "outcome"),
		tenants:        newTenantMetrics(),
		endings:        newCounterVec("endings_total", "Requests that ended, by kind and cause.", "ending", "cause"),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "open_requests", Help: "Requests that have not ended.",
		}),
		faults: newCounterVec("handling_faults_total", "Requests left without an ending, ended twice, or whose handler panicked.", "fault"),
	}
	registry.MustRegister(
		m.answers, m.refusals, m.offersNotTaken, m.furtherRuns, m.brokenRuns, m.unwatchedRuns, m.latency, m.firstEvents, m.begins, m.records, m.resumptions,
		m.droppedLines, m.beliefAges, m.givenUp, m.heldUpRequests, m.tenants.requests, m.endings, m.open, m.faults,
	)
	return m
}

func buckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 14) }

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: buckets()}, labels)
}

func (m *Metrics) answered(call *Call, status int) {
	kind := string(call.Route.Kind)
	m.answers.WithLabelValues(kind, strconv.Itoa(status)).Inc()
	m.tenants.count(call, tenantAnswered)
	m.latency.WithLabelValues(kind).Observe(time.Since(call.Received).Seconds())
}

func (m *Metrics) firstEvent(call *Call) {
	m.firstEvents.Observe(time.Since(call.Received).Seconds())
}

func (m *Metrics) refused(call *Call, reason Reason) {
	m.refusals.WithLabelValues(string(reason)).Inc()
	m.tenants.count(call, tenantOutcome(reason))
}

func (m *Metrics) opened() { m.open.Inc() }

func (m *Metrics) ended(ending Ending) {
	m.open.Dec()
	m.endings.WithLabelValues(string(ending.Kind), string(ending.Cause)).Inc()
}

func (m *Metrics) fault(fault handlingFault) { m.faults.WithLabelValues(string(fault)).Inc() }

// Outcomes of requests that were held up.
const (
	heldUpServed  = "served"
	heldUpRefused = "refused"
)

func (m *Metrics) heldUp(by admission.Kind, outcome string) {
	m.heldUpRequests.WithLabelValues(by.String(), outcome).Inc()
}

func (m *Metrics) gaveUp(zone string, isCut bool) {
	what := "instance"
	if isCut {
		what = "zone"
	}
	m.givenUp.WithLabelValues(zone, what).Inc()
}

// Data that an offer is based on.
const (
	beliefInstances = "instances"
	beliefRoutes    = "routes"
)

// offered observes the ages of the list of instances and of the routes at an offer.
func (m *Metrics) offered(instances, routes time.Duration) {
	m.beliefAges.WithLabelValues(beliefInstances).Observe(instances.Seconds())
	m.beliefAges.WithLabelValues(beliefRoutes).Observe(routes.Seconds())
}

func (m *Metrics) lineDropped() { m.droppedLines.Inc() }

func (m *Metrics) retry() { m.furtherRuns.WithLabelValues("retry").Inc() }

func (m *Metrics) resumed() { m.furtherRuns.WithLabelValues("resumed").Inc() }

func (m *Metrics) runBroke(state backEndState) { m.brokenRuns.WithLabelValues(string(state)).Inc() }

func (m *Metrics) resumedAt(begunBy, version string) {
	m.resumptions.WithLabelValues(begunBy, version).Inc()
}

func (m *Metrics) notRun(proof NotRunProof) {
	cause := "full"
	if proof.isGone() {
		cause = "other_instance"
	}
	m.offersNotTaken.WithLabelValues(cause).Inc()
}

func (m *Metrics) recordEnded(took time.Duration, err error) {
	outcome := "recorded"
	if err != nil {
		outcome = "given_up"
	}
	m.records.WithLabelValues(outcome).Observe(took.Seconds())
}

func (m *Metrics) beginEnded(took time.Duration, err error) {
	outcome := "granted"
	switch {
	case err == nil:
	case errors.Is(err, ledger.ErrBudgetSpent):
		outcome = "budget_spent"
	case errors.Is(err, ledger.ErrUnknownTurn):
		outcome = "unknown_turn"
	default:
		outcome = "unavailable"
	}
	m.begins.WithLabelValues(outcome).Observe(took.Seconds())
}
