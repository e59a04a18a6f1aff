package replication

import "time"

// Pressure is how full a daemon's memory is. The higher, the fuller.
type Pressure uint8

// Levels of pressure.
const (
	// PressureNone: all calls are accepted.
	PressureNone Pressure = iota
	// PressureRefuseNew: calls of new programs are refused.
	PressureRefuseNew
	// PressureRefuseAll: all calls are refused, those of running programs too.
	PressureRefuseAll
)

// pressureValidity is how long a member's reported pressure counts. A shard
// whose calls are all refused gets no replies from its members; after this time
// a call is accepted and its reply reports the pressure again.
const pressureValidity = 5 * time.Second

// Pressure implements Leadership.
func (l *leaderState) Pressure() Pressure {
	highest := l.Application.Pressure()
	for _, member := range l.log.group {
		if p := l.progress[member]; p != nil && l.Clock.Now().Sub(p.pressureAt) < pressureValidity {
			highest = max(highest, p.pressure)
		}
	}
	return highest
}
