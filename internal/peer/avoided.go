package peer

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Avoided are daemons that failed when they were asked, and are not asked for a while. The zero
// value is ready; who uses it guards it.
type Avoided struct {
	until map[structs.DaemonID]time.Time
}

// Add avoids a daemon from now on for a time, and forgets those whose time is over.
func (a *Avoided) Add(id structs.DaemonID, now time.Time, pause time.Duration) {
	if a.until == nil {
		a.until = map[structs.DaemonID]time.Time{}
	}
	for other, until := range a.until {
		if now.After(until) {
			delete(a.until, other)
		}
	}
	a.until[id] = now.Add(pause)
}

// Has tells whether a daemon is avoided.
func (a *Avoided) Has(id structs.DaemonID, now time.Time) bool { return now.Before(a.until[id]) }
