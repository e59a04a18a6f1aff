package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// leaderlessAfter is how long no leader of a shard must be known before a
// former member asks all daemons. It must exceed the time of an election.
const leaderlessAfter = 10 * time.Second

// A leaderless shard is one whose group in the stream is out of date: it
// includes this daemon, which has left the group since, and no leader is known.
// The note of the later group may never have been written, if the log was down,
// and that group may be lost. No daemon would then search for the shard as an
// orphan, because a member named in the stream is alive.

// dueLeaderless returns the shards that have been leaderless for
// leaderlessAfter, and requests routes for the others. The caller holds the
// mutex.
func (g *registry) dueLeaderless() []structs.ShardNumber {
	m := g.manager
	if !g.hasGroups {
		return nil
	}
	now := m.Clock.Now()
	var due []structs.ShardNumber
	for shard := range structs.ShardNumber(m.Settings.Shards) {
		if !g.isLeaderless(shard) {
			delete(g.leaderlessSince, shard)
			continue
		}
		since, known := g.leaderlessSince[shard]
		switch {
		case !known:
			g.leaderlessSince[shard] = now
			m.requestRoute(shard)
		case now.Sub(since) < leaderlessAfter:
			m.requestRoute(shard)
		default:
			due = append(due, shard)
		}
	}
	return due
}

// isLeaderless reports whether this daemon must search for a shard: it is the
// first living daemon of the group in the stream, it is no longer a member, the
// dead daemons of that group are confirmed gone, and no living leader is known.
func (g *registry) isLeaderless(shard structs.ShardNumber) bool {
	m := g.manager
	group := g.groups[shard].group
	if !group.Contains(m.Self.ID) || m.isMemberOf(shard) || m.knowsLeader(shard) {
		return false
	}
	first := true
	for _, member := range group {
		if member == m.Self.ID {
			first = false
			continue
		}
		alive := m.Alive(member)
		if (alive && first) || (!alive && !m.isConfirmedGone(member)) {
			return false
		}
	}
	return true
}

// knowsLeader reports whether a local or cached route names a living leader.
func (m *Manager) knowsLeader(shard structs.ShardNumber) bool {
	m.mutex.Lock()
	local := m.routes.local[shard].route
	cached := m.routes.entry(shard).route
	m.mutex.Unlock()
	return m.withoutDeadLeader(local).Leader != "" || m.withoutDeadLeader(cached).Leader != ""
}

// coversRecentMachineList reports whether asked includes every daemon that the
// machine list names now or has named within ClaimGrace.
func (m *Manager) coversRecentMachineList(asked Group) bool {
	if !m.coversMachineList(asked) {
		return false
	}
	addresses := map[string]bool{m.Self.ID.Address(): true}
	for _, daemon := range asked {
		addresses[daemon.Address()] = true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for address := range m.machineList.unlistedAt {
		if !addresses[address] && m.machineList.missingFor(address) < m.Settings.ClaimGrace {
			return false
		}
	}
	return true
}
