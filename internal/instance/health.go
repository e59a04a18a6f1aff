package instance

import (
	"math"
	"time"
)

const (
	// failureBackoff is for how long a failed instance is only a last resort. It doubles
	// with each failure within failureWindow of the one before, up to maxFailureBackoff: an
	// instance that fails some of its requests is likely to go on failing them.
	failureBackoff    = 700 * time.Millisecond
	maxFailureBackoff = 6 * time.Second
	failureWindow     = 15 * time.Second

	// slownessWeight is the weight of a new sample in an instance's slowness, and
	// latencyWeight its weight in the typical latency of the kind.
	slownessWeight = 0.25
	latencyWeight  = 0.02
	// serviceTimeWeight is the weight of a new request in the mean service time of its
	// service.
	serviceTimeWeight = 0.05
	// slownessTTL is for how long after the latest sample slowness counts: an instance that
	// gets no requests must be tried again some time.
	slownessTTL = 4 * time.Second
	// maxSlowness limits a sample. Slowness is the natural logarithm of the ratio to the
	// typical latency.
	maxSlowness = 2.0
	// toleratedSlowness is the slowness that costs nothing, as single requests vary by as
	// much.
	toleratedSlowness = 0.6
	// slownessCost is the cost of one unit of slowness beyond the tolerated, as a fraction
	// of the slots.
	slownessCost = 0.8
	// maxKinds limits the kinds, and the services, for which a latency is kept.
	maxKinds = 4096
)

// health holds what this daemon's own requests show of an instance.
type health struct {
	// failures counts consecutive failures, each within failureWindow of the one before.
	failures int
	failedAt time.Time
	// slowness is the smoothed logarithm of the ratio between the instance's latency and
	// the typical one.
	slowness  float64
	sampledAt time.Time
}

// recordFailure records a failure and returns the backoff for it.
func (h *health) recordFailure(now time.Time) time.Duration {
	if now.Sub(h.failedAt) > failureWindow {
		h.failures = 0
	}
	h.failures++
	h.failedAt = now
	backoff := failureBackoff
	for range h.failures - 1 {
		backoff = min(2*backoff, maxFailureBackoff)
	}
	return backoff
}

// recordSlowness adds a sample to the smoothed slowness.
func (h *health) recordSlowness(slowness float64, now time.Time) {
	if now.Sub(h.sampledAt) > slownessTTL {
		h.slowness = 0
	}
	h.sampledAt = now
	h.slowness += slownessWeight * (slowness - h.slowness)
}

// cost returns the cost of the instance's slowness.
func (h *health) cost(now time.Time) float64 {
	if now.Sub(h.sampledAt) > slownessTTL {
		return 0
	}
	return slownessCost * max(h.slowness-toleratedSlowness, 0)
}

// typicalLatencies holds the typical latency of each kind, as the natural logarithm of
// seconds.
type typicalLatencies map[string]float64

// observe records the latency of an operation and returns its slowness: the logarithm of
// the ratio to the typical latency of its kind.
func (l typicalLatencies) observe(kind string, took time.Duration) float64 {
	sample := math.Log(max(took, time.Microsecond).Seconds())
	typical, known := l[kind]
	if !known {
		if len(l) >= maxKinds {
			clear(l)
		}
		l[kind] = sample
		return 0
	}
	slowness := min(max(sample-typical, -maxSlowness), maxSlowness)
	l[kind] = typical + latencyWeight*slowness
	return slowness
}

// TypicalLatency returns the typical latency of an instance for operations of a kind; 0 if
// unknown.
func (p *Pool) TypicalLatency(id, kind string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	typical, known := p.typicalLatencies[kind]
	if !known {
		return 0
	}
	if e := p.byID[id]; e != nil {
		typical += max(e.health.slowness, 0)
	}
	return time.Duration(math.Exp(typical) * float64(time.Second))
}

// RecordServiceTime records how long an instance took to serve a request of a service.
func (p *Pool) RecordServiceTime(service string, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	mean, known := p.serviceTimes[service]
	if !known {
		if len(p.serviceTimes) >= maxKinds {
			clear(p.serviceTimes)
		}
		p.serviceTimes[service] = took
		return
	}
	p.serviceTimes[service] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
}

// RecordLatency records how long an instance took for an operation of a kind. Operations of
// a kind are comparable over all requests: the time to an answer, or between two events of
// a stream.
func (p *Pool) RecordLatency(id, kind string, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.byID[id]
	if e == nil {
		return
	}
	e.health.recordSlowness(p.typicalLatencies.observe(kind, took), time.Now())
}
