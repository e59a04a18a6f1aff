package replication

import "time"

// takeTransfer reserves one of the daemon's snapshot transfers.
func (m *Manager) acquireTransferSlot() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.transfers >= m.Settings.MaximumTransfers {
		return false
	}
	m.transfers++
	return true
}

func (m *Manager) releaseTransferSlot() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.transfers--
}

// takeChange reserves one of the daemon's changes of groups.
func (m *Manager) acquireChangeSlot() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.changes >= m.Settings.MaximumChanges {
		return false
	}
	m.changes++
	return true
}

// giveChange hands one back; another shard may have waited for it.
func (m *Manager) releaseChangeSlot() {
	m.mutex.Lock()
	m.changes--
	m.mutex.Unlock()
	m.schedulePlanSoon()
}

// manyLed is how many led shards make a daemon move its load away faster.
const fastRebalanceLeads = 8

// takeMove allows one move that only spreads the load. A daemon that leads many
// shards, as the first few of a large fleet to start do, moves them faster in
// proportion; transfers and changes under way are bounded besides.
func (m *Manager) allowRebalanceMove() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Clock.Now()
	interval := m.Settings.RebalanceInterval * fastRebalanceLeads / time.Duration(max(fastRebalanceLeads, m.routes.countLed()))
	if !m.movedAt.IsZero() && now.Sub(m.movedAt) < interval {
		return false
	}
	m.movedAt = now
	return true
}
