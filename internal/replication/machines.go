package replication

import (
	"maps"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// deadSince tells whether a daemon is believed dead, and since when.
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

// machineListView is what readings of the machine list have shown of the addresses
// of daemons. The Manager's mutex guards it.
type machineListView struct {
	// firstAt and lastAt are when the list was read first and last.
	firstAt time.Time
	lastAt  time.Time
	listed  map[string]bool
	// unlistedAt is when a reading first lacked an address that was listed.
	unlistedAt map[string]time.Time
}

// unlistedMemory is how long an address that left the list is remembered with
// its time; one that is forgotten counts as lacking since the first reading.
const unlistedRetention = time.Hour

func newMachineListView() machineListView {
	return machineListView{listed: map[string]bool{}, unlistedAt: map[string]time.Time{}}
}

// known tells whether the list was ever read.
func (w *machineListView) wasRead() bool { return !w.firstAt.IsZero() }

// missingFor tells for how long readings have lacked an address, from the first
// of them to the last: what was not read since proves nothing.
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

// superseded tells whether another run has taken a daemon's address, and be it
// that this one has ended as well.
func (m *Manager) isSuperseded(daemon structs.DaemonID) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.latest[daemon.Address()] > daemon.Incarnation()
}

// MachinesListed takes a reading of the platform's machine list that differs
// from the one before.
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
	view := &m.machines
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

// MachinesUnchanged takes a reading of the machine list that shows what the one
// before showed.
func (m *Manager) MachinesUnchanged() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.machines.wasRead() {
		m.machines.lastAt = m.Clock.Now()
	}
}

// gone tells whether a daemon surely runs no more: another run has its address,
// or it is believed dead and for the grace time no reading of the machine list
// has had its address.
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
	return m.machines.missingFor(daemon.Address()) >= m.Settings.ClaimGrace
}
