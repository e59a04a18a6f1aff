package relaydaemon

import (
	"sync/atomic"
	"time"
)

// stopMark records whether and since when the daemon stops. It is safe for concurrent use, and the
// zero value is ready.
type stopMark struct{ at atomic.Pointer[time.Time] }

// Store sets whether the daemon stops.
func (m *stopMark) Store(stopping bool) {
	if !stopping {
		m.at.Store(nil)
		return
	}
	now := time.Now()
	m.at.CompareAndSwap(nil, &now)
}

// Load reports whether the daemon stops.
func (m *stopMark) Load() bool { return m.at.Load() != nil }

// Since returns since when the daemon stops, false if it does not.
func (m *stopMark) Since() (at time.Time, stopping bool) {
	since := m.at.Load()
	if since == nil {
		return time.Time{}, false
	}
	return *since, true
}
