package relay

import (
	"context"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// overdueMargin is by how much the wait for a back end must exceed the usual one for
	// it to count as overdue, and silentMargin the same for it to count as silent.
	overdueMargin = 100 * time.Millisecond
	silentMargin  = 300 * time.Millisecond
	// paceFactor times the mean wait counts as usual: single requests differ by as much.
	paceFactor = 2
	// failureTTL is for how long a back end that broke off counts as silent; it may be
	// its zone's connections that are reset.
	failureTTL = time.Second
	// cutConnectTimeout bounds one try to connect to a back end in a zone that is cut off:
	// several round trips to another region. Nothing is sent if it fails.
	cutConnectTimeout = 100 * time.Millisecond
)

// pendingOffer is an offer that a back end has not answered to its end. The monitor's
// mutex guards it.
type pendingOffer struct {
	target instance.Instance
	// kind is the route's name, by which paces are kept.
	kind string
	// waitingSince is since when the back end has sent nothing while it was waited for, and
	// started tells that it sent something before.
	waitingSince time.Time
	started      bool
	// alternative is what another instance must be to get the request, nil if none may.
	alternative *instance.Query
	giveUp      context.CancelCauseFunc
}

// offerMonitor watches the requests that wait for a back end or for a program's record,
// and ends the wait when what they wait for can not be reached.
type offerMonitor struct {
	relay *Relay
	// zones is nil in a fleet of one zone.
	zones *zone.Reachability
	mutex sync.Mutex
	// offers wait for back ends, and pendingBegins are turns that wait for their record.
	offers        map[*pendingOffer]struct{}
	pendingBegins map[*context.CancelCauseFunc]struct{}
	// failed are the instances that broke off lately, and probes the connection probes of
	// silent instances; both by the instance's ID.
	failed map[string]failure
	probes map[string]*connectProbes
}

// failure is where and when an instance broke off.
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

// startOffer watches an offer until endOffer. The context ends when it is given up.
func (m *offerMonitor) startOffer(ctx context.Context, o *pendingOffer) context.Context {
	ctx, o.giveUp = context.WithCancelCause(ctx)
	o.waitingSince = time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.offers[o] = struct{}{}
	return ctx
}

// endOffer ends the watch of an offer.
func (m *offerMonitor) endOffer(o *pendingOffer) {
	m.mutex.Lock()
	delete(m.offers, o)
	m.mutex.Unlock()
	o.giveUp(nil)
}

// noteProgress takes note that a back end sent something.
func (m *offerMonitor) noteProgress(o *pendingOffer, now time.Time) {
	if m.zones != nil {
		m.zones.RecordActivity(o.target.Zone, now)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	o.waitingSince, o.started = now, true
}

// restartWait takes note that the back end is waited for from now on: until now it was
// the caller that took its time.
func (m *offerMonitor) restartWait(o *pendingOffer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	o.waitingSince = time.Now()
}

// noteFailed takes note that an instance broke off, and tells whether its zone is cut
// off: then the failure says nothing of the instance.
func (m *offerMonitor) noteFailed(target instance.Instance, now time.Time) bool {
	if m.zones == nil {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.failed[target.ID] = failure{target.Zone, now}
	return m.isCut(target.Zone)
}

func (m *offerMonitor) isCut(zone string) bool { return m.zones != nil && m.zones.IsCutOff(zone) }

// excess is by how much the wait for an offer's back end exceeds the usual one.
func (m *offerMonitor) excess(o *pendingOffer, now time.Time) time.Duration {
	usual := m.relay.serving.of(o.kind).first
	if o.started {
		usual = m.relay.Pool.TypicalLatency(o.target.ID, o.kind)
	}
	return now.Sub(o.waitingSince) - paceFactor*usual
}

// Waiting returns what this daemon's requests tell of the back ends of each zone. It
// implements reach.Connections.
func (r *Relay) UnresponsiveBackends(now time.Time) map[string]zone.UnresponsiveBackends {
	waiting := map[string]zone.UnresponsiveBackends{}
	for _, wait := range r.monitor.longestWaits(now) {
		w := waiting[wait.zone]
		if wait.excess > overdueMargin {
			w.Overdue++
		}
		if wait.excess > silentMargin {
			w.Silent++
		}
		waiting[wait.zone] = w
	}
	return waiting
}

// longestWait is by how much the longest wait for an instance exceeds the usual one.
type longestWait struct {
	zone   string
	excess time.Duration
}

// longestWaits returns the longest wait for each instance, by ID, that exceeds the usual
// one. An instance that broke off lately counts as silent.
func (m *offerMonitor) longestWaits(now time.Time) map[string]longestWait {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	longest := map[string]longestWait{}
	for id, failed := range m.failed {
		if now.Sub(failed.at) > failureTTL {
			delete(m.failed, id)
			continue
		}
		longest[id] = longestWait{zone: failed.zone, excess: silentMargin + 1}
	}
	for o := range m.offers {
		if excess := m.excess(o, now); excess > longest[o.target.ID].excess {
			longest[o.target.ID] = longestWait{zone: o.target.Zone, excess: excess}
		}
	}
	return longest
}

// connectTimeout bounds the connecting to an instance; 0 for the driver's own bound.
func (m *offerMonitor) connectTimeout(target instance.Instance) time.Duration {
	if !m.isCut(target.Zone) {
		return 0
	}
	return cutConnectTimeout
}

// isolatedSince tells since when this daemon has been isolated; false if it is not.
func (m *offerMonitor) isolatedSince() (time.Time, bool) {
	if m.zones == nil {
		return time.Time{}, false
	}
	return m.zones.IsolatedSince()
}
