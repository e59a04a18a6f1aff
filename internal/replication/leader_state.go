package replication

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// proposal is a unit of records that waits for its acknowledgement.
type proposal struct {
	index structs.Index
	at    time.Time
	done  func(error)
}

// confirmation is a call of Confirm that waits until a majority answered a
// round.
type confirmation struct {
	round uint64
	at    time.Time
	done  func(error)
}

// leaderState is the state of a replica that leads in one epoch. It implements
// Leadership.
type leaderState struct {
	*replica
	epoch structs.Epoch
	// openingIndex is the index of the last entry that opens the epoch; ready
	// is set once it is committed, serving once Application.Lead was called.
	openingIndex structs.Index
	ready        bool
	serving      bool
	ended        bool

	progress      map[structs.DaemonID]*progress
	proposals     []proposal
	confirmations []confirmation
	round         uint64
	flushing      bool
	ackTimer      clock.Timer
	change        *change
	transfer      *leadershipTransfer
	archiver      *archiver
}

// startLeading opens the epoch that this replica was elected for.
func (r *replica) startLeading() {
	epoch := r.candidacy.epoch
	r.candidacy = nil
	r.openEpoch(epoch, nil)
}

// openEpoch opens an epoch with an entry, which includes the group if it is to
// change or no entry has one yet. records go into a second entry, which is
// applied before Application.Lead is called.
func (r *replica) openEpoch(epoch structs.Epoch, group Group, records ...structs.Record) {
	if group == nil && r.log.last() == 0 {
		group = r.log.group
	}
	r.stopElectionTimer()
	r.electionAttempts = 0
	r.leader = r.Self.ID
	l := &leaderState{replica: r, epoch: epoch, progress: map[structs.DaemonID]*progress{}}
	r.leaderState = l
	r.publish()
	l.openingIndex = l.appendEntry(Entry{Group: group})
	if len(records) > 0 {
		l.appendOpeningRecords(records)
	}
	l.logger.Info().Uint64("epoch", uint64(epoch)).Int("members", len(r.log.group)).Msg("Leadership started.")
	l.flush()
	l.commitMajority()
}

// appendOpeningRecords appends records that belong to the opening of the epoch.
func (l *leaderState) appendOpeningRecords(records []structs.Record) {
	data, err := json.Marshal(records)
	if err != nil {
		l.logger.Error().Err(err).Msg("Opening records cannot be encoded.")
		return
	}
	l.openingIndex = l.appendEntry(Entry{Records: data})
}

// stopLeading ends a leadership and fails its proposals with ErrLost.
func (r *replica) stopLeading() {
	l := r.leaderState
	if l == nil {
		return
	}
	r.leaderState = nil
	l.ended = true
	for _, id := range l.followers() {
		l.progress[id].stop()
	}
	if l.ackTimer != nil {
		l.ackTimer.Stop()
	}
	l.endChange()
	l.endLeadershipTransfer()
	if l.serving {
		r.Application.Follow(r.shard)
	}
	for _, p := range l.proposals {
		r.queue.Do(func() { p.done(ErrLost) })
	}
	for _, c := range l.confirmations {
		r.queue.Do(func() { c.done(ErrLost) })
	}
	l.proposals, l.confirmations = nil, nil
	r.logger.Info().Uint64("epoch", uint64(l.epoch)).Msg("Leadership ended.")
}

// Epoch implements Leadership.
func (l *leaderState) Epoch() structs.Epoch { return l.epoch }

// Queue implements Leadership.
func (l *leaderState) Queue() *serial.Queue { return &l.queue }

// Propose implements Leadership.
func (l *leaderState) Propose(records []structs.Record, done func(error)) {
	if l.ended {
		l.queue.Do(func() { done(ErrLost) })
		return
	}
	if l.transfer != nil {
		l.transfer.heldProposals = append(l.transfer.heldProposals, heldProposal{records, done})
		return
	}
	data, err := json.Marshal(records)
	if err != nil {
		l.logger.Error().Err(err).Msg("Records cannot be encoded.")
		l.queue.Do(func() { done(ErrLost) })
		return
	}
	index := l.appendEntry(Entry{Records: data})
	l.proposals = append(l.proposals, proposal{index: index, at: l.Clock.Now(), done: done})
	l.flushSoon()
	if l.Guards.CommitAlone {
		l.advanceCommit(index)
		l.acknowledge()
	}
}

// Confirm implements Leadership.
func (l *leaderState) Confirm(done func(error)) {
	if l.ended {
		l.queue.Do(func() { done(ErrLost) })
		return
	}
	if l.Guards.AcceptStaleEpoch {
		l.queue.Do(func() { done(nil) })
		return
	}
	l.round++
	l.confirmations = append(l.confirmations, confirmation{round: l.round, at: l.Clock.Now(), done: done})
	l.flushSoon()
}

// appendEntry adds an entry of this epoch to the leader's own log.
func (l *leaderState) appendEntry(entry Entry) structs.Index {
	entry.Index, entry.Epoch = l.log.last()+1, l.epoch
	l.log.append(entry)
	return entry.Index
}

// flushSoon sends new entries after the tasks that are queued already, so that
// proposals made together share messages.
func (l *leaderState) flushSoon() {
	if l.flushing {
		return
	}
	l.flushing = true
	l.queue.Do(func() {
		l.flushing = false
		if l.ended {
			return
		}
		l.flush()
		l.commitMajority()
		l.confirmMajority()
	})
}

// flush sends each member the entries that it lacks.
func (l *leaderState) flush() {
	for _, id := range l.targets() {
		if l.progress[id] == nil {
			l.progress[id] = newProgress(l, id)
		}
		l.progress[id].send(false)
	}
}

// targets returns the daemons that get the log: the group and a joining member.
func (l *leaderState) targets() Group {
	targets := l.log.group.without(l.Self.ID)
	if l.change != nil && l.change.add != "" && !targets.Contains(l.change.add) {
		targets = append(targets, l.change.add)
	}
	return targets
}

// followers returns the daemons with progress, sorted.
func (l *leaderState) followers() Group {
	ids := make(Group, 0, len(l.progress))
	for id := range l.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// receiveAppendReply handles a member's reply to an append request.
func (r *replica) receiveAppendReply(from structs.DaemonID, m *AppendReply) {
	l := r.leaderState
	if m.Epoch > r.voteState.epoch {
		if l != nil && r.Guards.AcceptStaleEpoch {
			l.commitDespiteStaleEpoch()
			return
		}
		r.observe(m.Epoch)
		if m.Leader != "" && m.Leader != r.Self.ID && r.leader == "" {
			r.leader = m.Leader
			r.publish()
		}
		r.scheduleElection()
		return
	}
	if l == nil || m.Epoch < l.epoch {
		return
	}
	p := l.progress[from]
	if p == nil {
		return
	}
	p.handleReply(m)
	l.commitMajority()
	if !l.ended {
		l.confirmMajority()
		l.advanceChange()
		l.advanceLeadershipTransfer()
	}
}

// commitDespiteStaleEpoch lets a superseded leader go on, for
// Guards.AcceptStaleEpoch.
func (l *leaderState) commitDespiteStaleEpoch() {
	l.advanceCommit(l.log.last())
	l.acknowledge()
}

// commitMajority commits the entries of this epoch that a majority holds.
func (l *leaderState) commitMajority() {
	if l.ended {
		return
	}
	group := l.log.group
	matches := make([]structs.Index, 0, len(group))
	for _, member := range group {
		matches = append(matches, l.matchOf(member))
	}
	slices.Sort(matches)
	index := matches[len(matches)-group.Majority()]
	if epoch, known := l.log.epochAt(index); index > l.commit && known && epoch == l.epoch {
		l.advanceCommit(index)
	}
	if !l.ready && l.commit >= l.openingIndex {
		l.ready = true
		l.publish()
		l.requestPlan()
	}
	l.startServingIfReady()
	l.acknowledge()
}

// startServingIfReady calls Application.Lead once the epoch is open. A daemon
// that claimed a shard alone waits until another member holds its records, if
// there is any other daemon: otherwise its loss would lose records that were
// acknowledged and requests that were sent to back ends.
func (l *leaderState) startServingIfReady() {
	if !l.ready || l.serving || l.ended {
		return
	}
	alone := len(l.log.group) == 1 && l.Settings.GroupSize > 1
	if alone && len(l.candidates()) > 1 {
		return
	}
	l.serving = true
	l.publish()
	l.Application.Lead(l.shard, l.machine, l)
}

func (l *leaderState) matchOf(member structs.DaemonID) structs.Index {
	if member == l.Self.ID {
		return l.log.last()
	}
	if p := l.progress[member]; p != nil {
		return p.match
	}
	return 0
}

// confirmMajority completes the confirmations whose round a majority answered.
func (l *leaderState) confirmMajority() {
	group := l.log.group
	rounds := make([]uint64, 0, len(group))
	for _, member := range group {
		switch p := l.progress[member]; {
		case member == l.Self.ID:
			rounds = append(rounds, l.round)
		case p != nil:
			rounds = append(rounds, p.round)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	reached := rounds[len(rounds)-group.Majority()]
	for len(l.confirmations) > 0 && l.confirmations[0].round <= reached {
		done := l.confirmations[0].done
		l.confirmations = l.confirmations[1:]
		l.queue.Do(func() { done(nil) })
	}
}

// memberChanged reacts to a changed membership state of a member of the group.
func (l *leaderState) memberChanged(id structs.DaemonID) {
	if p := l.progress[id]; p != nil && l.alive(id) {
		p.send(true)
	}
	l.acknowledge()
	l.requestPlan()
}
