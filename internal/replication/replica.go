package replication

import (
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// voteState is what a daemon must remember about a shard while it runs, even
// after it dropped its replica, so that it votes only once in an epoch.
type voteState struct {
	epoch    structs.Epoch
	votedFor structs.DaemonID
}

// replica is one daemon's copy of one shard. It is used on the shard's queue
// only.
type replica struct {
	*Manager
	shard     structs.ShardNumber
	queue     serial.Queue
	logger    zerolog.Logger
	machine   StateMachine
	log       *entryLog
	voteState voteState
	// leader is the daemon that this replica follows in its epoch, "" if none
	// is known.
	leader structs.DaemonID
	// leaderRound is the latest round received from the leader of
	// leaderRoundEpoch.
	leaderRound      uint64
	leaderRoundEpoch structs.Epoch
	commit           structs.Index
	applied          structs.Index

	candidacy   *candidacy
	leaderState *leaderState
	incoming    *incomingSnapshot
	// electionTimer runs while a candidacy of this replica is scheduled.
	electionTimer    clock.Timer
	electionAttempts int
	// positions are the log positions that members last reported.
	positions map[structs.DaemonID]position
	// positionRequestedAt is when each member was last asked for its log
	// position.
	positionRequestedAt map[structs.DaemonID]time.Time
	// outsideReplicas are daemons outside the group that were found to hold a
	// replica.
	outsideReplicas Group
	// majorityLostAt is when the group was found without a majority, zero if it
	// has one.
	majorityLostAt time.Time
	// claimantUnknown is set while this replica knows that its shard was
	// claimed, but not yet by whom.
	claimantUnknown bool
	dropped         bool
	// restoring is set while the state is being read from the shard's archive.
	restoring bool
}

func newReplica(m *Manager, shard structs.ShardNumber, voteState voteState, group Group) *replica {
	return &replica{
		Manager:   m,
		shard:     shard,
		logger:    m.Logger.With().Uint32("shard", uint32(shard)).Logger(),
		machine:   m.Application.NewStateMachine(shard),
		log:       newEntryLog(0, 0, group),
		voteState: voteState,

		positions:           map[structs.DaemonID]position{},
		positionRequestedAt: map[structs.DaemonID]time.Time{},
	}
}

// post runs task on the shard's queue unless the replica was dropped.
func (r *replica) post(task func()) {
	r.queue.Do(func() {
		if !r.dropped && !r.isStopped() {
			task()
		}
	})
}

// after runs task on the shard's queue after d.
func (r *replica) after(d time.Duration, task func()) clock.Timer {
	return r.Clock.AfterFunc(d, func() { r.post(task) })
}

func (r *replica) send(to structs.DaemonID, message peer.Message) { r.Transport.Send(to, message) }

// alive reports whether a daemon is believed to run.
func (r *replica) alive(daemon structs.DaemonID) bool {
	return daemon == r.Self.ID || r.Members.State(daemon) != membership.StateDead
}

// liveMembers counts the members of the group that are believed to run.
func (r *replica) liveMembers() int {
	count := 0
	for _, member := range r.log.group {
		if r.alive(member) {
			count++
		}
	}
	return count
}

func (r *replica) hasLiveMajority() bool { return r.liveMembers() >= r.log.group.Majority() }

// isMember reports whether this replica has a vote. A replica whose shard was
// claimed has none until the claimant is known.
func (r *replica) isMember() bool { return !r.claimantUnknown && r.log.group.Contains(r.Self.ID) }

// receive handles one message for the shard.
func (r *replica) receive(from structs.DaemonID, message peer.Message) {
	switch m := message.(type) {
	case *AppendRequest:
		r.receiveAppendRequest(from, m)
	case *AppendReply:
		r.receiveAppendReply(from, m)
	case *VoteRequest:
		r.receiveVoteRequest(from, m)
	case *VoteReply:
		r.receiveVoteReply(from, m)
	case *LeadershipTransfer:
		r.receiveLeadershipTransfer(from, m)
	case *SnapshotChunk:
		r.receiveSnapshotChunk(from, m)
	case *SnapshotChunkReply:
		r.receiveSnapshotChunkReply(from, m)
	case *Dismiss:
		r.receiveDismiss(from, m)
	}
}

// follow accepts a leader of the current epoch.
func (r *replica) follow(leader structs.DaemonID) {
	if r.leader == leader {
		return
	}
	r.stopLeading()
	r.candidacy = nil
	r.leader = leader
	r.electionAttempts = 0
	r.stopElectionTimer()
	r.publish()
}

// receiveAppendRequest checks that the log matches the leader's up to the first new
// entry, and adds the entries.
func (r *replica) receiveAppendRequest(from structs.DaemonID, m *AppendRequest) {
	if m.Epoch < r.voteState.epoch || (m.Epoch == r.voteState.epoch && r.leaderState != nil) {
		r.refuse(from, m, 0)
		return
	}
	if !m.wellFormed() {
		r.logger.Warn().Str("from", string(from)).Msg("Append request refused. Its entries are not contiguous.")
		return
	}
	r.observe(m.Epoch)
	r.resetAfterClaim()
	r.follow(from)
	r.noteLeaderRound(m.Epoch, m.Round)
	if m.Previous > r.log.last() {
		r.refuse(from, m, r.log.last()+1)
		return
	}
	if epoch, known := r.log.epochAt(m.Previous); known && epoch != m.PreviousEpoch {
		r.refuse(from, m, r.firstIndexOfEpoch(m.Previous, epoch))
		return
	}
	wasMember := r.isMember()
	r.mergeEntries(m.Entries)
	if r.isMember() != wasMember {
		r.publish()
	}
	match := m.Previous + structs.Index(len(m.Entries))
	r.advanceCommit(min(m.Commit, match))
	r.send(from, &AppendReply{Shard: r.shard, Epoch: m.Epoch, Match: match, Round: m.Round, Pressure: r.Application.Pressure()})
	r.scheduleElection()
}

func (r *replica) refuse(to structs.DaemonID, m *AppendRequest, hint structs.Index) {
	r.send(to, &AppendReply{Shard: r.shard, Epoch: r.voteState.epoch, Refused: true, Hint: hint, Round: m.Round, Leader: r.leader})
}

// firstIndexOfEpoch returns the first uncommitted index of the epoch that index
// belongs to, so that a leader finds the last matching entry in few steps.
func (r *replica) firstIndexOfEpoch(index structs.Index, epoch structs.Epoch) structs.Index {
	for index > r.commit+1 {
		before, known := r.log.epochAt(index - 1)
		if !known || before != epoch {
			break
		}
		index--
	}
	return index
}

// mergeEntries adds the leader's entries and truncates uncommitted ones that
// conflict with them. A committed entry must never conflict.
func (r *replica) mergeEntries(entries []Entry) {
	for _, entry := range entries {
		if entry.Index <= r.log.base {
			continue
		}
		if epoch, known := r.log.epochAt(entry.Index); known {
			if epoch == entry.Epoch {
				continue
			}
			if entry.Index <= r.commit {
				r.logger.Error().Uint64("index", uint64(entry.Index)).Msg("Committed entry conflicts with the leader's.")
				r.countContradiction()
				return
			}
			r.log.truncate(entry.Index)
		}
		r.log.append(entry)
	}
}

// advanceCommit commits up to index and applies the entries that became
// committed.
func (r *replica) advanceCommit(index structs.Index) {
	r.commit = max(r.commit, min(index, r.log.last()))
	for r.applied < r.commit {
		r.applied++
		r.apply(r.log.at(r.applied))
	}
	r.log.compact(r.applied, r.Settings.LogBytes)
}

func (r *replica) apply(entry Entry) {
	if len(entry.Records) == 0 {
		return
	}
	var records []structs.Record
	if err := json.Unmarshal(entry.Records, &records); err != nil {
		r.logger.Error().Err(err).Uint64("index", uint64(entry.Index)).Msg("Log entry cannot be decoded.")
		return
	}
	for _, record := range records {
		r.machine.Apply(record)
	}
}

// noteLeaderRound records the leader's round.
func (r *replica) noteLeaderRound(epoch structs.Epoch, round uint64) {
	if epoch != r.leaderRoundEpoch {
		r.leaderRoundEpoch, r.leaderRound = epoch, 0
	}
	r.leaderRound = max(r.leaderRound, round)
}

// receiveDismiss drops a replica that was removed from its group. A dismissal
// sent before the leader added this daemon again is ignored.
func (r *replica) receiveDismiss(_ structs.DaemonID, m *Dismiss) {
	late := m.Epoch == r.leaderRoundEpoch && m.Round < r.leaderRound
	if m.Epoch < r.voteState.epoch || late {
		return
	}
	r.observe(m.Epoch)
	r.drop()
}

// drop removes the replica, but keeps its vote state.
func (r *replica) drop() {
	r.stopLeading()
	r.stopElectionTimer()
	r.dropped = true
	r.machine.Discard()
	r.forget(r)
}

// membershipChanged reacts to a change of any daemon's membership state.
func (r *replica) membershipChanged(member membership.Member) {
	address := member.Daemon.ID.Address()
	concerned := r.leader.Address() == address
	for _, id := range r.log.group {
		// A new run at a member's address means that the member is dead.
		if id.Address() == address {
			concerned = true
			r.watchMajority()
			if r.leaderState != nil {
				r.leaderState.memberChanged(id)
			}
		}
	}
	if !concerned || r.leaderState != nil {
		return
	}
	r.publish()
	r.scheduleElection()
}

// watchMajority tracks since when the group has no majority, and makes a leader
// without one step down.
func (r *replica) watchMajority() {
	if r.hasLiveMajority() {
		if !r.majorityLostAt.IsZero() {
			r.majorityLostAt = time.Time{}
			r.publish()
		}
		return
	}
	if !r.majorityLostAt.IsZero() {
		return
	}
	lostAt := r.Clock.Now()
	r.majorityLostAt = lostAt
	r.after(r.Settings.NoMajorityAfter, func() {
		if r.hasLiveMajority() {
			return
		}
		if r.leaderState != nil {
			r.logger.Warn().Msg("Stepped down. The group has no majority.")
			r.stepDown()
		}
		r.publish()
		r.registry.schedule(0)
		r.pollClaim(lostAt)
	})
}

// stepDown ends this replica's leadership without a newer epoch.
func (r *replica) stepDown() {
	r.stopLeading()
	r.leader = ""
	r.publish()
	r.scheduleElection()
}

// route returns the leader of the shard, as far as this replica knows it.
func (r *replica) route() Route {
	route := Route{Epoch: r.voteState.epoch}
	switch {
	case r.leaderState != nil && r.leaderState.serving:
		route.Leader = r.Self.ID
	case r.leaderState == nil && r.leader != "" && r.alive(r.leader):
		route.Leader = r.leader
	}
	lost := !r.majorityLostAt.IsZero() && r.Clock.Now().Sub(r.majorityLostAt) >= r.Settings.NoMajorityAfter
	route.NoMajority = route.Leader == "" && lost
	return route
}

// publish makes the route available to the rest of this daemon.
func (r *replica) publish() {
	r.publishRoute(r.shard, r.route(), r.isMember(), r.leaderState != nil)
}
