package peer

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Avoided is a set of daemons that failed to answer and are not asked for a while. The zero value
// is empty. The caller synchronizes access.
type Avoided struct {
	until map[structs.DaemonID]time.Time
}

// Add adds a daemon for a time from now on, and removes those whose time is over.
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

// Has reports whether a daemon is in the set.
func (a *Avoided) Has(id structs.DaemonID, now time.Time) bool { return now.Before(a.until[id]) }
