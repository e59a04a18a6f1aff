package reach

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	zones        = 4
	perZone      = 8
	networkDelay = 2 * time.Millisecond
	// detectionTime is the time within which three quarters of the daemons must detect a
	// zone that is cut off.
	detectionTime = 650 * time.Millisecond
)

// network carries messages between the daemons of a fleet. Zones may be cut off from all
// others in one direction or both.
type network struct {
	mutex    sync.Mutex
	monitors map[string]*Monitor
	zoneOf   map[string]string
	members  []membership.Member
	// isDropped reports whether messages from one zone to another are dropped.
	isDropped func(from, to string) bool
	// dead daemons neither receive nor send messages.
	dead map[string]bool
	// sent counts messages between daemons.
	sent atomic.Int64
	// cutOffsFound counts how often a daemon found a zone cut off.
	cutOffsFound atomic.Int64
	// storeCut holds the zones from which the store cannot be reached.
	storeCut map[string]bool
}

func (n *network) deliver(from, to string, message peer.Message) {
	n.sent.Add(1)
	n.mutex.Lock()
	monitor := n.monitors[to]
	dropped := n.dead[from] || n.dead[to] || n.isDropped(n.zoneOf[from], n.zoneOf[to])
	n.mutex.Unlock()
	if monitor != nil && !dropped {
		time.AfterFunc(networkDelay, func() { monitor.Receive(structs.NewDaemonID(from, 1), message) })
	}
}

func (n *network) set(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

// endpoint is one daemon's access to the network and its back ends.
type endpoint struct {
	n    *network
	self string
	// busy daemons have a request at a back end in each zone.
	busy bool
	// silentSince is since when the back ends of a zone have sent nothing.
	silentSince map[string]time.Time
	zones       *zone.Reachability
	suspected   func(membership.Member)
	// isNew daemons know no members yet.
	isNew atomic.Bool
}

func (e *endpoint) Send(to structs.DaemonID, message peer.Message) {
	e.n.deliver(e.self, to.Address(), message)
}

func (e *endpoint) Members() []membership.Member {
	if e.isNew.Load() {
		return nil
	}
	return e.n.members
}

func (e *endpoint) State(structs.DaemonID) membership.State       { return membership.StateAlive }
func (e *endpoint) Subscribe(suspected func(m membership.Member)) { e.suspected = suspected }

// UnresponsiveBackends simulates requests to back ends that send continuously unless cut
// off.
func (e *endpoint) UnresponsiveBackends(now time.Time) map[string]zone.UnresponsiveBackends {
	unresponsive := map[string]zone.UnresponsiveBackends{}
	if !e.busy {
		return unresponsive
	}
	for i := range zones {
		name := zoneName(i)
		e.n.mutex.Lock()
		reached := !e.n.isDropped(e.n.zoneOf[e.self], name) && !e.n.isDropped(name, e.n.zoneOf[e.self])
		e.n.mutex.Unlock()
		switch silent := now.Sub(e.silentSince[name]); {
		case reached:
			e.silentSince[name] = now
			e.zones.RecordActivity(name, now)
		case silent > 380*time.Millisecond:
			unresponsive[name] = zone.UnresponsiveBackends{Overdue: 1, Silent: 1}
		case silent > 180*time.Millisecond:
			unresponsive[name] = zone.UnresponsiveBackends{Overdue: 1}
		}
	}
	return unresponsive
}

func (e *endpoint) GiveUpSilent(time.Time) {}

// TryConnect succeeds unless the zone is cut off.
func (e *endpoint) TryConnect(name string) {
	e.n.mutex.Lock()
	ownZone := e.n.zoneOf[e.self]
	dropped := e.n.isDropped(ownZone, name) || e.n.isDropped(name, ownZone)
	e.n.mutex.Unlock()
	if !dropped {
		e.zones.RecordActivity(name, time.Now())
	}
}

func zoneName(i int) string { return string(rune('a' + i)) }

// newFleet starts a fleet in which one daemon in three is busy.
func newFleet(ctx context.Context) (*network, []*endpoint) {
	n := &network{
		monitors: map[string]*Monitor{}, zoneOf: map[string]string{}, dead: map[string]bool{}, storeCut: map[string]bool{},
		isDropped: func(string, string) bool { return false },
	}
	regions := map[string]string{}
	for i := range zones {
		regions[zoneName(i)] = ""
	}
	var endpoints []*endpoint
	for i := range zones * perZone {
		self, daemonZone := fmt.Sprintf("10.0.0.%d:1", i), zoneName(i%zones)
		n.zoneOf[self] = daemonZone
		n.members = append(n.members, membership.Member{
			Daemon: structs.Daemon{ID: structs.NewDaemonID(self, 1), Zone: structs.ZoneName(daemonZone)}, State: membership.StateAlive,
		})
		endpoints = append(endpoints, &endpoint{
			n: n, self: self, busy: i%3 == 0, silentSince: map[string]time.Time{},
			zones: zone.NewReachability(zone.NewTopology(daemonZone, "", regions)),
		})
	}
	for i, e := range endpoints {
		monitor := New(Options{
			Self: structs.NewDaemonID(e.self, 1), Zone: n.zoneOf[e.self], Reachability: e.zones, Connections: e,
			Transport: e, View: e, OnCutOff: func(string) { n.cutOffsFound.Add(1) }, OnIsolated: func() {}, Random: rand.New(rand.NewPCG(1, uint64(i))),
			Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
			ProbeStore: func(asking context.Context) bool {
				n.mutex.Lock()
				storeCut := n.storeCut[n.zoneOf[e.self]]
				n.mutex.Unlock()
				if storeCut {
					<-asking.Done()
				}
				return !storeCut
			},
		})
		n.monitors[e.self] = monitor
		go monitor.Run(ctx)
	}
	return n, endpoints
}

// cutOff cuts zones off from the other zones and from the store.
func (n *network) cutOff(names ...string) {
	inside := map[string]bool{}
	for _, name := range names {
		inside[name] = true
	}
	n.set(func() {
		n.isDropped = func(from, to string) bool { return inside[from] != inside[to] }
		n.storeCut = inside
	})
}

func (n *network) heal() {
	n.set(func() {
		n.isDropped = func(string, string) bool { return false }
		n.storeCut = map[string]bool{}
	})
}

// runFleet runs a fleet for a while, injects a fault, and calls check.
func runFleet(t *testing.T, fault func(*network), check func(n *network, endpoints []*endpoint)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n, endpoints := newFleet(ctx)
		time.Sleep(3 * time.Second)
		fault(n)
		check(n, endpoints)
	})
}

func TestFleetDetectsACutOffZoneWithinASecond(t *testing.T) {
	runFleet(t, func(n *network) { n.cutOff("d") }, func(n *network, endpoints []*endpoint) {
		before := n.sent.Load()
		time.Sleep(detectionTime)
		found := 0
		for _, e := range endpoints {
			if e.zones.IsCutOff("d") {
				found++
			}
		}
		if outside := len(endpoints) - perZone; found < outside*3/4 {
			t.Errorf("%d of %d daemons detected it within %s", found, outside, detectionTime)
		}
		time.Sleep(time.Second - detectionTime)
		for _, e := range endpoints {
			_, isolated := e.zones.IsolatedSince()
			inside := n.zoneOf[e.self] == "d"
			if e.zones.IsCutOff("d") == inside || isolated != inside {
				t.Errorf("%s in %s (busy: %v): cut off %v, isolated %v", e.self, n.zoneOf[e.self], e.busy, e.zones.IsCutOff("d"), isolated)
			}
		}
		t.Logf("%.1f messages per daemon in the first second of the partition", float64(n.sent.Load()-before)/float64(len(endpoints)))
		time.Sleep(5 * time.Second)
		n.heal()
		time.Sleep(500 * time.Millisecond)
		for _, e := range endpoints {
			if _, isolated := e.zones.IsolatedSince(); isolated || e.zones.IsCutOff("d") {
				t.Errorf("%s is still isolated or still has zone d as cut off", e.self)
			}
		}
	})
}

// A daemon that learns of the members only after the partition must detect its isolation as
// the other daemons do.
func TestNewDaemonDetectsIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n, endpoints := newFleet(ctx)
		var newEndpoints []*endpoint
		for _, e := range endpoints {
			if n.zoneOf[e.self] == "d" && !e.busy {
				e.isNew.Store(true)
				newEndpoints = append(newEndpoints, e)
			}
		}
		time.Sleep(3 * time.Second)
		n.cutOff("d")
		time.Sleep(600 * time.Millisecond)
		for _, e := range newEndpoints {
			e.isNew.Store(false)
		}
		time.Sleep(900 * time.Millisecond)
		for _, e := range newEndpoints {
			if _, isolated := e.zones.IsolatedSince(); !isolated {
				t.Errorf("%s is not isolated", e.self)
			}
		}
	})
}

func TestPartialPartitions(t *testing.T) {
	oneWay := func(from, to string) bool { return from != "d" && to == "d" }
	cases := map[string]struct {
		fault func(*network)
		// isolated are the zones whose daemons must be isolated, and cut is whether the
		// daemons of zone a must find d cut off.
		isolated string
		cut      bool
	}{
		"two zones together": {func(n *network) { n.cutOff("c", "d") }, "cd", true},
		"one way": {func(n *network) {
			n.set(func() { n.isDropped, n.storeCut = oneWay, map[string]bool{"d": true} })
		}, "d", true},
		"the store reached from inside": {func(n *network) {
			n.cutOff("d")
			n.set(func() { n.storeCut = map[string]bool{} })
		}, "", true},
		"only the store, from one zone": {func(n *network) { n.set(func() { n.storeCut = map[string]bool{"d": true} }) }, "", false},
		"only the store, from all zones": {func(n *network) {
			n.set(func() { n.storeCut = map[string]bool{"a": true, "b": true, "c": true, "d": true} })
		}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, c.fault, func(n *network, endpoints []*endpoint) {
				time.Sleep(1500 * time.Millisecond)
				for _, e := range endpoints {
					daemonZone := n.zoneOf[e.self]
					_, isolated := e.zones.IsolatedSince()
					want := len(c.isolated) > 0 && (daemonZone == c.isolated[:1] || daemonZone == c.isolated[len(c.isolated)-1:])
					if isolated != want {
						t.Errorf("%s in %s: isolated %v", e.self, daemonZone, isolated)
					}
					if daemonZone == "a" && e.zones.IsCutOff("d") != c.cut {
						t.Errorf("%s: zone d cut off %v", e.self, e.zones.IsCutOff("d"))
					}
				}
			})
		})
	}
}

// All daemons of a zone fail while its back ends serve.
func TestDeadDaemonsAreNotACutOff(t *testing.T) {
	runFleet(t, func(n *network) {
		n.set(func() {
			for address, daemonZone := range n.zoneOf {
				n.dead[address] = daemonZone == "d"
			}
		})
	}, func(n *network, endpoints []*endpoint) {
		for _, e := range endpoints {
			e.suspected(membership.Member{Daemon: structs.Daemon{Zone: "d"}, State: membership.StateSuspect})
		}
		time.Sleep(3 * time.Second)
		for _, e := range endpoints {
			_, isolated := e.zones.IsolatedSince()
			if n.zoneOf[e.self] != "d" && (isolated || e.zones.IsCutOff("d")) {
				t.Errorf("%s: isolated %v, cut off %v", e.self, isolated, e.zones.IsCutOff("d"))
			}
		}
		if found := n.cutOffsFound.Load(); found != 0 {
			t.Errorf("zones were found cut off %d times", found)
		}
	})
}

func TestHealthyFleetSendsNoMessages(t *testing.T) {
	runFleet(t, func(*network) {}, func(n *network, _ []*endpoint) {
		time.Sleep(10 * time.Second)
		if sent := n.sent.Load(); sent != 0 {
			t.Errorf("%d messages, want none", sent)
		}
	})
}
