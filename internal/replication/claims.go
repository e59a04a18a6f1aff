package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// claimWon replaces a lost group by this daemon alone. The generation fences
// every former leader and voter; the group grows again by ordinary changes.
func (m *Manager) claimWon(c claim) {
	former := voteState{epoch: firstEpoch(c.Generation), votedFor: m.Self.ID}
	r := m.replica(c.Shard)
	if r == nil {
		if !c.Empty {
			return
		}
		r = m.open(c.Shard, former, Group{m.Self.ID})
	}
	r.post(func() {
		if !r.isNewClaim(c) {
			return
		}
		r.claimantUnknown = false
		r.logger.Warn().Uint64("generation", c.Generation).Uint64("last", uint64(r.log.last())).Msg("Shard claimed. Its group has lost its majority.")
		r.stopLeading()
		r.candidacy = nil
		r.voteState = former
		if c.Empty {
			r.restore(former.epoch)
			return
		}
		r.advanceCommit(r.log.last())
		r.openEpoch(former.epoch, Group{m.Self.ID})
		r.watchMajority()
	})
}

// isNewClaim reports whether a claim of this daemon is new: neither handled
// before nor superseded by another daemon's.
func (r *replica) isNewClaim(c claim) bool {
	known := generation(r.voteState.epoch)
	if known != c.Generation {
		return known < c.Generation
	}
	return r.claimantUnknown || r.log.last() == 0
}

// claimLost ends this daemon's part in a group that was claimed by another
// daemon.
func (m *Manager) claimLost(c claim) {
	r := m.replica(c.Shard)
	if r == nil {
		return
	}
	r.post(func() {
		r.observe(firstEpoch(c.Generation))
		r.resetAfterClaim()
		if r.log.last() == 0 {
			r.drop()
		}
	})
}

// claimPollInterval is the delay between checks whether a shard may be claimed.
const claimPollInterval = 500 * time.Millisecond

// pollClaim checks repeatedly whether the shard may be claimed, for as long as
// the group lacks the majority that it lost at lostAt.
func (r *replica) pollClaim(lostAt time.Time) {
	if r.majorityLostAt != lostAt {
		return
	}
	r.claimIfMajorityLost()
	r.after(claimPollInterval, func() { r.pollClaim(lostAt) })
}

// claimIfMajorityLost starts a claim of the shard when its group has lost its
// majority for good: every dead member is confirmed gone, and no living one has
// a longer log. It runs while the group has no majority.
func (r *replica) claimIfMajorityLost() {
	if r.restoring || r.hasLiveMajority() || !r.isMember() || (r.leaderState == nil && r.leader != "" && r.alive(r.leader)) {
		return
	}
	if r.majorityLostAt.IsZero() || r.Clock.Now().Sub(r.majorityLostAt) < r.Settings.NoMajorityAfter {
		return
	}
	for _, member := range r.log.group {
		if member == r.Self.ID {
			continue
		}
		if r.alive(member) && !r.knownBehind(member) {
			r.requestPositionIfDue(member)
			return
		}
		if !r.alive(member) && !r.isConfirmedGone(member) {
			return
		}
	}
	r.registry.searchBeforeClaim(&survivor{
		claim:  claim{Shard: r.shard, Generation: generation(r.voteState.epoch) + 1, Claimant: r.Self.ID},
		group:  r.log.group,
		epoch:  r.log.lastEpoch(),
		behind: r.outsideReplicasBehind(),
	})
}

// addOutsideReplica records a daemon outside the group that holds a replica
// too, and requests its log position.
func (r *replica) addOutsideReplica(from structs.DaemonID) {
	if !r.outsideReplicas.Contains(from) {
		r.outsideReplicas = append(r.outsideReplicas, from)
	}
	r.requestPosition(from)
}

// outsideReplicasBehind returns the replicas outside the group whose log is
// known to be behind this one: former members that do not know of their
// removal.
func (r *replica) outsideReplicasBehind() Group {
	var behind Group
	for _, daemon := range r.outsideReplicas {
		if r.knownBehind(daemon) {
			behind = append(behind, daemon)
		}
	}
	return behind
}

// survivor is a replica that would claim its shard. Its group may be out of
// date: while it was cut off, the group may have replaced it and its dead
// members. So all daemons are asked first.
type survivor struct {
	claim claim
	group Group
	epoch structs.Epoch
	// behind are daemons outside the group whose log is older, and which
	// therefore do not prevent the claim.
	behind Group
}

// contradicts reports whether a daemon's route shows that the group went on
// without the survivor.
func (s *survivor) contradicts(from structs.DaemonID, route ShardRoute) bool {
	return route.Holder && !s.group.Contains(from) && !s.behind.Contains(from) && route.Epoch >= s.epoch
}

// searchBeforeClaim makes the next search ask all daemons about a survivor's
// shard, and schedules it.
func (g *registry) searchBeforeClaim(s *survivor) {
	g.mutex.Lock()
	g.survivors[s.claim.Shard] = s
	g.mutex.Unlock()
	g.scheduleSearch()
}

// positionRequestInterval is the delay between requests to a member for its log
// position.
const positionRequestInterval = time.Second

// requestPositionIfDue requests a member's log position, at most once per
// positionRequestInterval.
func (r *replica) requestPositionIfDue(member structs.DaemonID) {
	now := r.Clock.Now()
	age := now.Sub(r.positionRequestedAt[member])
	if age >= 0 && age < positionRequestInterval {
		return
	}
	r.positionRequestedAt[member] = now
	r.requestPosition(member)
}

// requestPosition requests a member's log position, which the reply to a
// pre-vote contains.
func (r *replica) requestPosition(member structs.DaemonID) {
	r.send(member, &VoteRequest{
		Shard:     r.shard,
		Epoch:     r.voteState.epoch + 1,
		Last:      r.log.last(),
		LastEpoch: r.log.lastEpoch(),
		PreVote:   true,
	})
}

// position is the end of a member's log, as last reported.
type position struct {
	last  structs.Index
	epoch structs.Epoch
	at    time.Time
}

// positionValidity is how long a member's reported position counts.
const positionValidity = 5 * time.Second

// knownBehind reports whether a living member recently reported a log behind
// this one, or an equal one while it has a lower rendezvous weight for the
// shard.
func (r *replica) knownBehind(member structs.DaemonID) bool {
	p, known := r.positions[member]
	if !known || r.Clock.Now().Sub(p.at) > positionValidity {
		return false
	}
	epoch, last := r.log.lastEpoch(), r.log.last()
	if p.epoch != epoch {
		return p.epoch < epoch
	}
	if p.last != last {
		return p.last < last
	}
	return rendezvousWeight(r.shard, member) < rendezvousWeight(r.shard, r.Self.ID)
}

// queueClaim queues a claim for the stream.
func (g *registry) queueClaim(c claim) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !slices.Contains(g.claims, c) {
		g.claims = append(g.claims, c)
	}
}
