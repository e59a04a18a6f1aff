package replication

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Options holds the dependencies and settings of a Manager.
type Options struct {
	Self        structs.Daemon
	Clock       clock.Clock
	Random      *rand.Rand
	Transport   peer.Transport
	Log         framework.EventLog
	Members     membership.View
	Application Application
	Settings    Settings
	Logger      zerolog.Logger
	// Guards is the zero value in production; see Guards.
	Guards Guards
}

// Manager holds a daemon's replicas and the routes of the other shards. It is
// safe for concurrent use.
type Manager struct {
	Options
	registry      *registry
	archiveWriter *archiveWriter

	mutex    sync.Mutex
	stopped  bool
	replicas map[structs.ShardNumber]*replica
	// voteStates are the vote states of replicas that were dropped.
	voteStates  map[structs.ShardNumber]voteState
	routes      routeTable
	routeLookup routeLookup
	// deadAt is since when daemons are believed dead.
	deadAt map[structs.DaemonID]time.Time
	// latestIncarnation is the highest incarnation ever seen at an address.
	latestIncarnation map[string]uint64
	machineList       machineListView
	// leavingAddresses are the addresses whose latest run announced its stop.
	leavingAddresses map[string]bool

	transfers, changes int
	rebalancedAt       time.Time
	shardsToPlan       map[structs.ShardNumber]bool
	planTimer          clock.Timer
	planDue            time.Time
	auditRound         int
	stopState          plannedStop
	contradictions     int
}

// New returns a manager without replicas. Start starts it.
func New(options Options) *Manager {
	m := &Manager{
		Options:           options,
		replicas:          map[structs.ShardNumber]*replica{},
		voteStates:        map[structs.ShardNumber]voteState{},
		routes:            newRouteTable(),
		routeLookup:       newRouteLookup(),
		deadAt:            map[structs.DaemonID]time.Time{},
		latestIncarnation: map[string]uint64{options.Self.ID.Address(): options.Self.ID.Incarnation()},
		machineList:       newMachineListView(),
		leavingAddresses:  map[string]bool{},
		shardsToPlan:      map[structs.ShardNumber]bool{},
	}
	m.registry = newRegistry(m)
	m.archiveWriter = &archiveWriter{manager: m}
	return m
}

// Start starts to read the groups' stream and to react to membership.
func (m *Manager) Start() {
	m.Members.Subscribe(m.memberChanged)
	m.registry.start()
	m.archiveWriter.start()
	m.scheduleAudit()
}

// Stop ends all replicas at once, as a crash would, except that
// Application.Follow is called for the shards led here.
func (m *Manager) Stop() {
	m.mutex.Lock()
	m.stopped = true
	m.mutex.Unlock()
	for _, r := range m.sortedReplicas() {
		r.queue.Do(func() {
			r.stopElectionTimer()
			r.stopLeading()
		})
	}
}

func (m *Manager) isStopped() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stopped
}

// Alive reports whether a daemon is believed to run.
func (m *Manager) Alive(daemon structs.DaemonID) bool {
	return daemon == m.Self.ID || m.Members.State(daemon) != membership.StateDead
}

// Receive handles a message of this package and reports whether it was one.
func (m *Manager) Receive(from structs.DaemonID, message peer.Message) bool {
	shard, routed := shardOf(message)
	if !routed {
		return m.receiveForDaemon(from, message)
	}
	if m.isStopped() || int(shard) >= m.Settings.Shards {
		return true
	}
	r := m.replica(shard)
	if r == nil {
		r = m.replicaFor(from, shard, message)
	}
	if r != nil {
		r.post(func() { r.receive(from, message) })
	}
	return true
}

func (m *Manager) receiveForDaemon(from structs.DaemonID, message peer.Message) bool {
	switch body := message.(type) {
	case *RouteRequest:
		m.answerRouteRequest(from, body)
	case *RouteReply:
		m.receiveRouteReply(from, body)
	case *Audit:
		m.answerAudit(from, body)
	default:
		return false
	}
	return true
}

// shardOf returns the shard of a message to a replica.
func shardOf(message peer.Message) (structs.ShardNumber, bool) {
	switch m := message.(type) {
	case *AppendRequest:
		return m.Shard, true
	case *AppendReply:
		return m.Shard, true
	case *VoteRequest:
		return m.Shard, true
	case *VoteReply:
		return m.Shard, true
	case *LeadershipTransfer:
		return m.Shard, true
	case *SnapshotChunk:
		return m.Shard, true
	case *SnapshotChunkReply:
		return m.Shard, true
	case *Dismiss:
		return m.Shard, true
	}
	return 0, false
}

// replicaFor creates a replica when a leader sends this daemon a shard's log or
// state. A leader whose shard was claimed by another daemon is refused with the
// newer epoch.
func (m *Manager) replicaFor(from structs.DaemonID, shard structs.ShardNumber, message peer.Message) *replica {
	var epoch structs.Epoch
	switch body := message.(type) {
	case *AppendRequest:
		epoch = body.Epoch
	case *SnapshotChunk:
		epoch = body.Epoch
	default:
		return nil
	}
	m.mutex.Lock()
	former := m.voteStates[shard]
	m.mutex.Unlock()
	if known := m.registry.epoch(shard); known > former.epoch {
		former = voteState{epoch: known}
	}
	if epoch < former.epoch {
		m.Transport.Send(from, &AppendReply{Shard: shard, Epoch: former.epoch, Refused: true})
		return nil
	}
	return m.open(shard, former, nil)
}

// open creates a replica of a shard unless there is one.
func (m *Manager) open(shard structs.ShardNumber, former voteState, group Group) *replica {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if existing := m.replicas[shard]; existing != nil {
		return existing
	}
	if kept := m.voteStates[shard]; kept.epoch >= former.epoch {
		former = kept
	}
	r := newReplica(m, shard, former, group)
	m.replicas[shard] = r
	delete(m.voteStates, shard)
	return r
}

// forget removes a dropped replica and keeps its vote state.
func (m *Manager) forget(r *replica) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.replicas[r.shard] == r {
		delete(m.replicas, r.shard)
		m.voteStates[r.shard] = r.voteState
		m.routes.leaveGroup(r.shard)
	}
}

func (m *Manager) replica(shard structs.ShardNumber) *replica {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.replicas[shard]
}

// sortedReplicas returns all replicas by shard.
func (m *Manager) sortedReplicas() []*replica {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	list := make([]*replica, 0, len(m.replicas))
	for _, r := range m.replicas {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *replica) int { return int(a.shard) - int(b.shard) })
	return list
}

// jitter returns a random duration below limit.
func (m *Manager) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Duration(m.Random.Int64N(int64(limit)))
}

// memberChanged handles every change of membership.
func (m *Manager) memberChanged(member membership.Member) {
	if m.isStopped() {
		return
	}
	m.mutex.Lock()
	address := member.Daemon.ID.Address()
	m.latestIncarnation[address] = max(m.latestIncarnation[address], member.Daemon.ID.Incarnation())
	m.recordLeaving(member)
	if member.State != membership.StateDead {
		delete(m.deadAt, member.Daemon.ID)
	} else if _, known := m.deadAt[member.Daemon.ID]; !known {
		m.deadAt[member.Daemon.ID] = m.Clock.Now()
	}
	m.mutex.Unlock()
	for _, r := range m.sortedReplicas() {
		r.post(func() {
			r.membershipChanged(member)
			if r.leaderState != nil {
				r.leaderState.requestPlan()
			}
		})
	}
	m.registry.memberChanged()
}

func (m *Manager) countContradiction() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.contradictions++
}

func (m *Manager) isHandingOver() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stopState.active
}
