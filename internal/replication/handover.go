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
type handover struct {
	to structs.DaemonID
	// asked is set once the successor was asked to stand.
	asked bool
	held  []heldProposal
	timer clock.Timer
}

type heldProposal struct {
	records []structs.Record
	done    func(error)
}

// handoverTimeout is how long a successor has to catch up and be elected.
const handoverTimeout = time.Second

// handOverTo begins to pass the leadership to a member.
func (l *leading) handOverTo(daemon structs.DaemonID) {
	if l.handover != nil {
		return
	}
	h := &handover{to: daemon}
	l.handover = h
	h.timer = l.after(handoverTimeout, func() {
		if l.handover == h {
			l.resume()
		}
	})
	l.stepHandover()
}

// stepHandover asks the successor to stand once it holds the whole log.
func (l *leading) stepHandover() {
	h := l.handover
	if h == nil || h.asked || l.ended {
		return
	}
	if p := l.progress[h.to]; p == nil || p.match < l.log.last() {
		return
	}
	h.asked = true
	l.replica.send(h.to, &LeadershipTransfer{Shard: l.shard, Epoch: l.epoch})
}

// resume goes on leading after a handover that failed.
func (l *leading) resume() {
	h := l.handover
	l.handover = nil
	for _, p := range h.held {
		l.Propose(p.records, p.done)
	}
	l.considerPlan()
}

// endHandover loses the proposals that were held back. They were certainly not
// recorded.
func (l *leading) endHandover() {
	h := l.handover
	if h == nil {
		return
	}
	l.handover = nil
	h.timer.Stop()
	for _, p := range h.held {
		l.queue.Do(func() { p.done(ErrLost) })
	}
}

// leave hands a stopping daemon's leadership over. A newcomer that is still
// catching up is left to the successor.
func (l *leading) leave() {
	if l.change != nil && l.change.entry == 0 {
		l.abandonNewcomer()
	}
	if next := l.successor(); next != "" {
		l.handOverTo(next)
	}
}

// successor returns the member that keeps up and has the highest claim to
// lead, "" if there is none.
func (l *leading) successor() structs.DaemonID {
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

func (l *leading) canSucceed(member structs.DaemonID) bool {
	p := l.progress[member]
	return member != l.Self.ID && p != nil && !p.lagging && p.match >= l.opened && l.available(member)
}
