// Package node assembles the decision code of one daemon: membership,
// configuration, replication, scheduling, dispatch and submission. It uses no
// socket and no wall clock, so that a daemon and the simulated fleet run the
// same code with different clocks, transports and drivers.
package node

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/backends"
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/placement"
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy" // queue policies
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer"      // scorers and filters
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/query"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/submit"
)

// Settings holds the settings of a node's components.
type Settings struct {
	// Shards is the fixed number of program shards, the same in the whole
	// fleet.
	Shards int
	// QueueLimit is how many calls may wait in this daemon.
	QueueLimit int
	// Memory limits the memory of programs in this daemon.
	Memory        program.MemoryLimits
	Configuration configuration.Settings
	Dispatch      dispatch.Settings
	Submit        submit.Settings
	Backends      backends.Settings
	Membership    membership.Settings
	// Replication has the groups' settings; its Shards and ArchivedShards are
	// derived from Shards and Placement.Shards.
	Replication replication.Settings
	Placement   placement.Settings
}

// DefaultSettings returns settings for the fleet sizes of docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		Shards:        64,
		QueueLimit:    4096,
		Memory:        program.DefaultMemoryLimits(),
		Configuration: configuration.DefaultSettings(),
		Dispatch:      dispatch.DefaultSettings(),
		Submit:        submit.DefaultSettings(),
		Backends:      backends.DefaultSettings(),
		Membership:    membership.DefaultSettings(),
		Replication:   replication.DefaultSettings(),
		Placement:     placement.DefaultSettings(),
	}
}

// Options holds the dependencies and settings of a Node.
type Options struct {
	Self  structs.Daemon
	Clock clock.Clock
	// Random seeds the components' own sources; it is used in New only.
	Random    *rand.Rand
	Transport peer.Transport
	Drivers   framework.Drivers
	Settings  Settings
	Guards    Guards
	Logger    zerolog.Logger
}

// Node is the decision code of one daemon.
type Node struct {
	Options
	Membership     *membership.Membership
	Configurations *configuration.Store
	Scheduler      *schedule.Scheduler
	Directory      *backends.Directory
	Coordinator    *dispatch.Coordinator
	Submitter      *submit.Submitter
	Placement      *placement.Manager
	// Queries queries the leaders of shards about programs.
	Queries *query.Client
	// Replication holds this daemon's replicas of the shards.
	Replication *replication.Manager

	readiness readinessTracker
	leaving   atomic.Bool
}

// New assembles a node. The order matters, since components depend on earlier
// ones. Start starts it.
func New(options Options) *Node {
	n := &Node{Options: options}
	n.Membership = n.newMembership()
	n.Configurations = n.newConfigurations()
	n.Membership.OnNote(n.Configurations.ReceiveNote)
	n.Configurations.Subscribe(func(configuration.Status) { n.Membership.SetNote(n.Configurations.Note()) })
	n.Scheduler = n.newScheduler()
	n.Directory = n.newDirectory()
	n.Coordinator = n.newCoordinator()
	n.Placement = n.newPlacement()
	n.Replication = n.newReplication()
	n.Submitter = submit.New(options.Clock, options.Transport, n, options.Settings.Submit)
	n.Submitter.Guards = options.Guards.Submit
	n.Queries = query.New(options.Clock, options.Transport, n)
	return n
}

// Start starts the node.
func (n *Node) Start() {
	n.Membership.Start()
	n.Replication.Start()
	n.Configurations.Start()
	n.Directory.Start()
	n.Placement.Start()
}

// drainPollInterval is the delay between checks whether callers still wait
// here.
const drainPollInterval = 50 * time.Millisecond

// Leave prepares a planned stop: the others give this daemon no new work, and
// its shards are handed over to other members. done is called once, when
// nothing that could be handed over is left and no caller of this daemon waits
// any more.
func (n *Node) Leave(done func()) {
	n.leaving.Store(true)
	if n.Guards.SkipDrain {
		done()
		return
	}
	n.Membership.Leave()
	n.Replication.HandOver(func() { n.awaitCallers(done) })
}

// Leaving reports whether a planned stop has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// awaitCallers calls done once every call submitted through this daemon has its
// outcome.
func (n *Node) awaitCallers(done func()) {
	if n.Submitter.Pending() == 0 {
		done()
		return
	}
	n.Clock.AfterFunc(drainPollInterval, func() { n.awaitCallers(done) })
}

// Stop ends all timers of the node.
func (n *Node) Stop() {
	n.Replication.Stop()
	n.Placement.Stop()
	n.Configurations.Stop()
	n.Directory.Stop()
	n.Membership.Stop()
}

// Receive implements peer.Handler.
func (n *Node) Receive(from structs.DaemonID, message peer.Message) {
	if n.Membership.Receive(from, message) {
		return
	}
	if n.Replication.Receive(from, message) {
		return
	}
	if n.Configurations.Receive(from, message) {
		return
	}
	if n.Directory.Receive(from, message) {
		return
	}
	if n.Coordinator.Receive(from, message) {
		return
	}
	if n.Submitter.Receive(from, message) {
		return
	}
	if n.Placement.Receive(from, message) {
		return
	}
	n.Queries.Receive(from, message)
}

// Submit submits a call to the fleet.
func (n *Node) Submit(call structs.Call, caller submit.Caller) *submit.Submission {
	return n.Submitter.Submit(call, caller)
}

// Shard implements dispatch.Router.
func (n *Node) Shard(key structs.ProgramKey) structs.ShardNumber {
	return replication.ShardOf(key, n.Settings.Shards)
}

// Route implements dispatch.Router.
func (n *Node) Route(shard structs.ShardNumber) replication.Route { return n.Replication.Route(shard) }

// Learn implements submit.Router.
func (n *Node) Learn(shard structs.ShardNumber, route replication.Route) {
	n.Replication.Learn(shard, route)
}

// Alive implements submit.Router.
func (n *Node) Alive(daemon structs.DaemonID) bool { return n.Membership.Alive(daemon) }

func (n *Node) machinesListed(machines []structs.Machine) {
	n.Membership.MachinesListed(machines)
	n.Replication.MachinesListed(machines)
	n.Placement.MachinesListed(machines)
}

func (n *Node) machinesUnchanged() { n.Replication.MachinesUnchanged() }

// random returns a separate source for a component: components run on several
// goroutines, and a source is not safe for concurrent use.
func (n *Node) random() *rand.Rand {
	return rand.New(rand.NewPCG(n.Random.Uint64(), n.Random.Uint64()))
}

// peers lists the other daemons for the exchange of configuration.
func (n *Node) peers() []structs.DaemonID {
	var others []structs.DaemonID
	for _, member := range n.Membership.Members() {
		if member.Daemon.ID != n.Self.ID {
			others = append(others, member.Daemon.ID)
		}
	}
	return others
}
