package replication

import "time"

// Pressure tells how full a daemon's memory is. The higher, the fuller.
type Pressure uint8

// Levels of pressure.
const (
	// PressureNone: everything is taken on.
	PressureNone Pressure = iota
	// PressureRefuseNew: no new programs are taken on.
	PressureRefuseNew
	// PressureRefuseAll: no calls are taken on, not of programs under way either.
	PressureRefuseAll
)

// pressureMemory is how long a member's word about its memory counts. A shard
// whose calls are all refused hears nothing from its members; after this time a
// call goes through and its answer tells anew.
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
