package replication

import (
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// change is a group change by one member, in progress at its leader. A new
// member first catches up without a vote. Every change waits until the previous
// one and an entry of the leader's own epoch are committed; the majorities of
// two consecutive groups then always have a member in common.
type change struct {
	add, remove structs.DaemonID
	// entry is the change's index in the log, 0 while the new member catches
	// up.
	entry     structs.Index
	timer     clock.Timer
	holdsSlot bool
}

// caughtUpEntries is how far behind a new member may be when it gets its vote.
const caughtUpEntries = 8

// isGroupStable reports whether the current group is committed and neither a
// change nor a leadership transfer is in progress.
func (l *leaderState) isGroupStable() bool {
	return l.ready && l.change == nil && l.transfer == nil && l.log.groupIndex <= l.commit
}

// addMember makes a daemon catch up and then join the group.
func (l *leaderState) addMember(daemon structs.DaemonID) {
	if !l.isGroupStable() || l.log.group.Contains(daemon) || !l.acquireChangeSlot() {
		return
	}
	l.logger.Info().Str("member", string(daemon)).Msg("Adding a member.")
	l.startChange(&change{add: daemon, holdsSlot: true})
	l.flush()
	l.advanceChange()
}

// removeMember removes a daemon other than this one from the group.
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
			l.logger.Warn().Str("member", string(c.add)).Msg("New member did not catch up in time.")
			l.abandonNewMember()
		}
	})
}

// abandonNewMember cancels a change before it is in the log.
func (l *leaderState) abandonNewMember() {
	add := l.change.add
	l.endChange()
	l.dismiss(add)
	l.requestPlan()
}

// dismiss drops a daemon's progress and informs the daemon.
func (l *leaderState) dismiss(daemon structs.DaemonID) {
	if p := l.progress[daemon]; p != nil {
		p.stop()
		delete(l.progress, daemon)
	}
	l.sendDismiss(daemon)
}

// sendDismiss informs a daemon that its membership has ended. Later rounds
// belong to another membership, so that replies from this one are ignored if
// the daemon is added again in the same epoch.
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

// advanceChange advances the change: a new member that has caught up gets its
// vote, and a committed change ends.
func (l *leaderState) advanceChange() {
	c := l.change
	if c == nil || l.ended {
		return
	}
	switch {
	case c.entry == 0 && !l.alive(c.add):
		l.abandonNewMember()
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
		// While the group has one member too many it needs a larger majority:
		// this time, in which one more loss stops the group, is kept short.
		l.plan(l.candidates())
	}
	l.requestPlan()
}
