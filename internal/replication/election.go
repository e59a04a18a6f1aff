package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// candidacy is a replica's try to become leader. It asks for trial votes
// first, so that a member that cannot win does not raise the epoch.
type candidacy struct {
	epoch    structs.Epoch
	trial    bool
	handOver bool
	granted  Group
}

// leaderless tells whether the group needs an election, as far as known here.
func (r *replica) leaderless() bool {
	return r.leading == nil && !r.restoring && (r.leader == "" || !r.alive(r.leader))
}

// considerElection schedules a candidacy when the group has no leader. The
// members come one after the other, by rank, with some jitter.
func (r *replica) considerElection() {
	if !r.leaderless() || !r.isMember() || r.electionTimer != nil {
		return
	}
	if !r.hasLiveMajority() {
		r.watchMajority()
		return
	}
	delay := time.Duration(r.rank()) * r.Settings.ElectionStagger
	if r.electionTries > 0 {
		delay += min(r.Settings.ElectionRetry<<min(r.electionTries-1, 10), r.Settings.MaxElectionRetry)
		delay += r.jitter(r.Settings.ElectionStagger)
	}
	r.electionTimer = r.after(delay+r.jitter(r.Settings.ElectionStagger/4), func() {
		r.electionTimer = nil
		if r.leaderless() && r.isMember() && r.hasLiveMajority() {
			r.stand(false)
		}
	})
}

func (r *replica) stopElectionTimer() {
	if r.electionTimer != nil {
		r.electionTimer.Stop()
		r.electionTimer = nil
	}
}

// rank is this daemon's place among the live members by rendezvous; members
// that are stopping come last.
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

// stand starts a candidacy.
func (r *replica) stand(handOver bool) {
	r.electionTries++
	r.candidacy = &candidacy{epoch: r.promise.epoch + 1, trial: true, handOver: handOver}
	r.logger.Debug().Uint64("epoch", uint64(r.candidacy.epoch)).Bool("hand_over", handOver).Msg("Standing for election.")
	if handOver {
		r.standForReal()
		return
	}
	r.askForVotes()
}

func (r *replica) standForReal() {
	r.candidacy.trial = false
	r.candidacy.granted = nil
	r.promise = promise{epoch: r.candidacy.epoch, voted: r.Self.ID}
	r.leader = ""
	r.publish()
	r.askForVotes()
}

func (r *replica) askForVotes() {
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
			PreVote:            c.trial,
			LeadershipTransfer: c.handOver,
		})
	}
	r.countVotes()
	// A candidacy that hears nothing is tried again.
	r.considerElection()
}

// receiveVote grants a vote to a candidate whose log is at least as far as
// this one's, once in an epoch, and not while a leader is believed to live.
func (r *replica) receiveVote(from structs.DaemonID, m *VoteRequest) {
	answer := &VoteReply{Shard: r.shard, PreVote: m.PreVote, Last: r.log.last(), LastEpoch: r.log.lastEpoch()}
	defer func() { r.send(from, answer) }()
	served := !m.LeadershipTransfer && !r.leaderless() && r.leader != from
	if m.Epoch < r.promise.epoch || (served && m.Epoch > r.promise.epoch) {
		answer.Epoch = r.promise.epoch
		return
	}
	if m.PreVote {
		answer.Epoch = r.promise.epoch
		if m.Epoch > r.promise.epoch && r.upToDate(m) {
			answer.Epoch, answer.Granted = m.Epoch, true
		}
		return
	}
	r.observe(m.Epoch)
	answer.Epoch = r.promise.epoch
	free := r.promise.voted == "" || r.promise.voted == from
	if !free || r.leader != "" || !r.upToDate(m) {
		r.considerElection()
		return
	}
	r.promise.voted = from
	answer.Granted = true
	r.stopElectionTimer()
	r.electionTries++
	r.considerElection()
}

// upToDate tells whether a candidate's log goes at least as far as this one.
func (r *replica) upToDate(m *VoteRequest) bool {
	own := r.log.lastEpoch()
	return m.LastEpoch > own || (m.LastEpoch == own && m.Last >= r.log.last())
}

func (r *replica) receiveVoted(from structs.DaemonID, m *VoteReply) {
	r.positions[from] = position{last: m.Last, epoch: m.LastEpoch, at: r.Clock.Now()}
	if !r.lostAt.IsZero() {
		r.considerClaim()
	}
	if !m.Granted {
		if m.Epoch > r.promise.epoch {
			r.observe(m.Epoch)
			r.considerElection()
		}
		return
	}
	c := r.candidacy
	if c == nil || m.Epoch != c.epoch || m.PreVote != c.trial || c.granted.Contains(from) {
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
	if c.trial {
		r.standForReal()
		return
	}
	r.startLeading()
}

// receiveTakeOver stands for election at the leader's wish.
func (r *replica) receiveTakeOver(from structs.DaemonID, m *LeadershipTransfer) {
	if m.Epoch != r.promise.epoch || r.leader != from || !r.isMember() || r.isHandingOver() {
		return
	}
	r.stopElectionTimer()
	r.stand(true)
}
