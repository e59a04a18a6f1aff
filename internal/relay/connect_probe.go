package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

const (
	// probeTimeout bounds an attempt to connect to a silent instance. However busy the
	// instance is, its operating system answers within a few round trips, even to another
	// region.
	probeTimeout = 200 * time.Millisecond
	// maxFailedProbes consecutive failures mean that the instance is unreachable: a single
	// failure may be packet loss.
	maxFailedProbes = 2
	// reprobeInterval is how long after a probe a silent instance is probed again, whatever
	// the result: each connection costs the instance time, and a burst of load makes all
	// instances silent.
	reprobeInterval = 2 * time.Second
)

// connectProbes tracks the attempts to connect to a silent instance. The monitor's mutex
// guards it.
type connectProbes struct {
	running bool
	// failures counts the consecutive failures, the first of which began at failingSince.
	failures     int
	failingSince time.Time
	// endedAt is when the latest probe ended.
	endedAt time.Time
}

// isReachable reports whether the instance of a silent offer is reachable according to its
// probes, and starts a probe if one is due. The mutex must be held.
func (m *offerMonitor) isReachable(o *pendingOffer, now time.Time) bool {
	p := m.probes[o.target.ID]
	if p == nil {
		p = &connectProbes{}
		m.probes[o.target.ID] = p
	}
	if p.failingSince.Before(o.waitingSince) {
		p.failures = 0 // the instance sent something since
	}
	isUndecided := p.failures > 0 && p.failures < maxFailedProbes
	due := isUndecided || now.Sub(p.endedAt) >= reprobeInterval
	if due && !p.running {
		p.running = true
		go m.probe(o.target, p, now)
	}
	return p.failures < maxFailedProbes
}

// hasFailedProbes reports whether an instance was probed while it was silent, and is unreachable.
func (m *offerMonitor) hasFailedProbes(id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p := m.probes[id]
	return p != nil && p.failures >= maxFailedProbes
}

// probe tries to connect to an instance. One that cannot be connected to gets no new
// requests for a while; those that it has are not affected. If it refuses connections it is
// reachable: it may be shutting down, and its machine would reset the connections of a
// process that exited.
func (m *offerMonitor) probe(target instance.Instance, p *connectProbes, began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := m.relay.Driver.Connect(ctx, target, m.relay.connectionLimit(target.Service))
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p.running = false
	p.endedAt = time.Now()
	isRefused := errors.Is(err, httpconn.ErrRefused)
	if err == nil || isRefused || errors.Is(err, httpconn.ErrNoConnection) {
		p.failures = 0
	} else {
		p.noteFailure(began)
	}
	if isRefused || p.failures >= maxFailedProbes {
		m.relay.Pool.BackOff(target.ID)
	}
}

// noteFailure records a failed probe that started at began.
func (p *connectProbes) noteFailure(began time.Time) {
	if p.failures == 0 {
		p.failingSince = began
	}
	p.failures++
}

// hasService reports whether the current routes contain a service.
func (r *Relay) hasService(service string) bool { return r.configuredService(service) != nil }

// TryConnect connects to an instance of a zone and, if that succeeds, notes that the zone is
// reachable. It does not block. It implements reach.Connections.
func (r *Relay) TryConnect(zone string) {
	target, found := r.Pool.AnyIn(zone, r.hasService)
	if !found {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if r.Driver.Connect(ctx, target, r.connectionLimit(target.Service)) == nil {
			r.Zones.RecordActivity(zone, time.Now())
		}
	}()
}

// dropOldProbes drops the probes of instances without a silent offer. The mutex must be
// held.
func (m *offerMonitor) dropOldProbes(now time.Time) {
	for id, p := range m.probes {
		if !p.running && now.Sub(p.endedAt) > reprobeInterval {
			delete(m.probes, id)
		}
	}
}
