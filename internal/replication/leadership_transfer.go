package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// handover passes a leadership to another member. Proposals made meanwhile are
// held back, so that the successor comes to hold the whole log also under
// load; they are lost to their proposers once it leads, and are appended after
// all when it does not.
type leadershipTransfer struct {
	to structs.DaemonID
	// asked is set once the successor was asked to stand.
	requested     bool
	heldProposals []heldProposal
	timer         clock.Timer
}

type heldProposal struct {
	records []structs.Record
	done    func(error)
}

// handoverTimeout is how long a successor has to catch up and be elected.
const leadershipTransferTimeout = time.Second

// handOverTo begins to pass the leadership to a member.
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

// stepHandover asks the successor to stand once it holds the whole log.
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

// resume goes on leading after a handover that failed.
func (l *leaderState) abortLeadershipTransfer() {
	h := l.transfer
	l.transfer = nil
	for _, p := range h.heldProposals {
		l.Propose(p.records, p.done)
	}
	l.requestPlan()
}

// endHandover loses the proposals that were held back. They were certainly not
// recorded.
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

// leave hands a stopping daemon's leadership over. A newcomer that is still
// catching up is left to the successor.
func (l *leaderState) transferLeadershipAway() {
	if l.change != nil && l.change.entry == 0 {
		l.abandonNewcomer()
	}
	if next := l.successor(); next != "" {
		l.transferLeadershipTo(next)
	}
}

// successor returns the member that keeps up and has the highest claim to
// lead, "" if there is none.
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
