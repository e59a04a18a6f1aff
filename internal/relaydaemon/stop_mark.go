package relaydaemon

import (
	"sync/atomic"
	"time"
)

// stopMark tells whether the daemon stops, and since when. It is safe for concurrent use,
// and the zero value is ready.
type stopMark struct{ at atomic.Pointer[time.Time] }

// Store marks that the daemon stops from now on, or that it does not.
func (m *stopMark) Store(stopping bool) {
	if !stopping {
		m.at.Store(nil)
		return
	}
	now := time.Now()
	m.at.CompareAndSwap(nil, &now)
}

// Load tells whether the daemon stops.
func (m *stopMark) Load() bool { return m.at.Load() != nil }

// Since tells since when the daemon stops, false if it does not.
func (m *stopMark) Since() (at time.Time, stopping bool) {
	begun := m.at.Load()
	if begun == nil {
		return time.Time{}, false
	}
	return *begun, true
}
