package membership

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

// When a network partition ends, each side still believes many members of the
// other dead and still passes on these failure reports, about members that now
// answer, to daemons that never lost them. So a daemon that learns that a lost
// member is back, while it has lost others, concludes that a partition has ended.
//
//   - It drops its queued failure reports and ignores others' for HealDuration.
//   - It informs some neighbours that the partition has ended.
//   - It requests the table of a daemon from the other side, and marks the members
//     alive there as alive without probing each.
//
// A member that died meanwhile is detected by its neighbours' probes.

const (
	// minLostMembers is how many members must be lost besides the one that is
	// back. Fewer return to all views by their own refutations.
	minLostMembers = 4
	// maxLossAge is how long ago a member may have died to count as lost by a
	// partition.
	maxLossAge = 10 * time.Minute
	// recentLossAge is how long ago the others may have been lost if the one
	// that is back was only suspected.
	recentLossAge = 5 * time.Second
	// healSyncSpread is the period over which the syncs of all daemons are
	// spread.
	healSyncSpread = 400 * time.Millisecond
	// maxHealSyncs limits the tables that a daemon requests after one
	// partition.
	maxHealSyncs = 10
	// maxHealRecords limits the records of one such table, of updateSize each.
	maxHealRecords = 128
	// healBytesPerSecond and healBurstBytes limit the bytes for reporting the
	// end of a partition to others. They are separate from other pushes, whose
	// budget the suspicions of a partition have used up.
	healBytesPerSecond = 50
	healBurstBytes     = 1 << 10
)

// healer is the state of healing after a partition.
type healer struct {
	// startedAt is when the end of a partition was last detected, or, until a
	// table was received, when another run returned.
	startedAt time.Time
	// returnedRuns are the runs known to be back since then.
	returnedRuns []structs.DaemonID
	// syncs counts the tables requested, and synced is set once one was
	// received.
	syncs  int
	synced bool
	// pushes limits the bytes for informing neighbours.
	pushes tokenbucket.Bucket
}

// isHealing reports whether a partition ended within HealDuration.
func (m *Membership) isHealing() bool {
	return !m.healer.startedAt.IsZero() && m.Clock.Now().Sub(m.healer.startedAt) < m.settings.HealDuration
}

// isLost reports whether a run may be missing because of a partition: it is
// suspected, or died recently.
func (m *Membership) isLost(r *record) bool {
	switch r.status {
	case statusSuspect:
		return true
	case statusDead:
		return m.Clock.Now().Sub(r.diedAt) < maxLossAge
	}
	return false
}

// lostRecords lists the members that are lost.
func (m *Membership) lostRecords() []*record {
	var lost []*record
	for _, r := range m.records {
		if m.isLost(r) {
			lost = append(lost, r)
		}
	}
	return lost
}

// handleReturn handles the return of a lost run. Since runs are often suspected
// by mistake, the return of a suspected one shows the end of a partition only if
// others were lost just before.
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

// handleHealReport handles another daemon's report that a partition has ended.
func (m *Membership) handleHealReport(back *record) {
	switch {
	case m.isHealing():
		m.extendHealing(back)
	case !m.healedRecently() || len(m.lostRecords()) >= minLostMembers:
		m.startHealing(back)
	}
}

// healedRecently reports whether a partition ended within HealCooldown: reports
// of it on probes may circulate for longer than HealDuration.
func (m *Membership) healedRecently() bool {
	return !m.healer.startedAt.IsZero() && m.Clock.Now().Sub(m.healer.startedAt) < m.settings.HealCooldown
}

// startHealing starts to repair the table after a partition. back is a run from
// the other side.
func (m *Membership) startHealing(back *record) {
	now := m.Clock.Now()
	m.healer.startedAt = now
	m.healer.returnedRuns = []structs.DaemonID{back.daemon.ID}
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
	m.Logger.Info().Str("back", string(back.daemon.ID)).Int("members", m.fleetSize()).Msg("Partition healed. Syncing tables.")
	m.after(m.jitter(healSyncSpread), m.syncAcrossPartition)
}

// extendHealing adds another run that is back. Until a table was received it
// restarts the period: during a one-way partition, returns may be reported before
// its end.
func (m *Membership) extendHealing(back *record) {
	h := &m.healer
	if !slices.Contains(h.returnedRuns, back.daemon.ID) {
		h.returnedRuns = append(h.returnedRuns, back.daemon.ID)
	}
	if !h.synced {
		h.startedAt, h.syncs = m.Clock.Now(), 0
	}
}

// syncAcrossPartition requests the table of a daemon from the other side,
// repeatedly until no member is lost.
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

// nextHealPeer returns a run whose table was not requested yet: one that is
// back, or else any neighbour. It returns "" if there is none.
func (m *Membership) nextHealPeer() structs.DaemonID {
	h := &m.healer
	if len(h.returnedRuns) > 0 {
		i := m.Random.IntN(len(h.returnedRuns))
		next := h.returnedRuns[i]
		h.returnedRuns = slices.Delete(h.returnedRuns, i, i+1)
		return next
	}
	for _, neighbour := range m.pickNeighbours(1, nil) {
		return neighbour.daemon.ID
	}
	return ""
}

// livingRecords lists, from a random position on, the records that a daemon
// from the other side needs: the members that are neither suspected nor gone,
// in the parts that differ.
func (m *Membership) livingRecords(theirs [bucketCount]uint64) []Update {
	differing := m.differingUpdates(theirs)
	differing = slices.DeleteFunc(differing, func(u Update) bool { return u.Status.rank() >= statusSuspect.rank() })
	for i, update := range differing {
		differing[i] = m.records[update.Address].shortUpdate()
	}
	return differing[:min(len(differing), maxHealRecords)]
}

// reviveLost marks a lost run alive if a table received after a partition says
// so.
func (m *Membership) reviveLost(r *record, update Update) {
	well := update.Status.rank() >= 0 && update.Status.rank() < statusSuspect.rank()
	if !well || !m.isLost(r) || update.Refutation < r.refutation {
		return
	}
	m.broadcast.drop(r.address)
	m.replace(r, update)
}
