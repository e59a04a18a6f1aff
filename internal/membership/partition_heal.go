package membership

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

// A cut is a partition of the network. When it ends, each side still believes much of the
// other dead, and has that bad news to pass on: about members that answer by now, to
// daemons that never missed them. So a daemon that hears that a lost member is back, while
// it has lost others, concludes that a cut has ended. Then it
//
//   - drops the bad news that it was to pass on, and ignores others' for HealDuration;
//   - tells some neighbours that the cut has ended;
//   - reads the table of a daemon from the other side, and takes the members that are alive
//     there for alive without asking each.
//
// A member that did die meanwhile is found by its neighbours' probes as always.

const (
	// leastLost is how many members must be lost besides the one that is back. Fewer
	// return to all views by their own refutations.
	minLostMembers = 4
	// lostLife is how long ago a member may have died to count as lost in a cut.
	maxLossAge = 10 * time.Minute
	// recentLoss is how long ago the others were lost at most if the one that is back
	// was suspected alone.
	recentLossAge = 5 * time.Second
	// healSpread is the time over which the readings are spread, which all daemons would
	// make at once.
	healSyncSpread = 400 * time.Millisecond
	// healReadingsLimit bounds the tables that a daemon reads after one cut.
	maxHealSyncs = 10
	// healRecordsLimit bounds the records of one such table, of updateSize each.
	maxHealRecords = 128
	// healBytesPerSecond and healBurst bound the bytes by which a daemon tells others
	// that a cut ended. They are kept apart from other pushes, which the suspicions of a
	// cut have used up.
	healBytesPerSecond = 50
	healBurstBytes     = 1 << 10
)

// healer is what a daemon knows of a cut that ended.
type healer struct {
	// since is when it was last heard that a cut ended, or, until a table was read, that
	// another run is back.
	startedAt time.Time
	// returned are the runs that are known to be back since then.
	returned []structs.DaemonID
	// readings counts the tables that were asked for, and answered tells whether one came.
	syncs  int
	synced bool
	// pushes bounds the bytes by which neighbours are told.
	pushes tokenbucket.Bucket
}

// isHealing tells whether a cut ended just now.
func (m *Membership) isHealing() bool {
	return !m.healer.startedAt.IsZero() && m.Clock.Now().Sub(m.healer.startedAt) < m.settings.HealDuration
}

// isLost tells whether a run is missing since a time that a cut may have begun.
func (m *Membership) isLost(r *record) bool {
	switch r.status {
	case statusSuspect:
		return true
	case statusDead:
		return m.Clock.Now().Sub(r.diedAt) < maxLossAge
	}
	return false
}

// lost lists the members that are lost.
func (m *Membership) lostRecords() []*record {
	var lost []*record
	for _, r := range m.records {
		if m.isLost(r) {
			lost = append(lost, r)
		}
	}
	return lost
}

// noteReturn takes note that a lost run is back. That a run was suspected by mistake is
// common: it tells of a cut only if others were lost just before.
func (m *Membership) handleReturn(r *record, wasDead bool) {
	if m.isHealing() {
		m.extendHealing(r)
		return
	}
	lost := m.lostRecords()
	if !wasDead {
		lost = slices.DeleteFunc(lost, func(r *record) bool { return m.Clock.Now().Sub(r.suspectedAt) > recentLossAge })
	}
	if len(lost) >= minLostMembers {
		m.startHealing(r)
	}
}

// hearOfHealing takes another daemon's word that a cut has ended.
func (m *Membership) handleHealReport(back *record) {
	switch {
	case m.isHealing():
		m.extendHealing(back)
	case !m.healedRecently() || len(m.lostRecords()) >= minLostMembers:
		m.startHealing(back)
	}
}

// healedLately tells whether a cut ended within HealCooldown: what is heard of it by probes
// may go round for longer than HealDuration.
func (m *Membership) healedRecently() bool {
	return !m.healer.startedAt.IsZero() && m.Clock.Now().Sub(m.healer.startedAt) < m.settings.HealCooldown
}

// beginHealing makes the tables whole after a cut. back is a run from beyond it.
func (m *Membership) startHealing(back *record) {
	now := m.Clock.Now()
	m.healer.startedAt = now
	m.healer.returned = []structs.DaemonID{back.daemon.ID}
	m.healer.syncs, m.healer.synced = 0, false
	m.broadcast.dropFailureReports()
	for _, r := range m.suspectedRecords() {
		m.stopSuspicion(r)
		m.startSuspicion(r)
	}
	message := &UpdatePush{Updates: []Update{back.update()}, PartitionHealed: true}
	for _, neighbour := range m.pickNeighbours(m.settings.PushFanout, back) {
		if m.healer.pushes.Take(now, messageSize+recordSize) == messageSize+recordSize {
			m.Transport.Send(neighbour.daemon.ID, message)
		}
	}
	m.Logger.Info().Str("back", string(back.daemon.ID)).Int("members", m.fleetSize()).Msg("A cut has ended. Tables are read.")
	m.after(m.jitter(healSyncSpread), m.syncAcrossPartition)
}

// prolongHealing takes note of another run that is back. Until a table was read the time
// begins anew: a cut of one way lets returns be heard of before its end.
func (m *Membership) extendHealing(back *record) {
	h := &m.healer
	if !slices.Contains(h.returned, back.daemon.ID) {
		h.returned = append(h.returned, back.daemon.ID)
	}
	if !h.synced {
		h.startedAt, h.syncs = m.Clock.Now(), 0
	}
}

// readTableBeyond asks a daemon from beyond the cut for its table, again and again until
// nobody is lost any more.
func (m *Membership) syncAcrossPartition() {
	h := &m.healer
	if !m.isHealing() {
		return
	}
	m.after(healSyncSpread/2+m.jitter(healSyncSpread), m.syncAcrossPartition)
	lost := m.lostRecords()
	if h.syncs >= maxHealSyncs || len(lost) == 0 {
		return
	}
	h.syncs++
	peer := m.nextHealPeer()
	if peer == "" {
		return
	}
	request := &SyncRequest{Self: m.self.update(), Buckets: m.buckets, LiveOnly: true}
	for _, r := range lost {
		request.Buckets[r.bucket()] ^= r.digest() // suspects count as missing
	}
	m.Transport.Send(peer, request)
}

// nextToRead returns a run whose table was not read yet: one that is back, or else any
// neighbour. "" if there is none.
func (m *Membership) nextHealPeer() structs.DaemonID {
	h := &m.healer
	if len(h.returned) > 0 {
		i := m.Random.IntN(len(h.returned))
		next := h.returned[i]
		h.returned = slices.Delete(h.returned, i, i+1)
		return next
	}
	for _, neighbour := range m.pickNeighbours(1, nil) {
		return neighbour.daemon.ID
	}
	return ""
}

// livingRecords lists, from a random place on, what a daemon from beyond a cut needs of the
// table: the members that are neither suspected nor gone, in the parts that differ.
func (m *Membership) livingRecords(theirs [bucketCount]uint64) []Update {
	differing := m.differingUpdates(theirs)
	differing = slices.DeleteFunc(differing, func(u Update) bool { return u.Status.rank() >= statusSuspect.rank() })
	for i, update := range differing {
		differing[i] = m.records[update.Address].shortUpdate()
	}
	return differing[:min(len(differing), maxHealRecords)]
}

// reviveLost takes a run for alive that is lost here, if a table that is read after a cut
// says so.
func (m *Membership) reviveLost(r *record, update Update) {
	well := update.Status.rank() >= 0 && update.Status.rank() < statusSuspect.rank()
	if !well || !m.isLost(r) || update.Refutation < r.refutation {
		return
	}
	m.broadcast.drop(r.address)
	m.replace(r, update)
}
