package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/sample"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

// joinDuration is how long after its start a daemon looks for others at the
// shorter JoinInterval.
const joinDuration = 5 * time.Second

// A daemon syncs syncSpeedup times as often for syncSpeedupDuration after its
// start, since the tables of a fleet that starts at once are incomplete.
const (
	syncSpeedupDuration = 30 * time.Second
	syncSpeedup         = 4
)

// syncer compares this daemon's table with others', finds other daemons after
// the start, and keeps looking for lost ones.
type syncer struct {
	// differsSince is since when a neighbour's table differs from this one.
	differsSince map[structs.DaemonID]time.Time
	// readAt is when another's table was last requested.
	readAt  time.Time
	replies tokenbucket.Bucket
	// pending are the runs to probe, and verifying is set while one is probed.
	pending   []pendingVerification
	verifying bool
}

// minSyncRecords are sent regardless of the rate limit: this run and the
// sender's.
const minSyncRecords = 2

// maxTrackedDifferences limits the entries of differsSince.
const maxTrackedDifferences = 64

func (s *syncer) init(settings Settings) {
	s.differsSince = map[structs.DaemonID]time.Time{}
	s.replies = tokenbucket.NewFull(float64(settings.SyncBytesPerSecond), float64(settings.SyncBurst))
}

// compareTable requests a daemon's table when it has differed for SyncAfter,
// which means that updates were missed.
func (m *Membership) compareTable(from structs.DaemonID, digest uint64) {
	s := &m.syncer
	if digest == m.digest() {
		delete(s.differsSince, from)
		return
	}
	now := m.Clock.Now()
	since, known := s.differsSince[from]
	if !known {
		if len(s.differsSince) >= maxTrackedDifferences {
			clear(s.differsSince)
		}
		s.differsSince[from] = now
		return
	}
	interval := m.settings.SyncInterval
	if now.Sub(m.startedAt) < syncSpeedupDuration {
		interval /= syncSpeedup
	}
	if now.Sub(since) < m.settings.SyncAfter || now.Sub(s.readAt) < interval {
		return
	}
	s.readAt = now
	clear(s.differsSince)
	m.requestSync(from)
}

// joinTick looks for daemons: any that is listed while this one is alone, later
// those that are listed or were known and are not among the members.
func (m *Membership) joinTick() {
	m.pruneTombstones()
	absent := m.absentAddresses()
	interval, fanout := m.joinSchedule()
	for _, address := range sample.Of(m.Random, fanout, absent) {
		m.requestSyncAt(address)
	}
	m.after(interval/2+m.jitter(interval), m.joinTick)
}

// requestSyncAt requests the table of the daemon at an address. If that daemon is
// dead in this table, the request says so, so that it can refute that.
func (m *Membership) requestSyncAt(address string) {
	request := &SyncRequest{Self: m.self.update(), Buckets: m.buckets}
	if r := m.records[address]; r != nil && r.status == statusDead {
		about := r.shortUpdate()
		request.About = &about
	}
	m.Transport.Send(structs.NewDaemonID(address, structs.AnyIncarnation), request)
}

// joinSchedule returns the delay between rounds of looking for others, and how
// many are asked in each.
func (m *Membership) joinSchedule() (interval time.Duration, fanout int) {
	age := m.Clock.Now().Sub(m.startedAt)
	switch {
	case age < m.settings.FirstJoinTime:
		return m.settings.FirstJoinInterval, m.settings.FirstJoinFanout
	case m.fleetSize() == 1 || age < joinDuration:
		return m.settings.JoinInterval, 1
	}
	return m.settings.ReconnectInterval, 1
}

// absentAddresses lists, sorted, the addresses where a daemon may run that is
// not a member.
func (m *Membership) absentAddresses() []string {
	var absent []string
	for _, address := range m.listed {
		if r := m.records[address]; r == nil || r.isGone() {
			absent = append(absent, address)
		}
	}
	for address, r := range m.records {
		if r.status == statusDead {
			absent = append(absent, address)
		}
	}
	slices.Sort(absent)
	return slices.Compact(absent)
}

// pruneTombstones removes records of daemons long dead.
func (m *Membership) pruneTombstones() {
	var dead []*record
	for _, r := range m.records {
		if r.isGone() {
			dead = append(dead, r)
		}
	}
	slices.SortFunc(dead, func(a, b *record) int {
		if order := a.diedAt.Compare(b.diedAt); order != 0 {
			return order
		}
		return strings.Compare(a.address, b.address)
	})
	excess := len(dead) - m.settings.TombstoneLimit
	for position, r := range dead {
		_, listed := slices.BinarySearch(m.listed, r.address)
		old := m.Clock.Now().Sub(r.diedAt) > m.settings.TombstoneRetention
		if position < excess || (old && !listed) {
			m.remove(r)
		}
	}
}

// receiveSyncRequest replies with the parts of the table that differ.
func (m *Membership) receiveSyncRequest(from structs.DaemonID, request *SyncRequest) {
	self := request.Self
	if structs.NewDaemonID(self.Address, self.Run) != from || self.Status.rank() < 0 {
		return
	}
	if m.apply(self) {
		m.announce(self)
	}
	if request.About != nil && request.About.Address == m.self.address {
		m.applySelf(*request.About)
	}
	updates := []Update{m.self.update()}
	if sender := m.records[from.Address()]; sender != nil && sender.status.rank() >= statusSuspect.rank() {
		updates = append(updates, sender.update())
	}
	size := recordSize
	switch {
	case request.LiveOnly:
		updates = append(updates, m.livingRecords(request.Buckets)...)
		size = updateSize
	case request.isJoining():
		updates = append(updates, m.differingUpdates(request.Buckets)...)
	default:
		updates = append(updates, m.differingUpdates(request.Buckets)...)
		updates = updates[:min(len(updates), m.settings.SyncRecords)]
	}
	granted := m.syncer.replies.Take(m.Clock.Now(), size*len(updates)) / size
	m.Transport.Send(from, &SyncReply{
		Updates:  updates[:min(len(updates), max(granted, minSyncRecords))],
		LiveOnly: request.LiveOnly,
	})
}

// joiningEmptyBuckets is the number of empty buckets above which the sender
// counts as joining.
const joiningEmptyBuckets = bucketCount * 3 / 4

// isJoining reports whether the sender knows almost no members, and needs a
// whole table.
func (r *SyncRequest) isJoining() bool {
	empty := 0
	for _, bucket := range r.Buckets {
		if bucket == 0 {
			empty++
		}
	}
	return empty > joiningEmptyBuckets
}

// differingUpdates lists the records in the parts of the table that differ,
// from a random position on, so that truncated replies contain different
// records each time.
func (m *Membership) differingUpdates(theirs [bucketCount]uint64) []Update {
	var differing []*record
	for _, r := range m.records {
		if r != m.self && theirs[r.bucket()] != m.buckets[r.bucket()] {
			differing = append(differing, r)
		}
	}
	if len(differing) == 0 {
		return nil
	}
	slices.SortFunc(differing, func(a, b *record) int { return strings.Compare(a.address, b.address) })
	start := m.Random.IntN(len(differing))
	updates := make([]Update, 0, len(differing))
	for offset := range differing {
		updates = append(updates, differing[(start+offset)%len(differing)].update())
	}
	return updates
}

// receiveSyncReply merges another's table. Its suspicions and deaths are not
// applied: it may have been cut off together with few others. Runs on which the
// tables disagree are probed.
func (m *Membership) receiveSyncReply(reply *SyncReply) {
	m.healer.synced = m.healer.synced || reply.LiveOnly
	for _, update := range reply.Updates {
		if update.Status.rank() < 0 || update.Address == "" {
			continue
		}
		r := m.records[update.Address]
		sameRun := r != nil && r != m.self && r.run == update.Run
		if sameRun && m.isHealing() {
			m.reviveLost(r, update)
			continue
		}
		if update.Status == statusSuspect {
			update.Status = statusAlive
		}
		if sameRun && m.disagreesOnLiveness(r, update) {
			m.verify(r)
			continue
		}
		if m.apply(update) && m.fleetSize() <= maxDirectPushFleet {
			m.broadcast.add(update, false)
		}
	}
}

// disagreesOnLiveness reports whether a run is dead in one table only, with no
// later refutation by the run itself to decide.
func (m *Membership) disagreesOnLiveness(r *record, update Update) bool {
	if r.status == statusLeft || update.Status == statusLeft {
		return false
	}
	dead := update.Status == statusDead
	if dead == r.isGone() {
		return false
	}
	return dead || update.Refutation <= r.refutation
}
