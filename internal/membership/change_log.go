package membership

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// changeWindow is the period over which changes are summarized when there
	// are too many for a line each.
	changeWindow = time.Second
	// maxChangeLines limits the lines for single changes in each window, so that
	// the start of a large fleet does not flood the log.
	maxChangeLines = 8
)

// changeLog logs the changes of members: a line each, or one summary for those
// beyond maxChangeLines in a window, with their number by state and zone.
type changeLog struct {
	// endsAt is when the window ends, and lines how many single changes were
	// logged in it.
	endsAt time.Time
	lines  int
	// summarized counts the changes beyond these; nil for none.
	summarized map[State]map[structs.ZoneName]int
}

// logChange logs a change, or counts it for the summary.
func (m *Membership) logChange(r *record) {
	l := &m.changeLog
	now := m.Clock.Now()
	if !now.Before(l.endsAt) {
		m.logSummary()
		*l = changeLog{endsAt: now.Add(changeWindow)}
	}
	if l.lines < maxChangeLines {
		l.lines++
		m.Logger.Info().Str("daemon", string(r.daemon.ID)).Str("zone", string(r.daemon.Zone)).
			Str("state", string(r.state())).Msg("Member changed.")
		return
	}
	if l.summarized == nil {
		l.summarized = map[State]map[structs.ZoneName]int{}
		m.after(l.endsAt.Sub(now), m.logSummary)
	}
	if l.summarized[r.state()] == nil {
		l.summarized[r.state()] = map[structs.ZoneName]int{}
	}
	l.summarized[r.state()][r.daemon.Zone]++
}

// logSummary logs one line for all changes that were counted.
func (m *Membership) logSummary() {
	if m.changeLog.summarized == nil {
		return
	}
	event := m.Logger.Info().Int("members", m.fleetSize())
	for state, zones := range m.changeLog.summarized {
		counts := zerolog.Dict()
		for zone, count := range zones {
			counts.Int(string(zone), count)
		}
		event.Dict(string(state), counts)
	}
	m.changeLog = changeLog{}
	event.Msg("More members changed.")
}
