package replication

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// plannedStop is the state of a planned stop.
type plannedStop struct {
	active bool
	since  time.Time
	// shardsNeeding are the shards whose group has no majority without this
	// daemon.
	shardsNeeding map[structs.ShardNumber]bool
	// warned is set once the delay of the stop was logged.
	warned bool
}

// plannedStopPollInterval is the delay between checks of a planned stop's
// progress.
const plannedStopPollInterval = 100 * time.Millisecond

// HandOver prepares a planned stop: the leadership of every shard led here is
// transferred to a member that holds its whole log, and where other daemons can
// replace this one it waits for them, up to Settings.HandOverTimeout. After
// that it still waits for shards whose groups would lose their majority, and
// perhaps their last copy, even while no daemon that could help is reachable;
// the caller limits that. done is called once.
func (m *Manager) HandOver(done func()) {
	m.mutex.Lock()
	m.stopState = plannedStop{active: true, since: m.Clock.Now(), shardsNeeding: map[structs.ShardNumber]bool{}}
	m.mutex.Unlock()
	for _, r := range m.sortedReplicas() {
		r.post(func() {
			if r.leaderState != nil {
				r.leaderState.plan(nil)
				r.leaderState.requestPlan()
			}
		})
	}
	m.pollHandOver(done)
}

func (m *Manager) pollHandOver(done func()) {
	for _, r := range m.sortedReplicas() {
		r.post(func() { m.setNeeded(r.shard, r.isNeededForMajority()) })
	}
	m.Clock.AfterFunc(plannedStopPollInterval, func() {
		if m.isStopped() || m.isHandOverDone() {
			done()
			return
		}
		m.pollHandOver(done)
	})
}

func (m *Manager) setNeeded(shard structs.ShardNumber, needed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if needed {
		m.stopState.shardsNeeding[shard] = true
		return
	}
	delete(m.stopState.shardsNeeding, shard)
}

// isNeededForMajority reports whether the group has no majority without this
// daemon.
func (r *replica) isNeededForMajority() bool {
	if !r.log.group.Contains(r.Self.ID) {
		return false
	}
	staying := 0
	for _, member := range r.log.group.without(r.Self.ID) {
		state := r.Members.State(member)
		if state == membership.StateAlive || state == membership.StateSuspect {
			staying++
		}
	}
	return staying < r.log.group.Majority()
}

// isHandOverDone reports whether nothing is left that the fleet could take
// over.
func (m *Manager) isHandOverDone() bool {
	m.mutex.Lock()
	pastTimeout := m.Clock.Now().Sub(m.stopState.since) >= m.Settings.HandOverTimeout
	leads := m.routes.leadsAny(m.Self.ID)
	holds := len(m.replicas) > 0
	needed := m.countNeedingShards()
	m.mutex.Unlock()
	others, expected := len(m.candidates()), m.expectedOthers()
	if !holds || others+expected == 0 {
		return true
	}
	if pastTimeout {
		irreplaceable := max(others, expected) < m.Settings.GroupSize-1
		m.warnOfWait(needed, others, expected)
		return needed == 0 || irreplaceable
	}
	replaceable := others >= m.Settings.GroupSize
	return !leads && !replaceable && needed == 0
}

// expectedOthers counts the other daemons that the machine list names and that
// have not announced their stop: those that are unreachable may come back.
func (m *Manager) expectedOthers() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := 0
	for address := range m.machineList.listed {
		if address != m.Self.ID.Address() && !m.leavingAddresses[address] {
			count++
		}
	}
	return count
}

// recordLeaving records that the daemon at an address has announced its stop, and
// keeps the record after the daemon has stopped. The caller holds the mutex.
func (m *Manager) recordLeaving(member membership.Member) {
	address := member.Daemon.ID.Address()
	switch member.State {
	case membership.StateLeaving:
		m.leavingAddresses[address] = true
	case membership.StateAlive:
		delete(m.leavingAddresses, address)
	case membership.StateSuspect, membership.StateDead:
		// Neither state shows whether the daemon has announced its stop.
	}
}

// warnOfWait logs once why a planned stop takes longer than usual.
func (m *Manager) warnOfWait(needed, others, expected int) {
	m.mutex.Lock()
	alreadyWarned := m.stopState.warned
	m.stopState.warned = alreadyWarned || needed > 0
	m.mutex.Unlock()
	if alreadyWarned || needed == 0 {
		return
	}
	m.Logger.Warn().Int("shards", needed).Int("reachable_daemons", others).Int("listed_daemons", expected).
		Msg("Planned stop waits. Shards would lose their majority without this daemon.")
}

// ShardsNeedingThisDaemon counts the shards that delay a planned stop.
func (m *Manager) ShardsNeedingThisDaemon() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.countNeedingShards()
}

// countNeedingShards counts the shards held here that would lose their majority
// without this daemon. The caller holds the mutex.
func (m *Manager) countNeedingShards() int {
	count := 0
	for shard := range m.stopState.shardsNeeding {
		if m.replicas[shard] != nil {
			count++
		}
	}
	return count
}
