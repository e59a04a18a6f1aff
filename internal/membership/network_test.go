package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// testNetwork connects memberships on a virtual clock. Links delay and lose
// messages; daemons crash, pause and restart.
type testNetwork struct {
	t             *testing.T
	clock         *clock.Virtual
	random        *rand.Rand
	nodes         []*testNode
	byAddress     map[string][]*testNode
	delay         time.Duration
	jitter        time.Duration
	loss          float64
	isPartitioned func(from, to *testNode) bool
	bytes         int
	deaths        []death
}

// death is the detection of one daemon's death by another.
type death struct {
	at       time.Time
	observer *testNode
	daemon   structs.DaemonID
}

type testNode struct {
	*Membership
	network *testNetwork
	index   int
	id      structs.DaemonID
	zone    int
	down    bool
	paused  bool
	timers  []func()
	arrived []func()
	sent    int
	peers   map[string]bool
}

// nodeClock delays a paused daemon's timers.
type nodeClock struct{ node *testNode }

func (c nodeClock) Now() time.Time { return c.node.network.clock.Now() }

func (c nodeClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	return c.node.network.clock.AfterFunc(d, func() { c.node.whenAwake(&c.node.timers, f) })
}

// whenAwake runs f unless the daemon is down; while it is paused, f is delayed.
func (n *testNode) whenAwake(waiting *[]func(), f func()) {
	switch {
	case n.down:
	case n.paused:
		*waiting = append(*waiting, f)
	default:
		f()
	}
}

// wake ends a pause. All timers that are due fire before any message that has
// arrived is read, which is the worst order.
func (n *testNode) wake() {
	n.paused = false
	waiting := append(n.timers, n.arrived...)
	n.timers, n.arrived = nil, nil
	for _, f := range waiting {
		f()
	}
}

// Send implements peer.Transport.
func (n *testNode) Send(to structs.DaemonID, message peer.Message) {
	w := n.network
	line, err := peer.Encode(n.id, to, message)
	if err != nil {
		w.t.Fatal(err)
	}
	w.bytes += len(line)
	n.sent += len(line)
	n.peers[to.Address()] = true
	if w.random.Float64() < w.loss {
		return
	}
	delay := w.delay
	if w.jitter > 0 {
		delay += time.Duration(w.random.Int64N(int64(w.jitter)))
	}
	w.clock.AfterFunc(delay, func() { w.deliver(n, to, line) })
}

func (w *testNetwork) deliver(sender *testNode, to structs.DaemonID, line []byte) {
	for _, receiver := range w.byAddress[to.Address()] {
		if receiver.down {
			continue
		}
		if to.Incarnation() != structs.AnyIncarnation && to != receiver.id {
			continue
		}
		if w.isPartitioned != nil && w.isPartitioned(sender, receiver) {
			continue
		}
		from, _, message, err := peer.Decode(line)
		if err != nil {
			w.t.Fatal(err)
		}
		receiver.whenAwake(&receiver.arrived, func() { receiver.Receive(from, message) })
	}
}

func newTestNetwork(t *testing.T, seed uint64, daemons int) *testNetwork {
	start := time.Unix(1_700_000_000, 0)
	w := &testNetwork{
		t:         t,
		clock:     clock.NewVirtual(start),
		random:    rand.New(rand.NewPCG(seed, 1)),
		delay:     2 * time.Millisecond,
		byAddress: map[string][]*testNode{},
	}
	for index := range daemons {
		w.add(index, uint64(1_700_000_000_000_000_000)+uint64(index))
	}
	w.publishMachineList()
	return w
}

// zoneCount is the number of zones that daemons are spread over.
const zoneCount = 3

// add starts a daemon at the address of an index.
func (w *testNetwork) add(index int, run uint64) *testNode {
	node := &testNode{
		network: w,
		index:   index,
		zone:    index % zoneCount,
		peers:   map[string]bool{},
		id:      structs.NewDaemonID(fmt.Sprintf("10.1.%d.%d:7000", index/250, index%250+1), run),
	}
	node.Membership = New(Options{
		Self: structs.Daemon{
			ID:          node.id,
			Zone:        structs.ZoneName(fmt.Sprintf("zone-%d", node.zone)),
			Region:      "region-1",
			HTTPAddress: fmt.Sprintf("10.1.%d.%d:8080", index/250, index%250+1),
		},
		Clock:     nodeClock{node},
		Random:    rand.New(rand.NewPCG(run, w.random.Uint64())),
		Transport: node,
		Settings:  DefaultSettings(),
		Logger:    zerolog.Nop(),
	})
	node.Subscribe(func(member Member) {
		if member.State == StateDead {
			w.deaths = append(w.deaths, death{at: w.clock.Now(), observer: node, daemon: member.Daemon.ID})
		}
	})
	w.nodes = append(w.nodes, node)
	w.byAddress[node.id.Address()] = append(w.byAddress[node.id.Address()], node)
	node.Start()
	return node
}

// publishMachineList passes the list of all machines to every daemon.
func (w *testNetwork) publishMachineList() {
	var machines []structs.Machine
	for _, node := range w.nodes {
		machines = append(machines, structs.Machine{Kind: structs.MachineDaemon, Address: node.id.Address()})
	}
	for _, node := range w.nodes {
		node.MachinesListed(machines)
	}
}

func (w *testNetwork) run(d time.Duration) { w.clock.RunUntil(w.clock.Now().Add(d)) }

// up returns the running daemons.
func (w *testNetwork) up() []*testNode {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *testNode) bool { return n.down })
}

// hasConverged reports whether every running daemon sees exactly the running
// daemons, alive.
func (w *testNetwork) hasConverged() bool {
	up := w.up()
	for _, node := range up {
		if len(node.Members()) != len(up) {
			return false
		}
		for _, other := range up {
			if node.State(other.id) != StateAlive {
				return false
			}
		}
	}
	return true
}

// converge runs until all agree, and fails the test when that takes longer than
// limit.
func (w *testNetwork) converge(limit time.Duration) time.Duration {
	w.t.Helper()
	start := w.clock.Now()
	for !w.hasConverged() {
		if w.clock.Now().Sub(start) > limit {
			w.t.Fatalf("no agreement within %v: %s", limit, w.disagreement())
		}
		w.run(100 * time.Millisecond)
	}
	return w.clock.Now().Sub(start)
}

func (w *testNetwork) disagreement() string {
	for _, node := range w.up() {
		for _, other := range w.up() {
			if state := node.State(other.id); state != StateAlive {
				return fmt.Sprintf("%s believes %s %s; %d members", node.id, other.id, state, len(node.Members()))
			}
		}
	}
	return "daemons that do not run are still members"
}
