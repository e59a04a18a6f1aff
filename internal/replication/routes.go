package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// routeTable holds the known leaders of shards. The Manager's mutex guards it.
type routeTable struct {
	// local are the routes known from this daemon's own replicas.
	local map[structs.ShardNumber]localRoute
	// cached are the routes learned from other daemons.
	cached map[structs.ShardNumber]*cachedRoute
}

type localRoute struct {
	route  Route
	member bool
	leads  bool
}

type cachedRoute struct {
	route Route
	// holder is a daemon that reported to be a member.
	holder      structs.DaemonID
	requestedAt time.Time
	requests    int
	// noMajorityAt is when a member last reported that there is no majority.
	noMajorityAt time.Time
}

// noMajorityValidity is how long a member's report counts that its group has no
// majority.
const noMajorityValidity = time.Second

func newRouteTable() routeTable {
	return routeTable{
		local:  map[structs.ShardNumber]localRoute{},
		cached: map[structs.ShardNumber]*cachedRoute{},
	}
}

// leadsAny reports whether any route names this daemon as leader.
func (t *routeTable) leadsAny(self structs.DaemonID) bool {
	for _, local := range t.local {
		if local.leads || local.route.Leader == self {
			return true
		}
	}
	return false
}

// countLed counts the shards that this daemon leads.
func (t *routeTable) countLed() int {
	count := 0
	for _, local := range t.local {
		if local.leads {
			count++
		}
	}
	return count
}

// leaveGroup removes the local route and caches it.
func (t *routeTable) leaveGroup(shard structs.ShardNumber) {
	local, known := t.local[shard]
	delete(t.local, shard)
	if known {
		t.entry(shard).route = Route{Leader: local.route.Leader, Epoch: local.route.Epoch}
	}
}

func (t *routeTable) entry(shard structs.ShardNumber) *cachedRoute {
	entry := t.cached[shard]
	if entry == nil {
		entry = &cachedRoute{}
		t.cached[shard] = entry
	}
	return entry
}

// hasShardWithoutMajority reports whether a group of this daemon has no
// majority.
func (m *Manager) hasShardWithoutMajority() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, local := range m.routes.local {
		if local.member && local.route.NoMajority {
			return true
		}
	}
	return false
}

func (m *Manager) publishRoute(shard structs.ShardNumber, route Route, member, leads bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.replicas[shard] == nil {
		return
	}
	m.routes.local[shard] = localRoute{route: route, member: member, leads: leads}
}

// Route returns the leader of a shard. When that is not known here it requests
// the route from daemons that may know, for a later call.
func (m *Manager) Route(shard structs.ShardNumber) Route {
	m.mutex.Lock()
	entry := m.routes.entry(shard)
	if local := m.routes.local[shard]; local.member && local.route.Epoch >= entry.route.Epoch {
		m.mutex.Unlock()
		return m.withoutDeadLeader(local.route)
	}
	route := entry.route
	now := m.Clock.Now()
	noMajorityReported := !entry.noMajorityAt.IsZero() && now.Sub(entry.noMajorityAt) < noMajorityValidity
	m.mutex.Unlock()
	route = m.withoutDeadOrOwnLeader(route)
	if route.Leader != "" {
		return route
	}
	m.requestRoute(shard)
	route.NoMajority = noMajorityReported || m.registry.isUnavailable(shard)
	return route
}

// withoutDeadLeader removes a leader that is believed dead from a route.
func (m *Manager) withoutDeadLeader(route Route) Route {
	if route.Leader != "" && !m.Alive(route.Leader) {
		route.Leader = ""
	}
	return route
}

// withoutDeadOrOwnLeader also removes this daemon: whether it leads is known
// from its own replica only.
func (m *Manager) withoutDeadOrOwnLeader(route Route) Route {
	if route.Leader == m.Self.ID {
		route.Leader = ""
	}
	return m.withoutDeadLeader(route)
}

// Learn adds a route that another daemon sent. One without a leader triggers a
// route request.
func (m *Manager) Learn(shard structs.ShardNumber, route Route) {
	if int(shard) >= m.Settings.Shards {
		return
	}
	m.mutex.Lock()
	entry := m.routes.entry(shard)
	if route.Leader != "" && route.Epoch >= entry.route.Epoch {
		entry.route = Route{Leader: route.Leader, Epoch: route.Epoch}
		entry.requests = 0
	}
	m.mutex.Unlock()
	if route.Leader == "" {
		m.requestRoute(shard)
	}
}

// shardRoute returns this daemon's own knowledge about a shard.
func (m *Manager) shardRoute(shard structs.ShardNumber) ShardRoute {
	m.mutex.Lock()
	local, known := m.routes.local[shard]
	if !known {
		local.route = m.routes.entry(shard).route
		local.route.Epoch = max(local.route.Epoch, m.voteStates[shard].epoch)
	}
	m.mutex.Unlock()
	route := m.withoutDeadLeader(local.route)
	if !known {
		route = m.withoutDeadOrOwnLeader(local.route)
	}
	return ShardRoute{
		Shard:      shard,
		Leader:     route.Leader,
		Epoch:      route.Epoch,
		NoMajority: route.NoMajority,
		Holder:     local.member,
		Leads:      local.leads,
	}
}

func (m *Manager) answerRouteRequest(from structs.DaemonID, request *RouteRequest) {
	answer := &RouteReply{}
	for _, shard := range request.Shards {
		if int(shard) < m.Settings.Shards {
			answer.Routes = append(answer.Routes, m.shardRoute(shard))
		}
	}
	if request.More {
		answer.Routes = append(answer.Routes, m.extraRoutes(request)...)
	}
	m.Transport.Send(from, answer)
}

// receiveRouteReply handles routes that were requested.
func (m *Manager) receiveRouteReply(from structs.DaemonID, reply *RouteReply) {
	for _, route := range reply.Routes {
		if int(route.Shard) >= m.Settings.Shards {
			continue
		}
		m.learnFrom(from, route)
		if r := m.replica(route.Shard); r != nil {
			r.post(func() { r.receiveRoute(from, route) })
		}
	}
	m.registry.handleSearchReply(from, reply)
}

func (m *Manager) learnFrom(from structs.DaemonID, route ShardRoute) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry := m.routes.entry(route.Shard)
	if route.Holder {
		entry.holder = from
	}
	if route.Leader != "" && route.Epoch >= entry.route.Epoch {
		entry.route = Route{Leader: route.Leader, Epoch: route.Epoch}
		entry.requests = 0
	}
	if route.Holder && route.NoMajority {
		entry.noMajorityAt = m.Clock.Now()
	}
}

// maxAuditedShards limits the shards of one audit.
const maxAuditedShards = 64

// scheduleAudit asks one other daemon at a time, at intervals, whether it still
// leads the replicas held here. Elections are driven by membership changes; an
// audit finds what these missed, such as a leader that resumed after a pause
// and no longer leads.
func (m *Manager) scheduleAudit() {
	m.Clock.AfterFunc(m.Settings.AuditInterval+m.jitter(m.Settings.AuditInterval/4), func() {
		if m.isStopped() {
			return
		}
		m.audit()
		m.scheduleAudit()
	})
}

func (m *Manager) audit() {
	m.mutex.Lock()
	byDaemon := map[structs.DaemonID][]ShardEpoch{}
	for shard, local := range m.routes.local {
		if leader := local.route.Leader; leader != "" && leader != m.Self.ID {
			byDaemon[leader] = append(byDaemon[leader], ShardEpoch{Shard: shard, Epoch: local.route.Epoch})
		}
	}
	m.auditRound++
	round := m.auditRound
	m.mutex.Unlock()
	if len(byDaemon) == 0 {
		return
	}
	leaders := make(Group, 0, len(byDaemon))
	for leader := range byDaemon {
		leaders = append(leaders, leader)
	}
	slices.Sort(leaders)
	leader := leaders[round%len(leaders)]
	shards := byDaemon[leader]
	slices.SortFunc(shards, func(a, b ShardEpoch) int { return int(a.Shard) - int(b.Shard) })
	if len(shards) > maxAuditedShards {
		first := (round * maxAuditedShards) % len(shards)
		shards = slices.Concat(shards[first:], shards[:first])[:maxAuditedShards]
	}
	m.Transport.Send(leader, &Audit{Shards: shards})
}

// answerAudit replies with the shards on which the sender's replicas and this
// daemon disagree. The sender is dismissed from groups that it is no member of.
func (m *Manager) answerAudit(from structs.DaemonID, audit *Audit) {
	answer := &RouteReply{}
	for _, asked := range audit.Shards {
		if int(asked.Shard) >= m.Settings.Shards {
			continue
		}
		own := m.shardRoute(asked.Shard)
		if !own.Leads || own.Epoch != asked.Epoch {
			answer.Routes = append(answer.Routes, own)
			continue
		}
		if r := m.replica(asked.Shard); r != nil {
			r.post(func() { r.dismissNonMember(from) })
		}
	}
	if len(answer.Routes) > 0 {
		m.Transport.Send(from, answer)
	}
}

// dismissNonMember dismisses a daemon that follows this leader without being in
// its group.
func (r *replica) dismissNonMember(daemon structs.DaemonID) {
	if r.leaderState == nil || r.leaderState.targets().Contains(daemon) || r.log.groupIndex > r.commit {
		return
	}
	r.leaderState.sendDismiss(daemon)
}

// receiveRoute compares another daemon's route with this replica's state.
func (r *replica) receiveRoute(from structs.DaemonID, route ShardRoute) {
	if route.Epoch > r.voteState.epoch {
		r.observe(route.Epoch)
		r.scheduleElection()
		return
	}
	if r.leaderState == nil && r.leader == from && !route.Leads {
		r.leader = ""
		r.publish()
		r.scheduleElection()
	}
}
