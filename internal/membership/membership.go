package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/tokenbucket"
)

// Options holds the dependencies and settings of a Membership.
type Options struct {
	Self      structs.Daemon
	Clock     clock.Clock
	Random    *rand.Rand
	Transport peer.Transport
	Settings  Settings
	Logger    zerolog.Logger
}

// Membership is one daemon's view of the others. It implements View. All its
// work runs on one serial queue; readers take a short lock.
type Membership struct {
	Options
	queue serial.Queue

	// The table is written on the queue, with the mutex held.
	mutex         sync.Mutex
	records       map[string]*record
	cachedMembers []Member

	// The fields below are used on the queue only.
	self          *record
	stopped       bool
	settings      Settings // scaled to the fleet
	note          Note
	listeners     []func(Member)
	onNote        func(structs.DaemonID, Note)
	changes       []Member
	ring          ring
	buckets       [bucketCount]uint64
	listed        []string
	prober        prober
	broadcast     broadcast
	syncer        syncer
	healer        healer
	changeLog     changeLog
	healthPenalty int
	startedAt     time.Time
}

// New returns a membership that knows this daemon only.
func New(options Options) *Membership {
	m := &Membership{
		Options:  options,
		records:  map[string]*record{},
		settings: options.Settings,
	}
	m.self = newRecord(Update{
		Address:     options.Self.ID.Address(),
		Run:         options.Self.ID.Incarnation(),
		Zone:        options.Self.Zone,
		Region:      options.Self.Region,
		HTTPAddress: options.Self.HTTPAddress,
		Capacity:    options.Self.Capacity,
	})
	m.insert(m.self)
	m.changes = nil
	m.prober.init()
	m.broadcast.init(options.Settings)
	m.syncer.init(options.Settings)
	m.healer.pushes = tokenbucket.NewFull(float64(healBytesPerSecond), float64(healBurstBytes))
	return m
}

// Start starts to probe members and to look for other daemons.
func (m *Membership) Start() {
	m.queue.Do(func() {
		m.startedAt = m.Clock.Now()
		m.broadcast.add(m.self.update(), true)
		m.after(m.jitter(m.settings.ProbeInterval), m.probeTick)
		interval, _ := m.joinSchedule()
		m.after(m.jitter(interval), m.joinTick)
	})
}

// Leave announces that this daemon is stopping: it gets no new work, and is
// still probed until Stop.
func (m *Membership) Leave() {
	m.do(func() {
		if m.self.leaving {
			return
		}
		update := m.self.update()
		update.Status = statusLeaving
		update.Refutation++
		m.replace(m.self, update)
		m.announce(update)
		m.flush()
	})
}

// Stop ends all timers. After Leave it announces that this run has ended;
// otherwise the others detect that as they would a crash.
func (m *Membership) Stop() {
	m.do(func() {
		if m.self.leaving {
			update := m.self.update()
			update.Status = statusLeft
			update.Zone, update.Region, update.HTTPAddress, update.Capacity = "", "", "", 0
			m.broadcast.add(update, true)
			m.flush()
		}
		m.stopped = true
	})
}

// Receive handles a message of this package and reports whether it was one.
func (m *Membership) Receive(from structs.DaemonID, message peer.Message) bool {
	switch message.(type) {
	case *Ping, *Ack, *PingRequest, *UpdatePush, *SyncRequest, *SyncReply:
		m.do(func() { m.receive(from, message) })
		return true
	}
	return false
}

// MachinesListed handles the platform's machine list, which has the addresses
// where daemons may run.
func (m *Membership) MachinesListed(machines []structs.Machine) {
	var listed []string
	for _, machine := range machines {
		if machine.Kind == structs.MachineDaemon && machine.Address != m.Self.ID.Address() {
			listed = append(listed, machine.Address)
		}
	}
	slices.Sort(listed)
	listed = slices.Compact(listed)
	m.do(func() { m.listed = listed })
}

// SetNote sets the note that this daemon's probes carry.
func (m *Membership) SetNote(note Note) {
	m.queue.Do(func() { m.note = note })
}

// OnNote sets the listener that is called on the queue with every note
// received.
func (m *Membership) OnNote(listener func(from structs.DaemonID, note Note)) {
	m.queue.Do(func() { m.onNote = listener })
}

// Subscribe implements View. Listeners are called on the queue, in the order
// they were added.
func (m *Membership) Subscribe(listener func(Member)) {
	m.queue.Do(func() { m.listeners = append(m.listeners, listener) })
}

// Members implements View.
func (m *Membership) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cachedMembers == nil {
		for _, r := range m.records {
			if !r.isGone() {
				m.cachedMembers = append(m.cachedMembers, Member{Daemon: r.daemon, State: r.state()})
			}
		}
		slices.SortFunc(m.cachedMembers, func(a, b Member) int {
			return strings.Compare(string(a.Daemon.ID), string(b.Daemon.ID))
		})
	}
	return m.cachedMembers
}

// State implements View.
func (m *Membership) State(daemon structs.DaemonID) State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.records[daemon.Address()]
	if r == nil || r.daemon.ID != daemon {
		return StateDead
	}
	return r.state()
}

// Lookup returns the latest known run at an address; false if there is none.
func (m *Membership) Lookup(address string) (Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.records[address]
	if r == nil {
		return Member{}, false
	}
	return Member{Daemon: r.daemon, State: r.state()}, true
}

// Alive reports whether a run is not dead: it may be suspected or leaving.
func (m *Membership) Alive(daemon structs.DaemonID) bool { return m.State(daemon) != StateDead }

// do runs a task on the queue and then notifies the listeners of its changes.
func (m *Membership) do(task func()) {
	m.queue.Do(func() {
		if m.stopped {
			return
		}
		task()
		m.notify()
	})
}

// after runs a task on the queue after d, unless stopped by then. It returns a
// timer that may be stopped.
func (m *Membership) after(d time.Duration, task func()) clock.Timer {
	due := m.Clock.Now().Add(d)
	return m.Clock.AfterFunc(d, func() {
		m.do(func() {
			m.detectPause(due)
			task()
		})
	})
}

func (m *Membership) notify() {
	for len(m.changes) > 0 {
		changes := m.changes
		m.changes = nil
		for _, change := range changes {
			for _, listener := range m.listeners {
				listener(change)
			}
		}
	}
}

// jitter returns a random duration up to d, so that daemons that started
// together do not probe in step.
func (m *Membership) jitter(d time.Duration) time.Duration {
	return time.Duration(m.Random.Int64N(int64(d)) + 1)
}

// receive handles one message on the queue.
func (m *Membership) receive(from structs.DaemonID, message peer.Message) {
	refutation := m.self.refutation
	m.handle(from, message)
	if m.self.refutation != refutation {
		// The sender may not be among the members that the refutation was
		// pushed to.
		m.Transport.Send(from, &UpdatePush{Updates: []Update{m.self.update()}})
	}
}

func (m *Membership) handle(from structs.DaemonID, message peer.Message) {
	switch message := message.(type) {
	case *Ping:
		m.receivePing(from, message)
	case *Ack:
		m.receiveAck(from, message)
	case *PingRequest:
		m.receivePingRequest(from, message)
	case *UpdatePush:
		m.receivePush(from, message)
	case *SyncRequest:
		m.receiveSyncRequest(from, message)
	case *SyncReply:
		m.receiveSyncReply(from, message)
	}
}
