package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

// broadcast holds the updates that this daemon passes on: each is piggybacked
// on a limited number of messages, and urgent ones are pushed to neighbours
// too.
type broadcast struct {
	items          []*queuedUpdate
	pending        []Update
	flushScheduled bool
	pushes         tokenbucket.Bucket
}

// queuedUpdate is an update with the number of messages that carried it.
type queuedUpdate struct {
	update Update
	sends  int
}

func (b *broadcast) init(settings Settings) {
	b.pushes = tokenbucket.NewFull(float64(settings.PushBytesPerSecond), float64(settings.PushBurst))
}

// add queues an update in place of an older one of the same address.
func (b *broadcast) add(update Update, urgent bool) {
	b.items = slices.DeleteFunc(b.items, func(i *queuedUpdate) bool { return i.update.Address == update.Address })
	b.items = append(b.items, &queuedUpdate{update: update})
	if !urgent {
		return
	}
	b.pending = slices.DeleteFunc(b.pending, func(p Update) bool { return p.Address == update.Address })
	b.pending = append(b.pending, update)
}

// drop removes the update of an address.
func (b *broadcast) drop(address string) {
	b.items = slices.DeleteFunc(b.items, func(i *queuedUpdate) bool { return i.update.Address == address })
	b.pending = slices.DeleteFunc(b.pending, func(p Update) bool { return p.Address == address })
}

// dropFailureReports removes all suspicions and deaths.
func (b *broadcast) dropFailureReports() {
	b.items = slices.DeleteFunc(b.items, func(i *queuedUpdate) bool { return i.update.isFailureReport() })
	b.pending = slices.DeleteFunc(b.pending, Update.isFailureReport)
}

// duplicateSends is how many sends are saved when another daemon sends the same
// update.
const duplicateSends = 4

// countDuplicate records that another daemon sends the same update: the more
// often that happens, the fewer members still lack it.
func (b *broadcast) countDuplicate(update Update) {
	for _, i := range b.items {
		same := i.update.Address == update.Address && i.update.Run == update.Run
		if same && i.update.Status == update.Status && i.update.Refutation == update.Refutation {
			i.sends += duplicateSends
			return
		}
	}
}

// maxDirectPushFleet is the fleet size up to which updates are pushed to every
// member.
const maxDirectPushFleet = 16

// receivePush applies pushed updates.
func (m *Membership) receivePush(from structs.DaemonID, push *UpdatePush) {
	m.applyAll(from, push.Updates)
	if !push.PartitionHealed || len(push.Updates) == 0 {
		return
	}
	if back := m.records[push.Updates[0].Address]; back != nil && back != m.self {
		m.handleHealReport(back)
	}
}

// announce pushes an update that originates at this daemon.
func (m *Membership) announce(update Update) {
	m.broadcast.add(update, true)
	m.flushSoon()
}

// relayUpdate passes on an update from another daemon. In a small fleet its
// source has already pushed it to all.
func (m *Membership) relayUpdate(update Update) {
	urgent := update.Status != statusDead && m.fleetSize() > maxDirectPushFleet
	m.broadcast.add(update, urgent)
	if urgent {
		m.flushSoon()
	}
}

func (m *Membership) flushSoon() {
	if m.broadcast.flushScheduled {
		return
	}
	m.broadcast.flushScheduled = true
	m.after(m.settings.PushDelay, m.flush)
}

// Estimates of encoded sizes in bytes.
const (
	messageSize = 120
	updateSize  = 60
	recordSize  = 110
)

// maxUpdatesPerPush limits the updates of one push.
const maxUpdatesPerPush = 8

// flush pushes urgent updates. Those beyond the rate limit are still
// piggybacked on probes; this daemon's update about itself is always pushed,
// since no other daemon can originate it.
func (m *Membership) flush() {
	m.broadcast.flushScheduled = false
	pending := m.broadcast.pending
	m.broadcast.pending = nil
	for batch := range slices.Chunk(pending, maxUpdatesPerPush) {
		m.push(slices.Clone(batch), m.pushTargets())
	}
}

// push sends updates to members as far as the rate limit allows.
func (m *Membership) push(updates []Update, targets []*record) {
	size := messageSize + updateSize*len(updates)
	own := containsAddress(updates, m.self.address)
	for i, r := range targets {
		if m.broadcast.pushes.Take(m.Clock.Now(), size) < size && !own {
			m.resumePush(updates, targets[i:])
			return
		}
		m.Transport.Send(r.daemon.ID, &UpdatePush{Updates: updates})
	}
}

// resumePush continues a push that the rate limit interrupted, in a small
// fleet: there the other members rely on the source of an update to push it to
// all. Updates that were superseded meanwhile, and members that are gone, are
// left out.
func (m *Membership) resumePush(updates []Update, targets []*record) {
	if m.fleetSize() > maxDirectPushFleet {
		return
	}
	size := messageSize + updateSize*len(updates)
	refill := time.Duration(float64(size+1) / float64(m.settings.PushBytesPerSecond) * float64(time.Second))
	m.after(refill, func() {
		current := slices.DeleteFunc(slices.Clone(updates), m.isSuperseded)
		targets := slices.DeleteFunc(slices.Clone(targets), (*record).isGone)
		if len(current) > 0 {
			m.push(current, targets)
		}
	})
}

// isSuperseded reports whether this daemon has newer information about a run.
func (m *Membership) isSuperseded(update Update) bool {
	r := m.records[update.Address]
	return r == nil || r.run != update.Run || r.status != update.Status || r.refutation != update.Refutation
}

// pushTargets returns the members to push to: in a small fleet all, suspected
// ones last, so that the rate limit affects these first. A member that may be
// dead needs the update least, and a suspect learns of its own suspicion by a
// ping.
func (m *Membership) pushTargets() []*record {
	m.refreshRing()
	if m.fleetSize() <= maxDirectPushFleet {
		targets := slices.Clone(m.ring.successors)
		slices.SortStableFunc(targets, func(a, b *record) int {
			return cmp.Compare(a.status.rank(), b.status.rank())
		})
		return targets
	}
	return m.pickNeighbours(m.settings.PushFanout, nil)
}

// piggyback returns the updates that one message carries: first the one that
// the receiver should refute, then those that were sent least.
func (m *Membership) piggyback(receiver *record) []Update {
	var updates []Update
	if receiver != nil && receiver.status.rank() >= statusSuspect.rank() {
		updates = append(updates, receiver.shortUpdate())
	}
	b := &m.broadcast
	slices.SortStableFunc(b.items, func(x, y *queuedUpdate) int { return cmp.Compare(x.sends, y.sends) })
	limit := m.settings.retransmits(m.fleetSize())
	count := m.settings.UpdatesPerMessage
	if len(b.items) > m.settings.BacklogThreshold {
		count = m.settings.BacklogUpdates
	}
	for _, i := range b.items[:min(count, len(b.items))] {
		i.sends++
		updates = append(updates, i.update)
	}
	b.items = slices.DeleteFunc(b.items, func(i *queuedUpdate) bool { return i.sends >= limit })
	return updates
}

// requestSync asks a daemon for the differences between the tables.
func (m *Membership) requestSync(to structs.DaemonID) {
	m.Transport.Send(to, &SyncRequest{Self: m.self.update(), Buckets: m.buckets})
}
