package replication

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// available reports whether a daemon may get new work: it runs and is not
// stopping.
func (m *Manager) available(daemon structs.DaemonID) bool {
	if daemon == m.Self.ID {
		return !m.isHandingOver()
	}
	state := m.Members.State(daemon)
	return state == membership.StateAlive || state == membership.StateSuspect
}

// candidates returns the daemons that may hold replicas.
func (m *Manager) candidates() []structs.Daemon {
	members := m.Members.Members()
	daemons := make([]structs.Daemon, 0, len(members))
	handingOver := m.isHandingOver()
	for _, member := range members {
		leaving := handingOver && member.Daemon.ID == m.Self.ID
		if member.State == membership.StateAlive && !leaving {
			daemons = append(daemons, member.Daemon)
		}
	}
	return daemons
}

// requestPlan includes this shard in the next planning round.
func (l *leaderState) requestPlan() { l.schedulePlanOf(l.shard, planDelay) }

// plan takes the next step, if any, towards a group of the right size on
// available daemons, placed and led according to rendezvous hashing. It reports
// whether more steps may remain.
func (l *leaderState) plan(daemons []structs.Daemon) bool {
	if l.ended || !l.ready {
		return false
	}
	l.startServingIfReady()
	if l.isHandingOver() {
		l.planForStop(daemons)
		return true
	}
	if !l.isGroupStable() {
		return true
	}
	group := l.log.group
	if len(group) > l.Settings.GroupSize {
		l.shrink(daemons)
		return true
	}
	if failing := l.memberToReplace(); len(group) < l.Settings.GroupSize || failing != "" {
		l.grow(daemons, failing)
		return true
	}
	if l.hasUnhealthyMember() {
		return true
	}
	return l.rebalance(daemons)
}

// planForStop transfers the leadership before a planned stop. A group that has
// no majority without this daemon grows first, since its records would be lost
// with the daemon.
func (l *leaderState) planForStop(daemons []structs.Daemon) {
	if !l.isNeededForMajority() {
		l.transferLeadershipAway()
		return
	}
	if !l.isGroupStable() {
		return
	}
	failing := l.memberToReplace()
	switch {
	case len(l.log.group) > l.Settings.GroupSize && failing != "":
		l.shrink(daemons)
	case len(l.log.group) < l.Settings.GroupSize || failing != "":
		if !l.grow(daemons, failing) {
			l.transferLeadershipAway()
		}
	}
}

// hasUnhealthyMember reports whether a member is unavailable or lagging; its
// group stays unchanged until the member recovers or is to be replaced.
func (l *leaderState) hasUnhealthyMember() bool {
	for _, member := range l.log.group {
		if !l.available(member) || l.isLagging(member) {
			return true
		}
	}
	return false
}

// memberToReplace returns a member that is leaving, or has been dead or lagging
// for too long; "" if there is none.
func (l *leaderState) memberToReplace() structs.DaemonID {
	now := l.Clock.Now()
	for _, member := range l.log.group {
		if member == l.Self.ID {
			continue
		}
		if l.Members.State(member) == membership.StateLeaving {
			return member
		}
		if since, dead := l.deadSince(member); dead && (now.Sub(since) >= l.Settings.ReplaceAfter || l.isSuperseded(member)) {
			return member
		}
		if p := l.progress[member]; p != nil && p.lagging && now.Sub(p.repliedAt) >= 2*l.Settings.ReplaceAfter {
			return member
		}
	}
	return ""
}

// grow adds the daemon with the lowest placement penalty beside the members
// that stay, and reports whether there was one.
func (l *leaderState) grow(daemons []structs.Daemon, failing structs.DaemonID) bool {
	staying := daemonsOf(l.log.group.without(failing), daemons)
	free := slices.DeleteFunc(slices.Clone(daemons), func(daemon structs.Daemon) bool {
		return l.log.group.Contains(daemon.ID)
	})
	next, found := bestAddition(free, weightsOf(l.shard, free), staying)
	if found {
		l.addMember(next.ID)
	}
	return found
}

// shrink removes one member: a failing one first, then a dead one, then the
// worst placed.
func (l *leaderState) shrink(daemons []structs.Daemon) {
	worst := l.memberToReplace()
	if worst == "" {
		worst = l.deadMember()
	}
	if worst == "" {
		worst = l.worstPlacedMember(daemons)
	}
	if worst != l.Self.ID {
		l.removeMember(worst)
		return
	}
	l.transferLeadershipAway()
}

func (l *leaderState) deadMember() structs.DaemonID {
	for _, member := range l.log.group {
		if !l.alive(member) {
			return member
		}
	}
	return ""
}

// worstPlacedMember returns an unavailable member, or else the one outside the
// target placement without which the others are placed best, of equals the one
// with the lowest weight.
func (l *leaderState) worstPlacedMember(daemons []structs.Daemon) structs.DaemonID {
	target := identifiers(chooseGroup(l.shard, daemons, l.Settings.GroupSize))
	members := ranked(l.shard, daemonsOf(l.log.group, daemons))
	worst, least := structs.DaemonID(""), 0
	for _, member := range l.log.group {
		if !l.available(member) {
			return member
		}
	}
	for i := len(members) - 1; i >= 0; i-- {
		if target.Contains(members[i].ID) {
			continue
		}
		rest := slices.Concat(members[:i], members[i+1:])
		if penalty := totalPenalty(rest); worst == "" || penalty < least {
			worst, least = members[i].ID, penalty
		}
	}
	if worst == "" {
		return l.log.group[len(l.log.group)-1]
	}
	return worst
}

func totalPenalty(daemons []structs.Daemon) int {
	total := 0
	for i := range daemons {
		total += placementPenalty(&daemons[i], daemons[:i])
	}
	return total
}

// isSpreadWorse reports whether the group has a worse placement than target.
// That is corrected at once; other moves are rate-limited.
func (l *leaderState) isSpreadWorse(daemons []structs.Daemon, target Group) bool {
	return totalPenalty(daemonsOf(l.log.group, daemons)) > totalPenalty(daemonsOf(target, daemons))
}

// rebalance moves one replica or the leadership towards its place by rendezvous
// hashing, at a limited rate unless the group's spread over zones is at stake.
// It reports whether something is out of place.
func (l *leaderState) rebalance(daemons []structs.Daemon) bool {
	target := identifiers(chooseGroup(l.shard, daemons, l.Settings.GroupSize))
	for _, id := range target {
		if !l.log.group.Contains(id) {
			if l.isSpreadWorse(daemons, target) || l.allowRebalanceMove() {
				l.addMember(id)
			}
			return true
		}
	}
	if len(target) == 0 || target[0] == l.Self.ID {
		return false
	}
	if l.canSucceed(target[0]) && l.allowRebalanceMove() {
		l.transferLeadershipTo(target[0])
	}
	return true
}

// daemonsOf returns those of the daemons that are members of a group.
func daemonsOf(group Group, daemons []structs.Daemon) []structs.Daemon {
	var members []structs.Daemon
	for _, daemon := range daemons {
		if group.Contains(daemon.ID) {
			members = append(members, daemon)
		}
	}
	return members
}
