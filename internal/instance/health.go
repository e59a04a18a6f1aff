package instance

import (
	"math"
	"time"
)

const (
	// failurePause is how long an instance that failed is passed over where
	// another can be had. It doubles with each failure that follows within
	// failureMemory, up to longestFailurePause: an instance that fails a part of
	// its requests goes on to fail them.
	failurePause        = 700 * time.Millisecond
	longestFailurePause = 6 * time.Second
	failureMemory       = 15 * time.Second

	// paceWeight is the weight of the newest sample in an instance's slowness,
	// and kindWeight the same in the usual pace of a kind of work.
	paceWeight = 0.25
	kindWeight = 0.02
	// serviceTimeWeight is the weight of the newest request in a service's mean service time.
	serviceTimeWeight = 0.05
	// paceLife is for how long samples count after the newest: an instance that
	// gets nothing any more must be tried again some time.
	paceLife = 4 * time.Second
	// mostSlowness bounds one sample: e times slower counts one.
	mostSlowness = 2.0
	// slownessTolerated is what counts as chance. The work of single requests
	// differs by as much.
	slownessTolerated = 0.6
	// slownessCost is what slowness beyond that counts against an instance, as a
	// share of its slots.
	slownessCost = 0.8
	// kindLimit bounds the kinds of work, and the services, whose pace is remembered.
	kindLimit = 4096
)

// health is what this daemon's own requests tell of an instance.
type health struct {
	// failures counts those of which each came within failureMemory of the one
	// before.
	failures int
	failedAt time.Time
	// slowness is the smoothed logarithm of how much longer the instance takes
	// than its service usually does.
	slowness float64
	pacedAt  time.Time
}

// fail takes note of a failure and returns for how long to pass the instance
// over.
func (h *health) fail(now time.Time) time.Duration {
	if now.Sub(h.failedAt) > failureMemory {
		h.failures = 0
	}
	h.failures++
	h.failedAt = now
	pause := failurePause
	for range h.failures - 1 {
		pause = min(2*pause, longestFailurePause)
	}
	return pause
}

// pace takes a sample of the slowness.
func (h *health) pace(slowness float64, now time.Time) {
	if now.Sub(h.pacedAt) > paceLife {
		h.slowness = 0
	}
	h.pacedAt = now
	h.slowness += paceWeight * (slowness - h.slowness)
}

// cost is what the instance's slowness counts against it.
func (h *health) cost(now time.Time) float64 {
	if now.Sub(h.pacedAt) > paceLife {
		return 0
	}
	return slownessCost * max(h.slowness-slownessTolerated, 0)
}

// paces keeps the usual pace of each kind of work, as a logarithm.
type paces map[string]float64

// slowness returns how much slower than usual a piece of work was, as a
// logarithm, and takes note of it.
func (p paces) slowness(kind string, took time.Duration) float64 {
	sample := math.Log(max(took, time.Microsecond).Seconds())
	usual, known := p[kind]
	if !known {
		if len(p) >= kindLimit {
			clear(p)
		}
		p[kind] = sample
		return 0
	}
	slowness := min(max(sample-usual, -mostSlowness), mostSlowness)
	p[kind] = usual + kindWeight*slowness
	return slowness
}

// Pace returns how long an instance usually takes for a piece of work of a kind; 0 if
// that is not known.
func (p *Pool) TypicalLatency(id, kind string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usual, known := p.paces[kind]
	if !known {
		return 0
	}
	if e := p.byID[id]; e != nil {
		usual += max(e.health.slowness, 0)
	}
	return time.Duration(math.Exp(usual) * float64(time.Second))
}

// NoteServiceTime takes note of how long an instance took to serve a request that it
// answered.
func (p *Pool) RecordServiceTime(service string, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usual, known := p.serviceTimes[service]
	if !known {
		if len(p.serviceTimes) >= kindLimit {
			clear(p.serviceTimes)
		}
		p.serviceTimes[service] = took
		return
	}
	p.serviceTimes[service] = usual + time.Duration(serviceTimeWeight*float64(took-usual))
}

// NotePace takes note of how long an instance took for a piece of work that is
// alike for all requests of a kind: to answer, or between two events of a
// stream.
func (p *Pool) RecordLatency(id, kind string, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.byID[id]
	if e == nil {
		return
	}
	e.health.pace(p.paces.slowness(kind, took), time.Now())
}
