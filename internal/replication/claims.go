package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// claimWon puts this daemon alone in the place of a group that is lost. The
// generation fences every former leader and voter; the group grows again by
// ordinary changes.
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

// mayTakeUp tells whether a claim of this daemon is new: neither taken up
// before nor followed by another daemon's.
func (r *replica) isNewClaim(c claim) bool {
	known := generation(r.voteState.epoch)
	if known != c.Generation {
		return known < c.Generation
	}
	return r.claimantUnknown || r.log.last() == 0
}

// claimLost ends this daemon's part in a group that was claimed by another.
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

// claimInterval is the pause between looks whether a shard may be claimed.
const claimPollInterval = 500 * time.Millisecond

// keepConsidering looks whether the shard may be claimed for as long as the
// group lacks the majority that it lost at a time.
func (r *replica) pollClaim(lostAt time.Time) {
	if r.majorityLostAt != lostAt {
		return
	}
	r.claimIfMajorityLost()
	r.after(claimPollInterval, func() { r.pollClaim(lostAt) })
}

// considerClaim claims the shard for this replica when its group has lost its
// majority for good: every dead member is gone by the machine list too, and no
// living one holds a longer log. It runs while the group has no majority.
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
			r.askPositionAgain(member)
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

// noteOutsideReplica notes a daemon outside the group that holds a replica too, and asks
// how far its log goes.
func (r *replica) addOutsideReplica(from structs.DaemonID) {
	if !r.outsideReplicas.Contains(from) {
		r.outsideReplicas = append(r.outsideReplicas, from)
	}
	r.requestPosition(from)
}

// outsideReplicasBehind returns the replicas outside the group whose log is known
// to be behind this one: former members that do not know of their removal.
func (r *replica) outsideReplicasBehind() Group {
	var behind Group
	for _, daemon := range r.outsideReplicas {
		if r.knownBehind(daemon) {
			behind = append(behind, daemon)
		}
	}
	return behind
}

// survivor is a replica that would claim its shard. What it knows of its group
// may be old: the group can have replaced it and its dead members while it was
// cut off. So all daemons are asked first.
type survivor struct {
	claim claim
	group Group
	epoch structs.Epoch
	// behind are daemons outside the group whose older log proves nothing.
	behind Group
}

// contradicts tells whether a daemon's word shows that the group went on
// without the survivor.
func (s *survivor) contradicts(from structs.DaemonID, route ShardRoute) bool {
	return route.Holder && !s.group.Contains(from) && !s.behind.Contains(from) && route.Epoch >= s.epoch
}

// askBeforeClaim has the next search ask all daemons about a survivor's shard,
// as soon as one may begin.
func (g *registry) searchBeforeClaim(s *survivor) {
	g.mutex.Lock()
	g.survivors[s.claim.Shard] = s
	g.mutex.Unlock()
	g.scheduleSearch()
}

// positionPause is the pause between questions to a member for its position.
const positionRequestInterval = time.Second

// askPositionAgain asks for a member's position, not too often.
func (r *replica) askPositionAgain(member structs.DaemonID) {
	now := r.Clock.Now()
	age := now.Sub(r.positionRequestedAt[member])
	if age >= 0 && age < positionRequestInterval {
		return
	}
	r.positionRequestedAt[member] = now
	r.requestPosition(member)
}

// askPosition asks a member how far its log goes; the answer to a trial vote
// tells.
func (r *replica) requestPosition(member structs.DaemonID) {
	r.send(member, &VoteRequest{
		Shard:     r.shard,
		Epoch:     r.voteState.epoch + 1,
		Last:      r.log.last(),
		LastEpoch: r.log.lastEpoch(),
		PreVote:   true,
	})
}

// position is how far a member's log goes, as it said last.
type position struct {
	last  structs.Index
	epoch structs.Epoch
	at    time.Time
}

// positionMemory is how long a member's word about its log counts.
const positionValidity = 5 * time.Second

// knownBehind tells whether a living member said lately that its log is behind
// this one, or equal with a lower claim to the shard.
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

// claim has a claim written to the stream.
func (g *registry) queueClaim(c claim) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !slices.Contains(g.claims, c) {
		g.claims = append(g.claims, c)
	}
}
