package replication

import "time"

// acquireTransferSlot reserves one of the daemon's concurrent snapshot
// transfers and reports whether one was free.
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

// acquireChangeSlot reserves one of the daemon's concurrent group changes and
// reports whether one was free.
func (m *Manager) acquireChangeSlot() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.changes >= m.Settings.MaximumChanges {
		return false
	}
	m.changes++
	return true
}

// releaseChangeSlot releases a slot; another shard may be waiting for it.
func (m *Manager) releaseChangeSlot() {
	m.mutex.Lock()
	m.changes--
	m.mutex.Unlock()
	m.schedulePlanSoon()
}

// fastRebalanceLeads is the number of led shards above which a daemon
// rebalances faster.
const fastRebalanceLeads = 8

// allowRebalanceMove reports whether one move that only balances load may
// start. A daemon that leads many shards, as the first few of a starting large
// fleet do, moves them faster in proportion; the slots for transfers and
// changes limit the moves further.
func (m *Manager) allowRebalanceMove() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.Clock.Now()
	interval := m.Settings.RebalanceInterval * fastRebalanceLeads / time.Duration(max(fastRebalanceLeads, m.routes.countLed()))
	if !m.rebalancedAt.IsZero() && now.Sub(m.rebalancedAt) < interval {
		return false
	}
	m.rebalancedAt = now
	return true
}
