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

// A daemon that has started looks for others at JoinInterval while it lacks more
// than maxMissing of the listed daemons, and more than missingShare of them. Its
// requests then name up to maxWanted of those that it lacks: the parts of a large
// table differ in few records each, and would be sent whole.
const (
	maxMissing   = 32
	missingShare = 0.02
	maxWanted    = 192
	// maxPartners is the number of daemons to which such requests go in turn, so
	// that they need few connections. Every absentRound-th round asks one of the
	// missing daemons itself: the partners may not know it, or be gone.
	maxPartners = 8
	absentRound = 4
	// maxFirstJoinMembers is the number of members from which on a daemon no
	// longer asks at FirstJoinInterval, as it knows whom to ask.
	maxFirstJoinMembers = 128
)

// syncer compares this daemon's table with others', finds other daemons after
// the start, and keeps looking for lost ones.
type syncer struct {
	// differsSince is since when a neighbour's table differs from this one.
	differsSince map[structs.DaemonID]time.Time
	// readAt is when another's table was last requested.
	readAt  time.Time
	replies tokenbucket.Bucket
	// partners are the addresses of daemons that sent tables, the latest last.
	partners []string
	// rounds counts the rounds of looking for others.
	rounds int
	// pending are the runs to probe, and verifying is set while one is probed.
	pending   []pendingVerification
	verifying bool
}

// maxTrackedDifferences limits the entries of differsSince.
const maxTrackedDifferences = 64

func (s *syncer) init(settings Settings) {
	s.differsSince = map[structs.DaemonID]time.Time{}
	s.replies = tokenbucket.NewFull(float64(settings.SyncBytesPerSecond), float64(settings.SyncBurst))
}

// resize adapts the burst of replies to the settings. A burst that has grown is
// to be had at once.
func (s *syncer) resize(settings Settings) {
	capacity := float64(settings.SyncBurst)
	s.replies.Tokens = min(s.replies.Tokens+max(capacity-s.replies.Capacity, 0), capacity)
	s.replies.Capacity = capacity
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
	m.syncer.rounds++
	if m.lacksMany() && len(m.syncer.partners) == maxPartners && m.syncer.rounds%absentRound != 0 {
		partner := m.syncer.partners[m.Random.IntN(maxPartners)]
		m.requestSyncAt(partner, sample.Of(m.Random, maxWanted, absent))
	} else {
		for _, address := range sample.Of(m.Random, fanout, absent) {
			m.requestSyncAt(address, nil)
		}
	}
	m.after(interval/2+m.jitter(interval), m.joinTick)
}

// requestSyncAt requests the table of the daemon at an address. If that daemon is
// dead in this table, the request says so, so that it can refute that.
func (m *Membership) requestSyncAt(address string, wanted []string) {
	request := &SyncRequest{Self: m.self.update(), Buckets: m.buckets, Wanted: wanted}
	if r := m.records[address]; r != nil && r.status == statusDead {
		about := r.shortUpdate()
		request.About = &about
	}
	m.Transport.Send(structs.NewDaemonID(address, structs.AnyIncarnation), request)
}

// notePartner remembers a daemon that sent a table, in place of the oldest one.
func (s *syncer) notePartner(address string) {
	if slices.Contains(s.partners, address) {
		return
	}
	s.partners = append(s.partners, address)
	if len(s.partners) > maxPartners {
		s.partners = s.partners[1:]
	}
}

// joinSchedule returns the delay between rounds of looking for others, and how
// many are asked in each.
func (m *Membership) joinSchedule() (interval time.Duration, fanout int) {
	age := m.Clock.Now().Sub(m.startedAt)
	switch {
	case age < m.settings.FirstJoinTime && m.fleetSize() < maxFirstJoinMembers:
		return m.settings.FirstJoinInterval, m.settings.FirstJoinFanout
	case m.fleetSize() == 1 || age < joinDuration || (age < syncSpeedupDuration && m.lacksMany()):
		return m.settings.JoinInterval, 1
	}
	return m.settings.ReconnectInterval, 1
}

// lacksMany reports whether many of the listed daemons are not among the
// members.
func (m *Membership) lacksMany() bool {
	missing := len(m.listed) + 1 - m.fleetSize()
	return missing > maxMissing && float64(missing) > missingShare*float64(len(m.listed))
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
	if request.LiveOnly {
		size = updateSize
	}
	m.refreshRing() // the budget follows the size of the fleet
	m.syncer.replies.Refill(m.Clock.Now())
	if granted := int(m.syncer.replies.Tokens) / size; granted > len(updates) {
		updates = append(updates, m.tableFor(request, granted-len(updates))...)
	}
	m.syncer.replies.Take(m.Clock.Now(), size*len(updates))
	m.Transport.Send(from, &SyncReply{Updates: updates, LiveOnly: request.LiveOnly})
}

// tableFor returns up to limit records of the parts of the table that differ
// from the sender's.
func (m *Membership) tableFor(request *SyncRequest, limit int) []Update {
	var updates []Update
	switch {
	case request.LiveOnly:
		updates = m.livingRecords(request.Buckets)
	case request.isJoining():
		updates = m.differingUpdates(request.Buckets)
	case len(request.Wanted) > 0:
		updates = m.membersAt(request.Wanted)
	default:
		updates = m.differingUpdates(request.Buckets)
		limit = min(limit, m.settings.SyncRecords)
	}
	return updates[:min(len(updates), limit)]
}

// membersAt returns the records of the members at the given addresses.
func (m *Membership) membersAt(addresses []string) []Update {
	var updates []Update
	for _, address := range addresses[:min(len(addresses), maxWanted)] {
		if r := m.records[address]; r != nil && !r.isGone() {
			updates = append(updates, r.update())
		}
	}
	return updates
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
func (m *Membership) receiveSyncReply(from structs.DaemonID, reply *SyncReply) {
	m.syncer.notePartner(from.Address())
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
