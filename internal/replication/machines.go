package replication

import (
	"maps"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// deadSince reports whether a daemon is believed dead, and since when.
func (m *Manager) deadSince(daemon structs.DaemonID) (time.Time, bool) {
	if m.Alive(daemon) {
		return time.Time{}, false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	since, known := m.deadAt[daemon]
	if !known {
		since = m.Clock.Now()
		m.deadAt[daemon] = since
	}
	return since, true
}

// machineListView is the history of daemon addresses on the machine list. The
// Manager's mutex guards it.
type machineListView struct {
	// firstAt and lastAt are when the list was read first and last.
	firstAt time.Time
	lastAt  time.Time
	listed  map[string]bool
	// unlistedAt is when a read first lacked an address that was listed.
	unlistedAt map[string]time.Time
}

// unlistedRetention is how long the removal time of an address is kept; after
// that it counts as missing since the first read.
const unlistedRetention = time.Hour

func newMachineListView() machineListView {
	return machineListView{listed: map[string]bool{}, unlistedAt: map[string]time.Time{}}
}

// wasRead reports whether the list was ever read.
func (w *machineListView) wasRead() bool { return !w.firstAt.IsZero() }

// missingFor returns for how long an address was missing, from the first read
// without it to the last: the time since the last read proves nothing.
func (w *machineListView) missingFor(address string) time.Duration {
	if !w.wasRead() || w.listed[address] {
		return 0
	}
	since, seen := w.unlistedAt[address]
	if !seen {
		since = w.firstAt
	}
	return w.lastAt.Sub(since)
}

// isSuperseded reports whether a later run has used a daemon's address, even if
// that run has ended as well.
func (m *Manager) isSuperseded(daemon structs.DaemonID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.latestIncarnation[daemon.Address()] > daemon.Incarnation()
}

// MachinesListed handles a read of the platform's machine list that differs
// from the previous one.
func (m *Manager) MachinesListed(machines []structs.Machine) {
	now := m.Clock.Now()
	listed := map[string]bool{}
	for _, machine := range machines {
		if machine.Kind == structs.MachineDaemon {
			listed[machine.Address] = true
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	view := &m.machineList
	maps.DeleteFunc(view.unlistedAt, func(_ string, since time.Time) bool { return now.Sub(since) > unlistedRetention })
	for address := range view.listed {
		if !listed[address] {
			view.unlistedAt[address] = now
		}
	}
	for address := range listed {
		delete(view.unlistedAt, address)
	}
	view.listed = listed
	if !view.wasRead() {
		view.firstAt = now
	}
	view.lastAt = now
}

// MachinesUnchanged handles a read of the machine list that equals the previous
// one.
func (m *Manager) MachinesUnchanged() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.machineList.wasRead() {
		m.machineList.lastAt = m.Clock.Now()
	}
}

// isConfirmedGone reports whether a daemon has certainly ended: a later run has
// its address, or it has been believed dead, and its address missing from the
// machine list, for ClaimGrace.
func (m *Manager) isConfirmedGone(daemon structs.DaemonID) bool {
	since, dead := m.deadSince(daemon)
	if !dead {
		return false
	}
	if m.isSuperseded(daemon) {
		return true
	}
	if m.Clock.Now().Sub(since) < m.Settings.ClaimGrace {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.machineList.missingFor(daemon.Address()) >= m.Settings.ClaimGrace
}
