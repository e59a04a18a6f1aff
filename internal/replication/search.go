package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// isOrphan reports whether all members of a shard, according to the stream, are
// believed dead.
func (g *registry) isOrphan(shard structs.ShardNumber) bool {
	known, exists := g.groups[shard]
	if !exists || len(known.group) == 0 {
		return false
	}
	return !slices.ContainsFunc(known.group, g.manager.Alive)
}

func (g *registry) hasOrphan() bool { return len(g.orphans()) > 0 }

func (g *registry) orphans() []structs.ShardNumber {
	if !g.hasGroups {
		return nil
	}
	var orphans []structs.ShardNumber
	for shard := range structs.ShardNumber(g.manager.Settings.Shards) {
		if g.isOrphan(shard) {
			orphans = append(orphans, shard)
		}
	}
	return orphans
}

// search asks all daemons about shards whose known members are all dead, and
// about those of which this daemon may hold the last replica. A shard is
// claimed only when every living daemon has answered that it is no member, and
// every daemon on the machine list was asked.
type search struct {
	shards     []structs.ShardNumber
	survivors  map[structs.ShardNumber]*survivor
	leaderless map[structs.ShardNumber]bool
	asked      Group
	waiting    Group
	found      map[structs.ShardNumber]bool
	startedAt  time.Time
}

// searchInterval is the delay between searches.
const searchInterval = 2 * time.Second

// searchBatchDelay is how long a search waits for other shards of this daemon
// that lose their majority at the same time.
const searchBatchDelay = 50 * time.Millisecond

// scheduleSearch schedules a search without waiting for the next tick, but no
// sooner than searchInterval after the previous one.
func (g *registry) scheduleSearch() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.searchTimer != nil {
		return
	}
	g.searchTimer = g.manager.Clock.AfterFunc(max(searchBatchDelay, g.timeUntilNextSearch()), func() {
		g.mutex.Lock()
		g.searchTimer = nil
		g.mutex.Unlock()
		if !g.manager.isStopped() {
			g.searchOrphans()
		}
	})
}

// timeUntilNextSearch returns how long the next search must still wait. The
// caller holds the mutex.
func (g *registry) timeUntilNextSearch() time.Duration {
	if g.search == nil {
		return 0
	}
	age := g.manager.Clock.Now().Sub(g.search.startedAt)
	if age < 0 || age >= searchInterval {
		return 0
	}
	return searchInterval - age
}

// maxSearchShards limits the shards of one search.
const maxSearchShards = 128

// searchOrphans starts a search for the shards that this daemon must search
// for, in place of the previous one.
func (g *registry) searchOrphans() {
	m := g.manager
	daemons := m.candidates()
	g.mutex.Lock()
	if g.timeUntilNextSearch() > 0 {
		g.mutex.Unlock()
		return
	}
	g.logUnanswered()
	s := g.nextSearch(daemons)
	if len(s.shards) == 0 {
		g.search = nil
		g.mutex.Unlock()
		return
	}
	s.asked = m.otherLiveMembers()
	s.waiting = slices.Clone(s.asked)
	g.search = s
	g.mutex.Unlock()
	for _, daemon := range s.asked {
		m.Transport.Send(daemon, &RouteRequest{Shards: s.shards})
	}
	g.claimIfSearchComplete()
}

// nextSearch returns a search for the shards that this daemon must search for:
// orphans of which it ranks first, leaderless shards, and those of survivors.
// The caller holds the mutex.
func (g *registry) nextSearch(daemons []structs.Daemon) *search {
	m := g.manager
	s := &search{
		survivors:  g.survivors,
		leaderless: map[structs.ShardNumber]bool{},
		found:      map[structs.ShardNumber]bool{},
		startedAt:  m.Clock.Now(),
	}
	g.survivors = map[structs.ShardNumber]*survivor{}
	for _, shard := range g.orphans() {
		order := ranked(shard, daemons)
		isFirst := len(order) > 0 && order[0].ID == m.Self.ID
		if isFirst && m.areAllGone(g.groups[shard].group) {
			s.add(shard)
		}
	}
	for _, shard := range g.dueLeaderless() {
		if s.add(shard) {
			s.leaderless[shard] = true
		}
	}
	for shard := range structs.ShardNumber(m.Settings.Shards) {
		if s.survivors[shard] != nil && !slices.Contains(s.shards, shard) {
			s.add(shard)
		}
	}
	return s
}

// add adds a shard unless the search is full, and reports whether it did.
func (s *search) add(shard structs.ShardNumber) bool {
	if len(s.shards) >= maxSearchShards {
		return false
	}
	s.shards = append(s.shards, shard)
	return true
}

// otherLiveMembers returns all members that are not dead, without this daemon.
func (m *Manager) otherLiveMembers() Group {
	var others Group
	for _, member := range m.Members.Members() {
		if member.Daemon.ID != m.Self.ID && member.State != membership.StateDead {
			others = append(others, member.Daemon.ID)
		}
	}
	return others
}

// logUnanswered logs what the previous search still waits for: daemons that did
// not answer, and listed machines that could not be asked. The caller holds the
// mutex.
func (g *registry) logUnanswered() {
	s := g.search
	if s == nil {
		return
	}
	unasked := g.manager.unasked(s.asked)
	if len(s.waiting)+len(unasked) == 0 {
		return
	}
	g.manager.Logger.Info().Int("shards", len(s.shards)).Any("unanswered", s.waiting).Strs("unreachable", unasked).
		Msg("Search for replicas incomplete. A shard is claimed once every listed daemon has answered.")
}

func (m *Manager) areAllGone(group Group) bool {
	return !slices.ContainsFunc(group, func(daemon structs.DaemonID) bool { return !m.isConfirmedGone(daemon) })
}

// handleSearchReply adds a daemon's reply to the search.
func (g *registry) handleSearchReply(from structs.DaemonID, reply *RouteReply) {
	g.mutex.Lock()
	s := g.search
	if s == nil || !s.waiting.Contains(from) {
		g.mutex.Unlock()
		return
	}
	matched := 0
	var contradicted []structs.ShardNumber
	for _, route := range reply.Routes {
		if !slices.Contains(s.shards, route.Shard) {
			continue
		}
		matched++
		own := s.survivors[route.Shard]
		if (own == nil && route.Holder) || (own != nil && own.contradicts(from, route)) {
			s.found[route.Shard] = true
		}
		if s.leaderless[route.Shard] && route.Leader != "" {
			s.found[route.Shard] = true
		}
		if own != nil && own.contradicts(from, route) {
			contradicted = append(contradicted, route.Shard)
		}
	}
	if matched == len(s.shards) {
		s.waiting = s.waiting.without(from)
	}
	g.mutex.Unlock()
	for _, shard := range contradicted {
		if r := g.manager.replica(shard); r != nil {
			r.post(func() { r.addOutsideReplica(from) })
		}
	}
	g.claimIfSearchComplete()
}

// claimIfSearchComplete claims the shards of which no replica was found, once
// all daemons answered.
func (g *registry) claimIfSearchComplete() {
	m := g.manager
	g.mutex.Lock()
	s := g.search
	if s == nil || len(s.waiting) > 0 || !m.coversMachineList(s.asked) {
		g.mutex.Unlock()
		return
	}
	var claims []claim
	for _, shard := range s.shards {
		if own := s.survivors[shard]; own != nil {
			if !s.found[shard] {
				claims = append(claims, own.claim)
			}
			continue
		}
		held := s.found[shard] || m.isMemberOf(shard)
		if s.leaderless[shard] && !m.coversRecentMachineList(s.asked) {
			continue
		}
		if !held {
			claims = append(claims, claim{
				Shard:      shard,
				Generation: g.groups[shard].generation + 1,
				Claimant:   m.Self.ID,
				Empty:      true,
			})
		}
	}
	g.mutex.Unlock()
	for _, c := range claims {
		g.queueClaim(c)
	}
	if len(claims) > 0 {
		g.write()
	}
}

// isMemberOf reports whether this daemon holds a replica as a member.
func (m *Manager) isMemberOf(shard structs.ShardNumber) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.routes.local[shard].member
}

// coversMachineList reports whether every daemon on the machine list is among
// those asked.
func (m *Manager) coversMachineList(asked Group) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.machineList.wasRead() && len(m.unaskedLocked(asked)) == 0
}

// unasked returns the addresses on the machine list that are not among those
// asked, sorted.
func (m *Manager) unasked(asked Group) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.unaskedLocked(asked)
}

// unaskedLocked is unasked for a caller that holds the mutex.
func (m *Manager) unaskedLocked(asked Group) []string {
	addresses := map[string]bool{m.Self.ID.Address(): true}
	for _, daemon := range asked {
		addresses[daemon.Address()] = true
	}
	var missing []string
	for address := range m.machineList.listed {
		if !addresses[address] {
			missing = append(missing, address)
		}
	}
	slices.Sort(missing)
	return missing
}
