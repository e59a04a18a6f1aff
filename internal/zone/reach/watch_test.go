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
	zones      = 4
	perZone    = 8
	wayBetween = 2 * time.Millisecond
	// mostFind is within how long three quarters of the daemons find a zone cut off.
	mostFind = 650 * time.Millisecond
)

// network carries messages between the daemons of a fleet. Zones may be cut off from
// all others, in one direction or both.
type network struct {
	mutex   sync.Mutex
	watches map[string]*Monitor
	zoneOf  map[string]string
	members []membership.Member
	// lost tells whether what goes from one zone to another is lost.
	lost func(from, to string) bool
	// dead daemons neither hear nor say anything.
	dead map[string]bool
	// sent counts messages between daemons.
	sent atomic.Int64
	// found counts how often a daemon found a zone cut off.
	found atomic.Int64
	// storeCut zones do not reach the store.
	storeCut map[string]bool
}

func (n *network) deliver(from, to string, message peer.Message) {
	n.sent.Add(1)
	n.mutex.Lock()
	w := n.watches[to]
	dropped := n.dead[from] || n.dead[to] || n.lost(n.zoneOf[from], n.zoneOf[to])
	n.mutex.Unlock()
	if w != nil && !dropped {
		time.AfterFunc(wayBetween, func() { w.Receive(structs.NewDaemonID(from, 1), message) })
	}
}

func (n *network) set(change func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change()
}

// end is one daemon's side of the network.
type end struct {
	n    *network
	self string
	// busy daemons have a request at a back end of each zone.
	busy bool
	// silentSince is since when back ends of a zone send nothing.
	silentSince map[string]time.Time
	zones       *zone.Reachability
	suspected   func(membership.Member)
	// isNew: it has just started and knows nobody but itself.
	isNew atomic.Bool
}

func (e *end) Send(to structs.DaemonID, message peer.Message) {
	e.n.deliver(e.self, to.Address(), message)
}

func (e *end) Members() []membership.Member {
	if e.isNew.Load() {
		return nil
	}
	return e.n.members
}

func (e *end) State(structs.DaemonID) membership.State       { return membership.StateAlive }
func (e *end) Subscribe(suspected func(m membership.Member)) { e.suspected = suspected }

// Waiting plays requests at back ends that send something each moment, unless cut off.
func (e *end) UnresponsiveBackends(now time.Time) map[string]zone.UnresponsiveBackends {
	waiting := map[string]zone.UnresponsiveBackends{}
	if !e.busy {
		return waiting
	}
	for i := range zones {
		name := zoneName(i)
		e.n.mutex.Lock()
		reached := !e.n.lost(e.n.zoneOf[e.self], name) && !e.n.lost(name, e.n.zoneOf[e.self])
		e.n.mutex.Unlock()
		switch silent := now.Sub(e.silentSince[name]); {
		case reached:
			e.silentSince[name] = now
			e.zones.RecordActivity(name, now)
		case silent > 380*time.Millisecond:
			waiting[name] = zone.UnresponsiveBackends{Overdue: 1, Silent: 1}
		case silent > 180*time.Millisecond:
			waiting[name] = zone.UnresponsiveBackends{Overdue: 1}
		}
	}
	return waiting
}

func (e *end) GiveUpSilent(time.Time) {}

// Try plays a back end that can be connected to unless its zone is cut off.
func (e *end) TryConnect(name string) {
	e.n.mutex.Lock()
	home := e.n.zoneOf[e.self]
	lost := e.n.lost(home, name) || e.n.lost(name, home)
	e.n.mutex.Unlock()
	if !lost {
		e.zones.RecordActivity(name, time.Now())
	}
}

func zoneName(i int) string { return string(rune('a' + i)) }

// newFleet starts a fleet of which one daemon in three is busy.
func newFleet(ctx context.Context) (*network, []*end) {
	n := &network{
		watches: map[string]*Monitor{}, zoneOf: map[string]string{}, dead: map[string]bool{}, storeCut: map[string]bool{},
		lost: func(string, string) bool { return false },
	}
	regions := map[string]string{}
	for i := range zones {
		regions[zoneName(i)] = ""
	}
	var ends []*end
	for i := range zones * perZone {
		self, home := fmt.Sprintf("10.0.0.%d:1", i), zoneName(i%zones)
		n.zoneOf[self] = home
		n.members = append(n.members, membership.Member{
			Daemon: structs.Daemon{ID: structs.NewDaemonID(self, 1), Zone: structs.ZoneName(home)}, State: membership.StateAlive,
		})
		ends = append(ends, &end{
			n: n, self: self, busy: i%3 == 0, silentSince: map[string]time.Time{},
			zones: zone.NewReachability(zone.NewTopology(home, "", regions)),
		})
	}
	for i, e := range ends {
		w := New(Options{
			Self: structs.NewDaemonID(e.self, 1), Zone: n.zoneOf[e.self], Reachability: e.zones, Connections: e,
			Transport: e, View: e, OnCutOff: func(string) { n.found.Add(1) }, OnIsolated: func() {}, Random: rand.New(rand.NewPCG(1, uint64(i))),
			Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
			ProbeStore: func(asking context.Context) bool {
				n.mutex.Lock()
				out := n.storeCut[n.zoneOf[e.self]]
				n.mutex.Unlock()
				if out {
					<-asking.Done()
				}
				return !out
			},
		})
		n.watches[e.self] = w
		go w.Run(ctx)
	}
	return n, ends
}

// cutOff cuts zones off from the others and from the store.
func (n *network) cutOff(names ...string) {
	inside := map[string]bool{}
	for _, name := range names {
		inside[name] = true
	}
	n.set(func() {
		n.lost = func(from, to string) bool { return inside[from] != inside[to] }
		n.storeCut = inside
	})
}

func (n *network) heal() {
	n.set(func() {
		n.lost = func(string, string) bool { return false }
		n.storeCut = map[string]bool{}
	})
}

// run plays a fleet for a while, then a trouble, and its end.
func run(t *testing.T, trouble func(*network), check func(n *network, ends []*end)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n, ends := newFleet(ctx)
		time.Sleep(3 * time.Second)
		trouble(n)
		check(n, ends)
	})
}

func TestWholeFleetFindsAZoneCutOffWithinASecond(t *testing.T) {
	run(t, func(n *network) { n.cutOff("d") }, func(n *network, ends []*end) {
		before := n.sent.Load()
		time.Sleep(mostFind)
		found := 0
		for _, e := range ends {
			if e.zones.IsCutOff("d") {
				found++
			}
		}
		if outside := len(ends) - perZone; found < outside*3/4 {
			t.Errorf("%d of %d found it within %s", found, outside, mostFind)
		}
		time.Sleep(time.Second - mostFind)
		for _, e := range ends {
			_, isolated := e.zones.IsolatedSince()
			inside := n.zoneOf[e.self] == "d"
			if e.zones.IsCutOff("d") == inside || isolated != inside {
				t.Errorf("%s in %s (busy: %v): cut off %v, isolated %v", e.self, n.zoneOf[e.self], e.busy, e.zones.IsCutOff("d"), isolated)
			}
		}
		t.Logf("%.1f messages a daemon in the first second of the cut", float64(n.sent.Load()-before)/float64(len(ends)))
		time.Sleep(5 * time.Second)
		n.heal()
		time.Sleep(500 * time.Millisecond)
		for _, e := range ends {
			if _, isolated := e.zones.IsolatedSince(); isolated || e.zones.IsCutOff("d") {
				t.Errorf("%s still takes something for cut off", e.self)
			}
		}
	})
}

// TestDaemonThatHasJustStartedFindsItselfCutOffLikeTheOthers: it hears of the members
// from its own zone after the cut.
func TestDaemonThatHasJustStartedFindsItselfCutOffLikeTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n, ends := newFleet(ctx)
		var young []*end
		for _, e := range ends {
			if n.zoneOf[e.self] == "d" && !e.busy {
				e.isNew.Store(true)
				young = append(young, e)
			}
		}
		time.Sleep(3 * time.Second)
		n.cutOff("d")
		time.Sleep(600 * time.Millisecond)
		for _, e := range young {
			e.isNew.Store(false)
		}
		time.Sleep(900 * time.Millisecond)
		for _, e := range young {
			if _, isolated := e.zones.IsolatedSince(); !isolated {
				t.Errorf("%s is ready still", e.self)
			}
		}
	})
}

func TestHalfCuts(t *testing.T) {
	oneWay := func(from, to string) bool { return from != "d" && to == "d" }
	cases := map[string]struct {
		trouble func(*network)
		// isolated are the zones whose daemons are to take themselves for cut off, and
		// cut tells whether those of zone a take d to be cut off.
		isolated string
		cut      bool
	}{
		"two zones together": {func(n *network) { n.cutOff("c", "d") }, "cd", true},
		"one way": {func(n *network) {
			n.set(func() { n.lost, n.storeCut = oneWay, map[string]bool{"d": true} })
		}, "d", true},
		"the store reached from inside": {func(n *network) {
			n.cutOff("d")
			n.set(func() { n.storeCut = map[string]bool{} })
		}, "", true},
		"only the store": {func(n *network) { n.set(func() { n.storeCut = map[string]bool{"d": true} }) }, "", false},
		"the store, for all": {func(n *network) {
			n.set(func() { n.storeCut = map[string]bool{"a": true, "b": true, "c": true, "d": true} })
		}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, c.trouble, func(n *network, ends []*end) {
				time.Sleep(1500 * time.Millisecond)
				for _, e := range ends {
					home := n.zoneOf[e.self]
					_, isolated := e.zones.IsolatedSince()
					want := len(c.isolated) > 0 && (home == c.isolated[:1] || home == c.isolated[len(c.isolated)-1:])
					if isolated != want {
						t.Errorf("%s in %s: isolated %v", e.self, home, isolated)
					}
					if home == "a" && e.zones.IsCutOff("d") != c.cut {
						t.Errorf("%s: d cut off %v", e.self, e.zones.IsCutOff("d"))
					}
				}
			})
		})
	}
}

// TestDeadDaemonsAreNoCut: those of a zone all die, while its back ends serve.
func TestDeadDaemonsAreNoCut(t *testing.T) {
	run(t, func(n *network) {
		n.set(func() {
			for address, home := range n.zoneOf {
				n.dead[address] = home == "d"
			}
		})
	}, func(n *network, ends []*end) {
		for _, e := range ends {
			e.suspected(membership.Member{Daemon: structs.Daemon{Zone: "d"}, State: membership.StateSuspect})
		}
		time.Sleep(3 * time.Second)
		for _, e := range ends {
			_, isolated := e.zones.IsolatedSince()
			if n.zoneOf[e.self] != "d" && (isolated || e.zones.IsCutOff("d")) {
				t.Errorf("%s: isolated %v, cut off %v", e.self, isolated, e.zones.IsCutOff("d"))
			}
		}
		if found := n.found.Load(); found != 0 {
			t.Errorf("zones were found cut off %d times", found)
		}
	})
}

func TestCalmFleetAsksNothing(t *testing.T) {
	run(t, func(*network) {}, func(n *network, _ []*end) {
		time.Sleep(10 * time.Second)
		if sent := n.sent.Load(); sent != 0 {
			t.Errorf("%d messages", sent)
		}
	})
}
