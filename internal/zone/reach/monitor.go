// Package reach detects which zones a daemon is cut off from. It probes daemons of other
// zones as planned by package zone, reports the results to other daemons, and calls back
// the parts that act on them.
package reach

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/sample"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// refreshInterval is the interval at which the list of a zone's daemons is renewed.
	refreshInterval = time.Second
	// firstRefreshInterval applies until daemons of all zones are known. A daemon that has
	// just started must not be the last of its zone to notice that it is isolated, as
	// clients are routed to the zone as long as one of its daemons is ready.
	firstRefreshInterval = 100 * time.Millisecond
	// notifiedDaemons is the number of daemons that are notified of each suspected zone and
	// of each that was found cut off. A daemon without requests in the zone learns of it
	// only that way.
	notifiedDaemons = 8
	// storeTimeout limits the call that checks whether the store answers.
	storeTimeout = 300 * time.Millisecond
)

// Connections gives access to the daemon's requests to back ends.
type Connections interface {
	// UnresponsiveBackends returns the counts of unresponsive back ends by zone.
	UnresponsiveBackends(now time.Time) map[string]zone.UnresponsiveBackends
	// TryConnect connects to a back end of a zone in the background and, on success,
	// records that the zone can be reached.
	TryConnect(zone string)
	// GiveUpSilent ends requests that wait for back ends which cannot be reached.
	GiveUpSilent(now time.Time)
}

// Options holds the dependencies of a Monitor.
type Options struct {
	Self         structs.DaemonID
	Zone         string
	Reachability *zone.Reachability
	Connections  Connections
	Transport    peer.Transport
	View         membership.View
	// ProbeStore calls the store and reports whether it answered, directly or through
	// another daemon.
	ProbeStore func(ctx context.Context) bool
	// OnCutOff is called for each zone that is found cut off, and OnIsolated when this
	// daemon is found isolated.
	OnCutOff   func(zone string)
	OnIsolated func()
	Random     *rand.Rand
	Logger     zerolog.Logger
	Metrics    *Metrics
}

// Monitor keeps a daemon's zone.Reachability up to date.
type Monitor struct {
	Options
	mutex sync.Mutex
	// daemons holds the addresses of the daemons of each zone, and probed those that were
	// probed in the current cycle through all of them.
	daemons     map[string][]string
	probed      map[string][]string
	refreshedAt time.Time
	// knowsAllZones is set once daemons of all zones are known. Only Run's goroutine uses
	// it.
	knowsAllZones bool
}

// New returns a monitor and subscribes it to suspected members.
func New(options Options) *Monitor {
	m := &Monitor{Options: options, daemons: map[string][]string{}, probed: map[string][]string{}}
	m.View.Subscribe(func(member membership.Member) {
		if member.State == membership.StateSuspect {
			m.Reachability.Suspect(string(member.Daemon.Zone), time.Now())
		}
	})
	return m
}

// Run probes and reports until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(zone.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.step(ctx, time.Now())
		}
	}
}

func (m *Monitor) step(ctx context.Context, now time.Time) {
	m.refreshDaemons(now)
	plan := m.Reachability.Step(m.Connections.UnresponsiveBackends(now), now)
	for _, change := range plan.Changes {
		m.applyChange(change)
	}
	for name, count := range plan.Probe {
		m.probe(name, count)
	}
	for _, name := range plan.Suspected {
		m.notify(name, &Suspicion{Zone: name})
	}
	for _, name := range plan.Connect {
		m.Connections.TryConnect(name)
	}
	if plan.ProbeStore {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			m.Reachability.RecordStoreCall(m.ProbeStore(ctx), now, time.Now())
		}()
	}
	m.Connections.GiveUpSilent(now)
}

// applyChange logs a change and notifies the callbacks and other daemons.
func (m *Monitor) applyChange(change zone.ReachabilityChange) {
	e := change.Evidence
	line := m.Logger.Info().Str("zone", change.Zone).Dur("before", change.Lasted).Int("asked", e.ProbedDaemons).
		Int("silent", e.SilentBackends).Dur("unanswered", e.ProbesUnansweredFor).Dur("unheard", e.BackendsSilentFor).Bool("told", e.ReportedByPeer)
	switch {
	case change.Zone == "" && change.CutOff:
		line.Msg("Cut off from the store and most of the fleet.")
		m.OnIsolated()
	case change.Zone == "":
		line.Msg("No longer cut off.")
	case change.CutOff:
		line.Msg("Zone cut off.")
	default:
		line.Msg("Zone reached again.")
	}
	m.Metrics.changed(change)
	if change.Zone != "" && change.CutOff {
		m.OnCutOff(change.Zone)
		m.notify(change.Zone, &CutOffReport{Zone: change.Zone})
	}
}

// refreshDaemons renews the lists of daemons, except of zones that are being probed.
func (m *Monitor) refreshDaemons(now time.Time) {
	interval := refreshInterval
	if !m.knowsAllZones {
		interval = firstRefreshInterval
	}
	if now.Sub(m.refreshedAt) < interval {
		return
	}
	m.refreshedAt = now
	found := map[string][]string{}
	for _, member := range m.View.Members() {
		if member.State == membership.StateAlive {
			name := string(member.Daemon.Zone)
			found[name] = append(found[name], member.Daemon.ID.Address())
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, addresses := range found {
		if m.Reachability.SetDaemonCount(name, len(addresses)) {
			m.daemons[name] = addresses
		}
	}
	m.knowsAllZones = len(found) >= m.Reachability.ZoneCount()
	for name := range m.daemons {
		if found[name] == nil && m.Reachability.SetDaemonCount(name, 0) {
			delete(m.daemons, name)
		}
	}
}

// probe sends probes to daemons of a zone, starting with those not probed in the current
// cycle.
func (m *Monitor) probe(name string, count int) {
	for _, address := range m.chooseDaemons(name, count) {
		m.Metrics.probes.Inc()
		m.Transport.Send(structs.NewDaemonID(address, structs.AnyIncarnation), &Probe{})
	}
}

// chooseDaemons chooses up to count daemons of a zone to probe.
func (m *Monitor) chooseDaemons(name string, count int) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var chosen []string
	for range count {
		remaining := m.unprobed(name)
		if len(remaining) == 0 {
			m.probed[name] = nil
			remaining = m.unprobed(name)
		}
		remaining = slices.DeleteFunc(remaining, func(address string) bool { return slices.Contains(chosen, address) })
		if len(remaining) == 0 {
			break
		}
		address := remaining[m.Random.IntN(len(remaining))]
		m.probed[name] = append(m.probed[name], address)
		chosen = append(chosen, address)
	}
	return chosen
}

// unprobed returns the other daemons of a zone that were not probed in the current cycle.
func (m *Monitor) unprobed(name string) []string {
	var remaining []string
	for _, address := range m.daemons[name] {
		if address != m.Self.Address() && !slices.Contains(m.probed[name], address) {
			remaining = append(remaining, address)
		}
	}
	return remaining
}

// notify sends a message about a zone to some daemons of other zones that are not cut off.
func (m *Monitor) notify(name string, message peer.Message) {
	var others []structs.DaemonID
	for _, member := range m.View.Members() {
		memberZone := string(member.Daemon.Zone)
		if member.Daemon.ID != m.Self && memberZone != name && !m.Reachability.IsCutOff(memberZone) {
			others = append(others, member.Daemon.ID)
		}
	}
	for _, other := range sample.Of(m.Random, notifiedDaemons, others) {
		m.Transport.Send(other, message)
	}
}

// Receive handles a message; it returns false if the message belongs to another part.
func (m *Monitor) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Probe:
		m.Transport.Send(from, &ProbeReply{Zone: m.Zone})
	case *ProbeReply:
		m.Reachability.RecordProbeReply(message.Zone, time.Now())
	case *CutOffReport:
		m.Reachability.RecordCutOffReport(message.Zone, 0, time.Now())
	case *Suspicion:
		m.Reachability.Suspect(message.Zone, time.Now())
	default:
		return false
	}
	return true
}
