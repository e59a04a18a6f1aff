package replication

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// planDelay is the delay before a planning round that a change requested;
// further requests within it are served by the same round.
const planDelay = 20 * time.Millisecond

// schedulePlanOf includes a shard in a planning round that starts after pause at
// the latest. Rounds stop when nothing is left to do.
func (m *Manager) schedulePlanOf(shard structs.ShardNumber, pause time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.shardsToPlan[shard] = true
	m.schedulePlan(pause)
}

// schedulePlanSoon makes the next round start within planDelay if any shard
// waits for it.
func (m *Manager) schedulePlanSoon() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.shardsToPlan) > 0 {
		m.schedulePlan(planDelay)
	}
}

// schedulePlan arms the timer of the next round. The caller holds the mutex.
func (m *Manager) schedulePlan(pause time.Duration) {
	due := m.Clock.Now().Add(pause)
	if m.stopped || (m.planTimer != nil && !due.Before(m.planDue)) {
		return
	}
	if m.planTimer != nil {
		m.planTimer.Stop()
	}
	m.planDue = due
	m.planTimer = m.Clock.AfterFunc(pause, m.runPlan)
}

func (m *Manager) runPlan() {
	m.mutex.Lock()
	m.planTimer = nil
	wanted := make([]structs.ShardNumber, 0, len(m.shardsToPlan))
	for shard := range m.shardsToPlan {
		wanted = append(wanted, shard)
	}
	clear(m.shardsToPlan)
	stopped := m.stopped
	m.mutex.Unlock()
	if stopped {
		return
	}
	slices.Sort(wanted)
	daemons := m.candidates()
	for _, shard := range wanted {
		r := m.replica(shard)
		if r == nil {
			continue
		}
		r.post(func() {
			if r.leaderState != nil && r.leaderState.plan(daemons) {
				m.schedulePlanOf(shard, m.Settings.PlanInterval)
			}
		})
	}
}
