package membership

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// changeWindow is the time over which changes are summed up that are too many for a
	// line each.
	changeWindow = time.Second
	// changeLines bounds the lines of single changes in each window: each of some hundred
	// daemons that start at once hears of all others within two seconds.
	maxChangeLines = 8
)

// changeLog writes the changes of members: a line each, or one for all beyond changeLines
// in a window, with their number by state and zone.
type changeLog struct {
	// endsAt is when the window ends, and lines how many single changes were logged in it.
	endsAt time.Time
	lines  int
	// summed counts the changes beyond these; nil for none.
	summarized map[State]map[structs.ZoneName]int
}

// logChange writes a line of a change, or counts it.
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

// logSummary writes one line for all changes that were counted.
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
