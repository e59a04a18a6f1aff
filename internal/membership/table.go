package membership

import (
	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// applyAll applies the updates in a message from a daemon.
func (m *Membership) applyAll(from structs.DaemonID, updates []Update) {
	var refuted []Update
	for _, update := range updates {
		if update.Status.rank() < 0 || update.Address == "" {
			m.Logger.Warn().Str("from", string(from)).Msg("Malformed update refused.")
			continue
		}
		if m.ignoresFailureReport(from, update) {
			continue
		}
		if m.apply(update) {
			m.relayUpdate(update)
		} else {
			m.broadcast.countDuplicate(update)
			refuted = append(refuted, m.refutationOf(update)...)
		}
	}
	m.sendRefutations(from, refuted)
}

// ignoresFailureReport reports whether a failure report is to be ignored: its
// sender is itself suspected or dead here, and has probably lost others by the
// same partition, or a partition has just ended.
func (m *Membership) ignoresFailureReport(from structs.DaemonID, update Update) bool {
	r := m.records[update.Address]
	if !update.isFailureReport() || r == nil || r == m.self || r.run != update.Run || r.status.rank() >= statusSuspect.rank() {
		return false
	}
	sender := m.records[from.Address()]
	isLost := sender != nil && sender.daemon.ID == from && sender.status.rank() >= statusSuspect.rank()
	return isLost || m.isHealing()
}

// refutationOf returns the later update by which a run has refuted this one, if
// there is any.
func (m *Membership) refutationOf(update Update) []Update {
	r := m.records[update.Address]
	if !update.isFailureReport() || r == nil || r.isGone() || r.run != update.Run || r.refutation <= update.Refutation {
		return nil
	}
	return []Update{r.shortUpdate()}
}

// sendRefutations replies to a daemon that passes on a refuted report, since it
// may not have received the refutation.
func (m *Membership) sendRefutations(from structs.DaemonID, refuted []Update) {
	if len(refuted) == 0 {
		return
	}
	size := messageSize + updateSize*len(refuted)
	if m.broadcast.pushes.Take(m.Clock.Now(), size) == size {
		m.Transport.Send(from, &UpdatePush{Updates: refuted})
	}
}

// apply applies one update and reports whether it was new.
func (m *Membership) apply(update Update) bool {
	if update.Address == m.self.address {
		m.applySelf(update)
		return false
	}
	r := m.records[update.Address]
	switch {
	case r == nil:
		return m.applyUnknown(update)
	case r.isStale(update):
		return false
	case update.Run > r.run && !update.isComplete():
		return false
	case update.Run > r.run:
		m.supersede(r, update)
		return true
	}
	if update.Status == statusDead && r.status.rank() < statusSuspect.rank() {
		// A death reported by another daemon is treated as a suspicion: the
		// daemon's refutation may be on its way to this daemon.
		update.Status = statusSuspect
	}
	m.replace(r, update)
	return true
}

func (m *Membership) applyUnknown(update Update) bool {
	if update.Status == statusDead || update.Status == statusLeft || !update.isComplete() {
		return false
	}
	r := newRecord(update)
	m.insert(r)
	if r.status == statusSuspect {
		m.startSuspicion(r)
	}
	return true
}

// supersede adds a daemon's new run at its old address; the old run is dead
// from then on, whatever its state was.
func (m *Membership) supersede(old *record, update Update) {
	former := *old
	m.remove(old)
	if !former.isGone() {
		former.status = statusDead
		m.queueChange(&former)
	}
	successor := newRecord(update)
	m.insert(successor)
	if successor.status == statusSuspect {
		m.startSuspicion(successor)
	}
}

// applySelf refutes an update about this run that is worse than the truth. One
// about a later run at this address cannot be refuted: the clock went back
// between two starts, and the fleet will not accept this run.
func (m *Membership) applySelf(update Update) {
	if update.Run > m.self.run {
		m.Logger.Error().Uint64("run", update.Run).Msg("A later run at this daemon's address is known. Correct the clock and restart.")
		return
	}
	if update.Run < m.self.run || m.self.isStale(update) {
		return
	}
	refuted := m.self.update()
	refuted.Refutation = update.Refutation + 1
	m.replace(m.self, refuted)
	m.announce(m.self.shortUpdate())
}

// insert adds a record of an address that has none.
func (m *Membership) insert(r *record) {
	m.mutex.Lock()
	m.records[r.address] = r
	m.cachedMembers = nil
	m.mutex.Unlock()
	m.buckets[r.bucket()] ^= r.digest()
	if r.isGone() {
		r.diedAt = m.Clock.Now()
		return
	}
	m.ring.add(r)
	m.queueChange(r)
}

// remove removes a record.
func (m *Membership) remove(r *record) {
	m.stopSuspicion(r)
	m.buckets[r.bucket()] ^= r.digest()
	m.mutex.Lock()
	delete(m.records, r.address)
	m.cachedMembers = nil
	m.mutex.Unlock()
	m.ring.remove(r)
}

// replace applies a newer update to the record of the same run.
func (m *Membership) replace(r *record, update Update) {
	former := r.state()
	wasLost, wasDead := r != m.self && m.isLost(r), r.status == statusDead
	m.buckets[r.bucket()] ^= r.digest()
	m.mutex.Lock()
	wasGone := r.isGone()
	r.status = update.Status
	r.refutation = update.Refutation
	r.leaving = r.leaving || update.Status == statusLeaving
	m.cachedMembers = nil
	m.mutex.Unlock()
	m.buckets[r.bucket()] ^= r.digest()
	switch {
	case r.isGone() && !wasGone:
		r.diedAt = m.Clock.Now()
		m.ring.remove(r)
	case wasGone && !r.isGone():
		m.ring.add(r)
	}
	m.stopSuspicion(r)
	if r.status == statusSuspect {
		m.startSuspicion(r)
	}
	if r.state() != former {
		m.queueChange(r)
	}
	if !wasLost && r.status.rank() >= statusSuspect.rank() {
		r.suspectedAt = m.Clock.Now()
	}
	if wasLost && r.status.rank() < statusSuspect.rank() {
		m.handleReturn(r, wasDead)
	}
}

// queueChange queues a change for the listeners.
func (m *Membership) queueChange(r *record) {
	m.changes = append(m.changes, Member{Daemon: r.daemon, State: r.state()})
	if r != m.self {
		m.logChange(r)
	}
}

// startSuspicion marks a run dead unless it refutes the suspicion in time.
func (m *Membership) startSuspicion(r *record) {
	var timer clock.Timer
	timer = m.after(m.settings.SuspicionTimeout, func() {
		if r.suspicion != timer {
			return
		}
		update := r.update()
		update.Status = statusDead
		m.replace(r, update)
		m.broadcast.add(r.shortUpdate(), false)
	})
	r.suspicion = timer
}

func (m *Membership) stopSuspicion(r *record) {
	if r.suspicion != nil {
		r.suspicion.Stop()
		r.suspicion = nil
	}
}

// digest returns the digest of the whole table.
func (m *Membership) digest() uint64 {
	var digest uint64
	for _, bucket := range m.buckets {
		digest ^= bucket
	}
	return digest
}
