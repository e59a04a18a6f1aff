package membership

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// When a cut ends, each side holds much of the other dead, and has the bad news still
// to pass on: about members that answer by now, to daemons that never missed them. So
// a daemon that hears that a lost member is back, while it has lost others, takes the
// cut for ended. It drops the bad news that it was to pass on, takes none by hearsay for
// a while, tells some neighbours, and reads the table of a daemon from beyond once: its
// living are taken over without asking each. A member that did die meanwhile is found by
// its neighbours' probes as always.

const (
	// lostCrowd is how many members must be lost besides the one that is back. Fewer
	// are back in all views by their own refutations.
	lostCrowd = 4
	// lostMemory is how long ago a member may have died to count as lost in a cut.
	lostMemory = 10 * time.Minute
	// recentLoss is how long ago the others were lost at most if the one that is back
	// was suspected alone.
	recentLoss = 5 * time.Second
	// healSpread spreads the readings, which all daemons make at once, over time and
	// over the daemons that are back.
	healSpread = 400 * time.Millisecond
	// healReadings bounds them for each daemon and cut.
	healReadings = 10
	// healRecords bounds the records of one reading, of updateSize each.
	healRecords = 128
	// healBytesPerSecond and healBurst bound the bytes by which a daemon tells others
	// that a cut ended. They are kept apart from other pushes, which the suspicions of a
	// cut have used up.
	healBytesPerSecond = 50
	healBurst          = 1 << 10
)

// healer is what a daemon knows of a cut that ended.
type healer struct {
	// since is when it was heard last that a cut ended.
	since time.Time
	// returned are the runs that are known to be back since then.
	returned []structs.DaemonID
	readings int
	// answered: a table was read since then.
	answered bool
	pushes   tokenBucket
}

// isHealing tells whether a cut ended just now.
func (m *Membership) isHealing() bool {
	return !m.healer.since.IsZero() && m.Clock.Now().Sub(m.healer.since) < m.settings.HealTime
}

// isLost tells whether a run is missing since a time that a cut may have begun.
func (m *Membership) isLost(r *record) bool {
	switch r.status {
	case statusSuspect:
		return true
	case statusDead:
		return m.Clock.Now().Sub(r.diedAt) < lostMemory
	}
	return false
}

// lost lists the members that are lost.
func (m *Membership) lost() []*record {
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
func (m *Membership) noteReturn(r *record, wasDead bool) {
	if m.isHealing() {
		m.prolongHealing(r)
		return
	}
	lost := m.lost()
	if !wasDead {
		lost = slices.DeleteFunc(lost, func(r *record) bool { return m.Clock.Now().Sub(r.lostAt) > recentLoss })
	}
	if len(lost) >= lostCrowd {
		m.beginHealing(r)
	}
}

// hearOfHealing takes another daemon's word that a cut has ended.
func (m *Membership) hearOfHealing(back *record) {
	switch {
	case m.isHealing():
		m.prolongHealing(back)
	case !m.healedLately() || len(m.lost()) >= lostCrowd:
		m.beginHealing(back)
	}
}

// healedLately tells whether a cut ended within HealPause: what is heard of it by probes
// may go round for longer than HealTime.
func (m *Membership) healedLately() bool {
	return !m.healer.since.IsZero() && m.Clock.Now().Sub(m.healer.since) < m.settings.HealPause
}

// beginHealing makes the tables whole after a cut. back is a run from beyond it.
func (m *Membership) beginHealing(back *record) {
	now := m.Clock.Now()
	m.healer.since = now
	m.healer.returned = []structs.DaemonID{back.daemon.ID}
	m.healer.readings, m.healer.answered = 0, false
	m.broadcast.dropBadNews()
	for _, r := range m.suspected() {
		m.stopSuspicion(r)
		m.startSuspicion(r)
	}
	message := &UpdatePush{Updates: []Update{back.update()}, Healed: true}
	for _, neighbour := range m.pickNeighbours(m.settings.PushFanout, back) {
		if m.healer.pushes.take(now, messageSize+recordSize) == messageSize+recordSize {
			m.Transport.Send(neighbour.daemon.ID, message)
		}
	}
	m.Logger.Info().Str("back", string(back.daemon.ID)).Int("members", m.fleet()).Msg("A cut has ended. Tables are read.")
	m.after(m.jitter(healSpread), m.readBeyond)
}

// prolongHealing takes note of another run that is back. Until a table was read the time
// begins anew: a cut of one way lets returns be heard of before its end.
func (m *Membership) prolongHealing(back *record) {
	h := &m.healer
	if !slices.Contains(h.returned, back.daemon.ID) {
		h.returned = append(h.returned, back.daemon.ID)
	}
	if !h.answered {
		h.since, h.readings = m.Clock.Now(), 0
	}
}

// readBeyond reads the table of a daemon that is back, until nobody is lost any more.
func (m *Membership) readBeyond() {
	h := &m.healer
	if !m.isHealing() {
		return
	}
	m.after(healSpread/2+m.jitter(healSpread), m.readBeyond)
	lost := m.lost()
	if h.readings >= healReadings || len(lost) == 0 {
		return
	}
	h.readings++
	beyond := m.nextToRead()
	if beyond == "" {
		return
	}
	request := &SyncRequest{Self: m.self.update(), Buckets: m.buckets, Living: true}
	for _, r := range lost {
		request.Buckets[r.bucket()] ^= r.digest() // suspects count as missing
	}
	m.Transport.Send(beyond, request)
}

// nextToRead returns a run whose table was not read yet: one that is back, or else any
// neighbour. "" if there is none.
func (m *Membership) nextToRead() structs.DaemonID {
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

// living lists, from a random place on, what a daemon from beyond a cut needs of the
// table: the members that are well, in the parts that differ.
func (m *Membership) living(theirs [bucketCount]uint64) []Update {
	differing := m.differing(theirs)
	differing = slices.DeleteFunc(differing, func(u Update) bool { return u.Status.rank() >= statusSuspect.rank() })
	for i, update := range differing {
		differing[i] = m.records[update.Address].shortUpdate()
	}
	return differing[:min(len(differing), healRecords)]
}

// takeOver takes a run as alive that is lost here, by the table of a daemon that was
// beyond the cut.
func (m *Membership) takeOver(r *record, update Update) {
	well := update.Status.rank() >= 0 && update.Status.rank() < statusSuspect.rank()
	if !well || !m.isLost(r) || update.Refutation < r.refutation {
		return
	}
	m.broadcast.drop(r.address)
	m.replace(r, update)
}
