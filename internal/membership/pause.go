package membership

import (
	"slices"
	"strings"
	"time"
)

// pausedHealthPenalty is the health penalty that a pause sets.
const pausedHealthPenalty = 2

// detectPause compares when a timer ran with when it was due. A daemon whose
// timers run late was itself stopped, and the answers it misses may wait
// unread: probes and suspicions start anew before any member is held dead.
func (m *Membership) detectPause(due time.Time) {
	late := m.Clock.Now().Sub(due)
	if late < m.settings.PauseThreshold {
		return
	}
	m.Logger.Warn().Dur("late", late).Msg("This daemon was paused. Probes start anew.")
	m.healthPenalty = pausedHealthPenalty
	for _, p := range m.prober.probes {
		p.indirect.Stop()
		p.timeout.Stop()
	}
	clear(m.prober.probes)
	clear(m.syncer.differsSince)
	for _, r := range m.suspectedRecords() {
		m.stopSuspicion(r)
		m.startSuspicion(r)
	}
}

// suspected lists the suspected members in order.
func (m *Membership) suspectedRecords() []*record {
	var suspected []*record
	for _, r := range m.records {
		if r.status == statusSuspect {
			suspected = append(suspected, r)
		}
	}
	slices.SortFunc(suspected, func(a, b *record) int { return strings.Compare(a.address, b.address) })
	return suspected
}
