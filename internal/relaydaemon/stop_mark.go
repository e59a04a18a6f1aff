package relaydaemon

import (
	"sync/atomic"
	"time"
)

// stopMark records whether and since when the daemon is shutting down. It is safe for concurrent
// use, and the zero value is ready.
type stopMark struct{ at atomic.Pointer[time.Time] }

// Store sets whether the daemon is shutting down.
func (m *stopMark) Store(stopping bool) {
	if !stopping {
		m.at.Store(nil)
		return
	}
	now := time.Now()
	m.at.CompareAndSwap(nil, &now)
}

// Load reports whether the daemon is shutting down.
func (m *stopMark) Load() bool { return m.at.Load() != nil }

// Since returns since when the daemon is shutting down; false if it is not.
func (m *stopMark) Since() (at time.Time, stopping bool) {
	since := m.at.Load()
	if since == nil {
		return time.Time{}, false
	}
	return *since, true
}
