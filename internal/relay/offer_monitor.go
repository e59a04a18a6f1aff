package relay

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// overdueMargin is by how much a wait for a back end must exceed the usual one to count
	// as overdue, and silentMargin the same to count as silent.
	overdueMargin = 100 * time.Millisecond
	silentMargin  = 300 * time.Millisecond
	// latencyFactor times the mean wait is considered usual, as single requests vary by
	// that much.
	latencyFactor = 2
	// failureTTL is how long a back end counts as silent after its connection broke: that
	// may be the reset of all connections to its zone.
	failureTTL = time.Second
	// cutOffConnectTimeout bounds connecting to a back end in a zone that is cut off:
	// several round trips to another region. If it fails, nothing was sent.
	cutOffConnectTimeout = 100 * time.Millisecond
)

// pendingOffer is an offer that a back end has not answered completely. The monitor's mutex
// guards it.
type pendingOffer struct {
	target instance.Instance
	// kind is the name of the route, the key of the usual latencies.
	kind string
	// waitingSince is since when the daemon has been waiting for the back end to send
	// something, and started whether it sent anything before.
	waitingSince time.Time
	started      bool
	// alternative holds the requirements for another instance that may take the request,
	// nil if none may.
	alternative *instance.Query
	giveUp      context.CancelCauseFunc
}

// offerMonitor tracks the requests that wait for a back end or for a program's record, and
// cancels the wait if that cannot be reached.
type offerMonitor struct {
	relay *Relay
	// zones is nil in a fleet of one zone.
	zones *zone.Reachability
	mutex sync.Mutex
	// offers are the offers that wait for a back end, and pendingBegins cancels the
	// reservations of turns that wait for their program's record.
	offers        map[*pendingOffer]struct{}
	pendingBegins map[*context.CancelCauseFunc]struct{}
	// failed holds the latest failure of instances, and probes the connection probes of
	// silent instances; both by instance ID.
	failed map[string]failure
	probes map[string]*connectProbes
}

// failure is the zone and the time of an instance's latest failure.
type failure struct {
	zone string
	at   time.Time
}

func newOfferMonitor(r *Relay) *offerMonitor {
	return &offerMonitor{
		relay: r, zones: r.Zones,
		offers: map[*pendingOffer]struct{}{}, pendingBegins: map[*context.CancelCauseFunc]struct{}{},
		failed: map[string]failure{}, probes: map[string]*connectProbes{},
	}
}

// startOffer tracks an offer until endOffer. The returned context is canceled if the offer
// is given up.
func (m *offerMonitor) startOffer(ctx context.Context, o *pendingOffer) context.Context {
	ctx, o.giveUp = context.WithCancelCause(ctx)
	o.waitingSince = time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.offers[o] = struct{}{}
	return ctx
}

// endOffer stops tracking an offer.
func (m *offerMonitor) endOffer(o *pendingOffer) {
	m.mutex.Lock()
	delete(m.offers, o)
	m.mutex.Unlock()
	o.giveUp(nil)
}

// noteProgress records that the back end of an offer sent something.
func (m *offerMonitor) noteProgress(o *pendingOffer, now time.Time) {
	if m.zones != nil {
		m.zones.RecordActivity(o.target.Zone, now)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	o.waitingSince, o.started = now, true
}

// restartWait records that the wait for the back end starts now: until now the caller was
// reading.
func (m *offerMonitor) restartWait(o *pendingOffer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	o.waitingSince = time.Now()
}

// noteFailed records that an instance failed, and reports whether its zone is cut off: in
// that case the failure does not count against the instance.
func (m *offerMonitor) noteFailed(target instance.Instance, now time.Time) bool {
	if m.zones == nil {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failed[target.ID] = failure{target.Zone, now}
	return m.isCutOff(target.Zone)
}

func (m *offerMonitor) isCutOff(zone string) bool { return m.zones != nil && m.zones.IsCutOff(zone) }

// overdueBy returns by how much the wait for an offer's back end exceeds the usual one.
func (m *offerMonitor) overdueBy(o *pendingOffer, now time.Time) time.Duration {
	usual := m.relay.serving.average(o.kind).untilFirst
	if o.started {
		usual = m.relay.Pool.TypicalLatency(o.target.ID, o.kind)
	}
	return now.Sub(o.waitingSince) - latencyFactor*usual
}

// UnresponsiveBackends returns the number of overdue and silent back ends per zone, as seen by this
// daemon's requests. It implements reach.Connections.
func (r *Relay) UnresponsiveBackends(now time.Time) map[string]zone.UnresponsiveBackends {
	waiting := map[string]zone.UnresponsiveBackends{}
	for _, wait := range r.monitor.longestWaits(now) {
		w := waiting[wait.zone]
		if wait.overdueBy > overdueMargin {
			w.Overdue++
		}
		if wait.overdueBy > silentMargin {
			w.Silent++
		}
		waiting[wait.zone] = w
	}
	return waiting
}

// longestWait is the longest wait for an instance.
type longestWait struct {
	zone      string
	overdueBy time.Duration
}

// longestWaits returns the longest wait for each instance, by ID, that exceeds the usual
// one. An instance that failed recently counts as silent.
func (m *offerMonitor) longestWaits(now time.Time) map[string]longestWait {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	longest := map[string]longestWait{}
	for id, failed := range m.failed {
		if now.Sub(failed.at) > failureTTL {
			delete(m.failed, id)
			continue
		}
		longest[id] = longestWait{zone: failed.zone, overdueBy: silentMargin + 1}
	}
	for o := range m.offers {
		if overdueBy := m.overdueBy(o, now); overdueBy > longest[o.target.ID].overdueBy {
			longest[o.target.ID] = longestWait{zone: o.target.Zone, overdueBy: overdueBy}
		}
	}
	return longest
}

// connectTimeout returns the timeout of connecting to an instance; 0 for the driver's
// default.
func (m *offerMonitor) connectTimeout(target instance.Instance) time.Duration {
	if !m.isCutOff(target.Zone) {
		return 0
	}
	return cutOffConnectTimeout
}

// isolatedSince returns since when this daemon has been isolated; false if it is not.
func (m *offerMonitor) isolatedSince() (time.Time, bool) {
	if m.zones == nil {
		return time.Time{}, false
	}
	return m.zones.IsolatedSince()
}
