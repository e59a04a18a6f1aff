package relay

import (
	"context"
	"errors"
	"time"

	"github.com/mintpulley/mintpulley/internal/httpconn"
	"github.com/mintpulley/mintpulley/internal/instance"
)

const (
	// probeTimeout bounds a try to connect to a silent instance. However busy the instance
	// is, its operating system answers within several round trips to another region.
	probeTimeout = 200 * time.Millisecond
	// maxFailedProbes in a row tell that the instance can not be reached: one may be lost.
	maxFailedProbes = 2
	// reprobeInterval is after how long an instance that stays silent is probed again, whether
	// it was reached or not: a new connection costs it a moment, and a burst makes all silent.
	reprobeInterval = 2 * time.Second
)

// connectProbes are the tries to connect to a silent instance. The monitor's mutex guards
// them.
type connectProbes struct {
	running bool
	// failures counts the failed ones since the last that succeeded; the first of them
	// began at failingSince.
	failures     int
	failingSince time.Time
	// endedAt is when the latest ended.
	endedAt time.Time
}

// isReachable tells whether the instance of a silent offer can be reached as far as is
// known, and probes it if that is due. The mutex must be held.
func (m *offerMonitor) isReachable(o *pendingOffer, now time.Time) bool {
	p := m.probes[o.target.ID]
	if p == nil {
		p = &connectProbes{}
		m.probes[o.target.ID] = p
	}
	if p.failingSince.Before(o.waitingSince) {
		p.failures = 0 // it was heard since
	}
	isUndecided := p.failures > 0 && p.failures < maxFailedProbes
	due := isUndecided || now.Sub(p.endedAt) >= reprobeInterval
	if due && !p.running {
		p.running = true
		go m.probe(o.target, p, now)
	}
	return p.failures < maxFailedProbes
}

// probe tries to connect to an instance. One that can not be connected to gets no new requests for a
// while, whatever becomes of those that it has. If connections are refused it is reached: it may be
// leaving, and its machine would close the connections of a process that ended.
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

// noteFailure takes note of a try that failed and began at a time.
func (p *connectProbes) noteFailure(began time.Time) {
	if p.failures == 0 {
		p.failingSince = began
	}
	p.failures++
}

// isNamed tells whether the routes in force name a service.
func (r *Relay) isNamed(service string) bool { return r.serviceInForce(service) != nil }

// Try connects to an instance of a zone and, if that succeeds, takes note that the zone
// can be reached. It implements reach.Connections.
func (r *Relay) TryConnect(zone string) {
	target, found := r.Pool.AnyIn(zone, r.isNamed)
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

// dropOldProbes drops the probes of instances that are not probed any more: no silent
// offer waits there. The mutex must be held.
func (m *offerMonitor) dropOldProbes(now time.Time) {
	for id, p := range m.probes {
		if !p.running && now.Sub(p.endedAt) > reprobeInterval {
			delete(m.probes, id)
		}
	}
}
