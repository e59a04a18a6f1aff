package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// leadershipTransfer passes the leadership to another member. Proposals made
// meanwhile are held back, so that the successor catches up also under load.
// They fail once it leads, and are appended after all when it does not.
type leadershipTransfer struct {
	to structs.DaemonID
	// requested is set once the successor was asked to stand for election.
	requested     bool
	heldProposals []heldProposal
	timer         clock.Timer
}

type heldProposal struct {
	records []structs.Record
	done    func(error)
}

// leadershipTransferTimeout is how long a successor has to catch up and be
// elected.
const leadershipTransferTimeout = time.Second

// transferLeadershipTo starts to transfer the leadership to a member.
func (l *leaderState) transferLeadershipTo(daemon structs.DaemonID) {
	if l.transfer != nil {
		return
	}
	h := &leadershipTransfer{to: daemon}
	l.transfer = h
	h.timer = l.after(leadershipTransferTimeout, func() {
		if l.transfer == h {
			l.abortLeadershipTransfer()
		}
	})
	l.advanceLeadershipTransfer()
}

// advanceLeadershipTransfer asks the successor to stand for election once it
// holds the whole log.
func (l *leaderState) advanceLeadershipTransfer() {
	h := l.transfer
	if h == nil || h.requested || l.ended {
		return
	}
	if p := l.progress[h.to]; p == nil || p.match < l.log.last() {
		return
	}
	h.requested = true
	l.replica.send(h.to, &LeadershipTransfer{Shard: l.shard, Epoch: l.epoch})
}

// abortLeadershipTransfer goes on leading after a transfer that failed.
func (l *leaderState) abortLeadershipTransfer() {
	h := l.transfer
	l.transfer = nil
	for _, p := range h.heldProposals {
		l.Propose(p.records, p.done)
	}
	l.requestPlan()
}

// endLeadershipTransfer fails the proposals that were held back. They were
// certainly not recorded.
func (l *leaderState) endLeadershipTransfer() {
	h := l.transfer
	if h == nil {
		return
	}
	l.transfer = nil
	h.timer.Stop()
	for _, p := range h.heldProposals {
		l.queue.Do(func() { p.done(ErrLost) })
	}
}

// transferLeadershipAway transfers the leadership of a stopping daemon. A new
// member that is still catching up is left to the successor.
func (l *leaderState) transferLeadershipAway() {
	if l.change != nil && l.change.entry == 0 {
		l.abandonNewMember()
	}
	if next := l.successor(); next != "" {
		l.transferLeadershipTo(next)
	}
}

// successor returns the member that keeps up and has the highest rendezvous
// weight, "" if there is none.
func (l *leaderState) successor() structs.DaemonID {
	best := structs.DaemonID("")
	for _, member := range l.log.group {
		if !l.canSucceed(member) {
			continue
		}
		if best == "" || rendezvousWeight(l.shard, member) > rendezvousWeight(l.shard, best) {
			best = member
		}
	}
	return best
}

func (l *leaderState) canSucceed(member structs.DaemonID) bool {
	p := l.progress[member]
	return member != l.Self.ID && p != nil && !p.lagging && p.match >= l.openingIndex && l.available(member)
}
