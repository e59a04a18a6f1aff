// Package reach finds out which zones a daemon is cut off from: it probes daemons of
// other zones as package zone plans it, tells other daemons what was found, and calls
// back the parts that act on it.
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
	// refreshInterval is how often the list of a zone's daemons is renewed, while nothing
	// is suspected there.
	refreshInterval = time.Second
	// firstRefreshInterval is the same while no daemon of some zone is known. A daemon that
	// has just started must not be the last of its zone to find itself cut off: callers are
	// sent to the zone as long as one of its daemons is ready.
	firstRefreshInterval = 100 * time.Millisecond
	// notifiedDaemons are told of a zone that is suspected, and of one that was found cut
	// off, once each. A daemon that has no request in the zone learns of the cut from them:
	// with this many, hardly one daemon of 300 is told by nobody.
	notifiedDaemons = 8
	// storeTimeout bounds the call that checks whether the store answers: a store that is
	// sixty times as slow as usual still answers within it.
	storeTimeout = 300 * time.Millisecond
)

// Connections are the requests that this daemon has at back ends.
type Connections interface {
	// Waiting returns what they tell of each zone.
	UnresponsiveBackends(now time.Time) map[string]zone.UnresponsiveBackends
	// Try connects to a back end of a zone and, if that can be done, takes note that the
	// zone can be reached. It returns at once.
	TryConnect(zone string)
	// GiveUpSilent ends those that wait in vain in zones that are cut off.
	GiveUpSilent(now time.Time)
}

// Options give a Watch what it works with.
type Options struct {
	Self         structs.DaemonID
	Zone         string
	Reachability *zone.Reachability
	Connections  Connections
	Transport    peer.Transport
	View         membership.View
	// ProbeStore calls the store and tells whether it answered, in whichever way.
	ProbeStore func(ctx context.Context) bool
	// OnCut is told of each zone that is found cut off, and OnIsolated that this daemon
	// is.
	OnCutOff   func(zone string)
	OnIsolated func()
	Random     *rand.Rand
	Logger     zerolog.Logger
	Metrics    *Metrics
}

// Watch keeps a daemon's belief which zones it is cut off from.
type Monitor struct {
	Options
	mutex sync.Mutex
	// daemons are the addresses of the daemons of each zone, and probed those of them that
	// were probed since all of them last were.
	daemons     map[string][]string
	probed      map[string][]string
	refreshedAt time.Time
	// knowsAllZones: daemons of all zones are known. It belongs to the watch's goroutine.
	knowsAllZones bool
}

// New returns a watch, which subscribes to suspected members in the view.
func New(options Options) *Monitor {
	w := &Monitor{Options: options, daemons: map[string][]string{}, probed: map[string][]string{}}
	w.View.Subscribe(func(member membership.Member) {
		if member.State == membership.StateSuspect {
			w.Reachability.Suspect(string(member.Daemon.Zone), time.Now())
		}
	})
	return w
}

// Run watches until ctx ends.
func (w *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(zone.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.step(ctx, time.Now())
		}
	}
}

func (w *Monitor) step(ctx context.Context, now time.Time) {
	w.refreshDaemons(now)
	plan := w.Reachability.Step(w.Connections.UnresponsiveBackends(now), now)
	for _, change := range plan.Changes {
		w.applyChange(change)
	}
	for name, count := range plan.Probe {
		w.probe(name, count)
	}
	for _, name := range plan.Suspected {
		w.notify(name, &Suspicion{Zone: name})
	}
	for _, name := range plan.Connect {
		w.Connections.TryConnect(name)
	}
	if plan.ProbeStore {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			w.Reachability.RecordStoreCall(w.ProbeStore(ctx), now, time.Now())
		}()
	}
	w.Connections.GiveUpSilent(now)
}

// applyChange logs a change and passes it on.
func (w *Monitor) applyChange(change zone.ReachabilityChange) {
	e := change.Evidence
	line := w.Logger.Info().Str("zone", change.Zone).Dur("before", change.Lasted).Int("asked", e.ProbedDaemons).
		Int("silent", e.SilentBackends).Dur("unanswered", e.ProbesUnansweredFor).Dur("unheard", e.BackendsSilentFor).Bool("told", e.ReportedByPeer)
	switch {
	case change.Zone == "" && change.CutOff:
		line.Msg("Cut off from the store and most of the fleet.")
		w.OnIsolated()
	case change.Zone == "":
		line.Msg("No longer cut off.")
	case change.CutOff:
		line.Msg("Zone cut off.")
	default:
		line.Msg("Zone reached again.")
	}
	w.Metrics.changed(change)
	if change.Zone != "" && change.CutOff {
		w.OnCutOff(change.Zone)
		w.notify(change.Zone, &CutOffReport{Zone: change.Zone})
	}
}

// refreshDaemons renews the lists of the zones in which nothing is suspected.
func (w *Monitor) refreshDaemons(now time.Time) {
	every := refreshInterval
	if !w.knowsAllZones {
		every = firstRefreshInterval
	}
	if now.Sub(w.refreshedAt) < every {
		return
	}
	w.refreshedAt = now
	found := map[string][]string{}
	for _, member := range w.View.Members() {
		if member.State == membership.StateAlive {
			name := string(member.Daemon.Zone)
			found[name] = append(found[name], member.Daemon.ID.Address())
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name, addresses := range found {
		if w.Reachability.SetDaemonCount(name, len(addresses)) {
			w.daemons[name] = addresses
		}
	}
	w.knowsAllZones = len(found) >= w.Reachability.ZoneCount()
	for name := range w.daemons {
		if found[name] == nil && w.Reachability.SetDaemonCount(name, 0) {
			delete(w.daemons, name)
		}
	}
}

// probe probes daemons of a zone, those first that were not probed lately.
func (w *Monitor) probe(name string, count int) {
	for _, address := range w.choose(name, count) {
		w.Metrics.asked.Inc()
		w.Transport.Send(structs.NewDaemonID(address, structs.AnyIncarnation), &Probe{})
	}
}

func (w *Monitor) choose(name string, count int) []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var chosen []string
	for range count {
		left := w.unprobed(name)
		if len(left) == 0 {
			w.probed[name] = nil
			left = w.unprobed(name)
		}
		left = slices.DeleteFunc(left, func(address string) bool { return slices.Contains(chosen, address) })
		if len(left) == 0 {
			break
		}
		address := left[w.Random.IntN(len(left))]
		w.probed[name] = append(w.probed[name], address)
		chosen = append(chosen, address)
	}
	return chosen
}

// unprobed are the other daemons of a zone that were not probed since all of them were.
func (w *Monitor) unprobed(name string) []string {
	var left []string
	for _, address := range w.daemons[name] {
		if address != w.Self.Address() && !slices.Contains(w.probed[name], address) {
			left = append(left, address)
		}
	}
	return left
}

// notify sends a message about a zone to some daemons of other zones.
func (w *Monitor) notify(name string, message peer.Message) {
	var others []structs.DaemonID
	for _, member := range w.View.Members() {
		home := string(member.Daemon.Zone)
		if member.Daemon.ID != w.Self && home != name && !w.Reachability.IsCutOff(home) {
			others = append(others, member.Daemon.ID)
		}
	}
	for _, other := range sample.Of(w.Random, notifiedDaemons, others) {
		w.Transport.Send(other, message)
	}
}

// Receive takes a message that arrived; false means it is another part's.
func (w *Monitor) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message := message.(type) {
	case *Probe:
		w.Transport.Send(from, &ProbeReply{Zone: w.Zone})
	case *ProbeReply:
		w.Reachability.RecordProbeReply(message.Zone, time.Now())
	case *CutOffReport:
		w.Reachability.RecordCutOffReport(message.Zone, 0, time.Now())
	case *Suspicion:
		w.Reachability.Suspect(message.Zone, time.Now())
	default:
		return false
	}
	return true
}
