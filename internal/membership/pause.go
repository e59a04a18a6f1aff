package membership

import (
	"slices"
	"strings"
	"time"
)

// pausedHealthPenalty is the health penalty after a pause.
const pausedHealthPenalty = 2

// detectPause compares when a timer ran with when it was due. A daemon whose
// timers run late was itself paused, and the answers that it misses may be in
// its receive buffers: probes and suspicions start again before any member is
// declared dead.
func (m *Membership) detectPause(due time.Time) {
	late := m.Clock.Now().Sub(due)
	if late < m.settings.PauseThreshold {
		return
	}
	m.Logger.Warn().Dur("late", late).Msg("This daemon was paused. Probes and suspicions restarted.")
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

// suspectedRecords lists the suspected members, sorted.
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
