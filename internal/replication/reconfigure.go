package replication

import (
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// change is one change of a group by one member, under way at its leader. A
// newcomer first catches up without a vote. Every change waits until the one
// before it and an entry of the leader's own epoch are committed; two groups
// that follow each other then always share a majority's member.
type change struct {
	add, remove structs.DaemonID
	// entry is the change's index in the log, 0 while the newcomer catches up.
	entry     structs.Index
	timer     clock.Timer
	holdsSlot bool
}

// caughtUpEntries is how far behind a newcomer may be when it gets its vote.
const caughtUpEntries = 8

// groupSettled tells whether the group in force is committed and neither a
// change nor a handover is under way.
func (l *leaderState) isGroupStable() bool {
	return l.ready && l.change == nil && l.transfer == nil && l.log.groupIndex <= l.commit
}

// addMember lets a daemon catch up and then join the group.
func (l *leaderState) addMember(daemon structs.DaemonID) {
	if !l.isGroupStable() || l.log.group.Contains(daemon) || !l.acquireChangeSlot() {
		return
	}
	l.logger.Info().Str("member", string(daemon)).Msg("Adding a member.")
	l.startChange(&change{add: daemon, holdsSlot: true})
	l.flush()
	l.advanceChange()
}

// removeMember takes a daemon other than this one out of the group.
func (l *leaderState) removeMember(daemon structs.DaemonID) {
	if !l.isGroupStable() || daemon == l.Self.ID || !l.acquireChangeSlot() {
		return
	}
	l.logger.Info().Str("member", string(daemon)).Msg("Removing a member.")
	c := &change{remove: daemon, holdsSlot: true}
	l.startChange(c)
	c.entry = l.appendEntry(Entry{Group: l.log.group.without(daemon)})
	l.flushSoon()
}

func (l *leaderState) startChange(c *change) {
	l.change = c
	c.timer = l.after(l.Settings.ChangeTimeout, func() {
		if l.change == c && c.entry == 0 {
			l.logger.Warn().Str("member", string(c.add)).Msg("Newcomer did not catch up in time.")
			l.abandonNewcomer()
		}
	})
}

// abandonNewcomer gives a change up before it is in the log.
func (l *leaderState) abandonNewcomer() {
	add := l.change.add
	l.endChange()
	l.dismiss(add)
	l.requestPlan()
}

// dismiss forgets a daemon's progress and tells it.
func (l *leaderState) dismiss(daemon structs.DaemonID) {
	if p := l.progress[daemon]; p != nil {
		p.stop()
		delete(l.progress, daemon)
	}
	l.sendDismiss(daemon)
}

// sendDismiss tells a daemon that its stay has ended. Later rounds belong to
// another stay: what is still under way of this one counts no more, should the
// daemon be taken back in the same epoch.
func (l *leaderState) sendDismiss(daemon structs.DaemonID) {
	l.replica.send(daemon, &Dismiss{Shard: l.shard, Epoch: l.epoch, Round: l.round})
	l.round++
}

func (l *leaderState) endChange() {
	c := l.change
	if c == nil {
		return
	}
	l.change = nil
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.holdsSlot {
		l.releaseChangeSlot()
	}
}

// stepChange moves a change on: the caught-up newcomer gets its vote, and a
// committed change ends.
func (l *leaderState) advanceChange() {
	c := l.change
	if c == nil || l.ended {
		return
	}
	switch {
	case c.entry == 0 && !l.alive(c.add):
		l.abandonNewcomer()
	case c.entry == 0 && l.hasCaughtUp(c.add):
		c.entry = l.appendEntry(Entry{Group: l.log.group.with(c.add)})
		l.flushSoon()
	case c.entry != 0 && c.entry <= l.commit:
		l.finishChange()
	}
}

func (l *leaderState) hasCaughtUp(daemon structs.DaemonID) bool {
	p := l.progress[daemon]
	return p != nil && p.match >= l.openingIndex && p.match+caughtUpEntries >= l.log.last()
}

func (l *leaderState) finishChange() {
	c := l.change
	l.endChange()
	if c.remove != "" {
		l.dismiss(c.remove)
	}
	l.logger.Info().Int("members", len(l.log.group)).Msg("Group changed.")
	l.noteGroup(l.shard, l.epoch, l.log.group)
	l.watchMajority()
	if len(l.log.group) > l.Settings.GroupSize {
		// Between joining and leaving the group needs more votes than it will:
		// the window in which one more loss stops it is kept short.
		l.plan(l.candidates())
	}
	l.requestPlan()
}
