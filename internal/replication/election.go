package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// candidacy is a replica's attempt to become leader. It starts with a pre-vote,
// so that a member that cannot win does not raise the epoch.
type candidacy struct {
	epoch              structs.Epoch
	preVote            bool
	leadershipTransfer bool
	granted            Group
}

// needsLeader reports whether the group needs an election, as far as this
// replica knows.
func (r *replica) needsLeader() bool {
	return r.leaderState == nil && !r.restoring && (r.leader == "" || !r.alive(r.leader))
}

// scheduleElection schedules a candidacy if the group has no leader. Members
// start one after another, by rank, with some jitter.
func (r *replica) scheduleElection() {
	if !r.needsLeader() || !r.isMember() || r.electionTimer != nil {
		return
	}
	if !r.hasLiveMajority() {
		r.watchMajority()
		return
	}
	delay := time.Duration(r.rank()) * r.Settings.ElectionStagger
	if r.electionAttempts > 0 {
		delay += min(r.Settings.ElectionRetry<<min(r.electionAttempts-1, 10), r.Settings.MaxElectionRetry)
		delay += r.jitter(r.Settings.ElectionStagger)
	}
	r.electionTimer = r.after(delay+r.jitter(r.Settings.ElectionStagger/4), func() {
		r.electionTimer = nil
		if r.needsLeader() && r.isMember() && r.hasLiveMajority() {
			r.startCandidacy(false)
		}
	})
}

func (r *replica) stopElectionTimer() {
	if r.electionTimer != nil {
		r.electionTimer.Stop()
		r.electionTimer = nil
	}
}

// rank returns this daemon's position among the live members by rendezvous
// weight; a daemon that is handing over comes after all others.
func (r *replica) rank() int {
	rank := 0
	own := rendezvousWeight(r.shard, r.Self.ID)
	for _, member := range r.log.group {
		if member == r.Self.ID || !r.alive(member) {
			continue
		}
		if rendezvousWeight(r.shard, member) > own {
			rank++
		}
	}
	if r.isHandingOver() {
		rank += len(r.log.group)
	}
	return rank
}

// startCandidacy starts a candidacy. After a leadership transfer it skips the
// pre-vote.
func (r *replica) startCandidacy(handOver bool) {
	r.electionAttempts++
	r.candidacy = &candidacy{epoch: r.voteState.epoch + 1, preVote: true, leadershipTransfer: handOver}
	r.logger.Debug().Uint64("epoch", uint64(r.candidacy.epoch)).Bool("hand_over", handOver).Msg("Standing for election.")
	if handOver {
		r.startElection()
		return
	}
	r.requestVotes()
}

func (r *replica) startElection() {
	r.candidacy.preVote = false
	r.candidacy.granted = nil
	r.voteState = voteState{epoch: r.candidacy.epoch, votedFor: r.Self.ID}
	r.leader = ""
	r.publish()
	r.requestVotes()
}

func (r *replica) requestVotes() {
	c := r.candidacy
	c.granted = Group{r.Self.ID}
	for _, member := range r.log.group {
		if member == r.Self.ID {
			continue
		}
		r.send(member, &VoteRequest{
			Shard:              r.shard,
			Epoch:              c.epoch,
			Last:               r.log.last(),
			LastEpoch:          r.log.lastEpoch(),
			PreVote:            c.preVote,
			LeadershipTransfer: c.leadershipTransfer,
		})
	}
	r.countVotes()
	// A candidacy without replies is tried again.
	r.scheduleElection()
}

// receiveVoteRequest grants a vote to a candidate whose log is at least as up to date
// as this one, once in an epoch, and not while a leader is believed to be
// alive.
func (r *replica) receiveVoteRequest(from structs.DaemonID, m *VoteRequest) {
	answer := &VoteReply{Shard: r.shard, PreVote: m.PreVote, Last: r.log.last(), LastEpoch: r.log.lastEpoch()}
	defer func() { r.send(from, answer) }()
	hasLeader := !m.LeadershipTransfer && !r.needsLeader() && r.leader != from
	if m.Epoch < r.voteState.epoch || (hasLeader && m.Epoch > r.voteState.epoch) {
		answer.Epoch = r.voteState.epoch
		return
	}
	if m.PreVote {
		answer.Epoch = r.voteState.epoch
		if m.Epoch > r.voteState.epoch && r.isCandidateUpToDate(m) {
			answer.Epoch, answer.Granted = m.Epoch, true
		}
		return
	}
	r.observe(m.Epoch)
	answer.Epoch = r.voteState.epoch
	mayVote := r.voteState.votedFor == "" || r.voteState.votedFor == from
	if !mayVote || r.leader != "" || !r.isCandidateUpToDate(m) {
		r.scheduleElection()
		return
	}
	r.voteState.votedFor = from
	answer.Granted = true
	r.stopElectionTimer()
	r.electionAttempts++
	r.scheduleElection()
}

// isCandidateUpToDate reports whether a candidate's log is at least as up to
// date as this one.
func (r *replica) isCandidateUpToDate(m *VoteRequest) bool {
	own := r.log.lastEpoch()
	return m.LastEpoch > own || (m.LastEpoch == own && m.Last >= r.log.last())
}

func (r *replica) receiveVoteReply(from structs.DaemonID, m *VoteReply) {
	r.positions[from] = position{last: m.Last, epoch: m.LastEpoch, at: r.Clock.Now()}
	if !r.majorityLostAt.IsZero() {
		r.claimIfMajorityLost()
	}
	if !m.Granted {
		if m.Epoch > r.voteState.epoch {
			r.observe(m.Epoch)
			r.scheduleElection()
		}
		return
	}
	c := r.candidacy
	if c == nil || m.Epoch != c.epoch || m.PreVote != c.preVote || c.granted.Contains(from) {
		return
	}
	c.granted = c.granted.with(from)
	r.countVotes()
}

func (r *replica) countVotes() {
	c := r.candidacy
	votes := 0
	for _, member := range r.log.group {
		if slices.Contains(c.granted, member) {
			votes++
		}
	}
	if votes < r.log.group.Majority() {
		return
	}
	if c.preVote {
		r.startElection()
		return
	}
	r.startLeading()
}

// receiveLeadershipTransfer stands for election at the leader's request.
func (r *replica) receiveLeadershipTransfer(from structs.DaemonID, m *LeadershipTransfer) {
	if m.Epoch != r.voteState.epoch || r.leader != from || !r.isMember() || r.isHandingOver() {
		return
	}
	r.stopElectionTimer()
	r.startCandidacy(true)
}
