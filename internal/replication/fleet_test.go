package replication

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// testFleet is a fleet of managers on a virtual clock and a network that loses,
// delays, duplicates and reorders messages.
type testFleet struct {
	t             testing.TB
	clock         *clock.Virtual
	random        *rand.Rand
	daemons       []*testDaemon // every run there ever was
	log           *testLog
	settings      Settings
	loss          float64
	duplication   float64
	delay         time.Duration
	delaySpread   time.Duration
	detectionTime time.Duration
	partitioned   map[[2]string]bool
	machines      map[string]bool
	// machineListDown makes reads of the machine list fail.
	machineListDown bool
	// leaders are the daemons on which Lead was called, by shard and epoch.
	leaders map[string]structs.DaemonID
	bytes   map[peer.Class]int
	kinds   map[peer.Kind]int
	faults  []string
}

func newTestFleet(t testing.TB, seed uint64, shards int) *testFleet {
	f := &testFleet{
		t:             t,
		clock:         clock.NewVirtual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		random:        rand.New(rand.NewPCG(seed, 1)),
		settings:      DefaultSettings(),
		delay:         time.Millisecond,
		delaySpread:   time.Millisecond,
		detectionTime: 1200 * time.Millisecond,
		partitioned:   map[[2]string]bool{},
		machines:      map[string]bool{},
		leaders:       map[string]structs.DaemonID{},
		bytes:         map[peer.Class]int{},
		kinds:         map[peer.Kind]int{},
	}
	f.settings.Shards = shards
	f.log = &testLog{fleet: f, archives: map[framework.StreamName][]framework.LogEntry{}}
	f.readMachineList()
	return f
}

// testDaemon is one run of one daemon.
type testDaemon struct {
	fleet   *testFleet
	self    structs.Daemon
	manager *Manager
	view    *testView
	app     *testApplication
	running bool
	paused  bool
	leaving bool
	logDown bool
	// readsDown makes this daemon's reads of the log fail, but not its appends.
	readsDown bool
	// pressure is the memory pressure that the application reports.
	pressure Pressure
	// clockOffset is the offset of this daemon's clock.
	clockOffset time.Duration
	// wronglyHeldDead are daemons that this one believes dead though they run.
	wronglyHeldDead map[*testDaemon]bool
	backlog         []func()
}

// start starts a daemon at an address, with the next incarnation.
func (f *testFleet) start(number int, zone string) *testDaemon {
	return f.startWith(number, zone, Guards{})
}

func (f *testFleet) startWith(number int, zone string, guards Guards) *testDaemon {
	address := fmt.Sprintf("10.0.0.%d:7000", number)
	d := &testDaemon{
		fleet: f,
		self: structs.Daemon{
			ID:     structs.NewDaemonID(address, uint64(len(f.daemons)+1)),
			Zone:   structs.ZoneName(zone),
			Region: "r",
		},
		running:         true,
		wronglyHeldDead: map[*testDaemon]bool{},
	}
	d.view = &testView{daemon: d, states: map[structs.DaemonID]membership.State{}}
	d.app = &testApplication{daemon: d, led: map[structs.ShardNumber]*testLeader{}}
	logger := zerolog.Nop()
	if os.Getenv("REPLICATION_LOG") != "" {
		logger = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, PartsOrder: []string{"message"}}).
			With().Str("at", address).Logger().Hook(clockHook{f.clock})
	}
	d.manager = New(Options{
		Self:        d.self,
		Clock:       daemonClock{d},
		Random:      rand.New(rand.NewPCG(f.random.Uint64(), 2)),
		Transport:   d,
		Log:         &testLogClient{f.log, d},
		Members:     d.view,
		Application: d.app,
		Settings:    f.settings,
		Logger:      logger,
		Guards:      guards,
	})
	f.daemons = append(f.daemons, d)
	f.machines[address] = true
	f.publishMachineList()
	d.manager.Start()
	f.updateViews()
	return d
}

type clockHook struct{ clock *clock.Virtual }

func (h clockHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("t", h.clock.Now().Format("04:05.000"))
}

// crash ends a run; unlist also removes its machine from the list.
func (f *testFleet) crash(d *testDaemon, unlist bool) {
	d.running = false
	d.manager.Stop()
	d.app.led = map[structs.ShardNumber]*testLeader{}
	if unlist {
		delete(f.machines, d.self.ID.Address())
		f.publishMachineList()
	}
	f.updateViews()
}

func (f *testFleet) pause(d *testDaemon, paused bool) {
	d.paused = paused
	if !paused {
		backlog := d.backlog
		d.backlog = nil
		for _, task := range backlog {
			f.clock.AfterFunc(0, func() { d.do(task) })
		}
	}
	f.updateViews()
}

// do runs a task of a daemon now, or when its pause ends.
func (d *testDaemon) do(task func()) {
	switch {
	case !d.running:
	case d.paused:
		d.backlog = append(d.backlog, task)
	default:
		task()
	}
}

func (f *testFleet) setPartitioned(a, b *testDaemon, partitioned bool) {
	f.partitioned[[2]string{a.self.ID.Address(), b.self.ID.Address()}] = partitioned
	f.partitioned[[2]string{b.self.ID.Address(), a.self.ID.Address()}] = partitioned
	f.updateViews()
}

// readMachineList makes every daemon read the machine list once a second.
func (f *testFleet) readMachineList() {
	f.publishMachineList()
	f.clock.AfterFunc(time.Second, f.readMachineList)
}

func (f *testFleet) publishMachineList() {
	if f.machineListDown {
		return
	}
	var machines []structs.Machine
	for address := range f.machines {
		machines = append(machines, structs.Machine{Kind: structs.MachineDaemon, Address: address})
	}
	for _, d := range f.daemons {
		if d.running {
			d.manager.MachinesListed(machines)
		}
	}
}

// updateViews makes every daemon detect, after a delay, which others run.
func (f *testFleet) updateViews() {
	for _, d := range f.daemons {
		for _, other := range f.daemons {
			want := d.view.truth(other)
			if other == d || d.view.states[other.self.ID] == want {
				continue
			}
			wait := 20 * time.Millisecond
			if want == membership.StateDead {
				wait = f.detectionTime + time.Duration(f.random.Int64N(int64(f.detectionTime/4)))
			}
			f.clock.AfterFunc(wait, func() { d.do(func() { d.view.set(other, want) }) })
		}
	}
}

func (f *testFleet) run(d time.Duration) { f.clock.RunUntil(f.clock.Now().Add(d)) }

// Send implements peer.Transport.
func (d *testDaemon) Send(to structs.DaemonID, message peer.Message) {
	f := d.fleet
	line, err := peer.Encode(d.self.ID, to, message)
	if err != nil {
		f.t.Fatal(err)
	}
	f.bytes[peer.ClassOf(message.MessageKind())] += len(line)
	f.kinds[message.MessageKind()]++
	copies := 1
	if f.random.Float64() < f.duplication {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.loss {
			continue
		}
		wait := f.delay + time.Duration(f.random.Int64N(int64(f.delaySpread)+1))
		f.clock.AfterFunc(wait, func() { f.deliver(d.self.ID, to, line) })
	}
}

func (f *testFleet) deliver(from, to structs.DaemonID, line []byte) {
	if f.partitioned[[2]string{from.Address(), to.Address()}] {
		return
	}
	for _, d := range f.daemons {
		if d.self.ID == to {
			d.do(func() {
				_, _, message, err := peer.Decode(line)
				if err != nil {
					f.t.Fatal(err)
				}
				d.manager.Receive(from, message)
			})
		}
	}
}

// daemonClock fires no timers of a daemon while it is paused or has ended.
type daemonClock struct{ daemon *testDaemon }

func (c daemonClock) Now() time.Time { return c.daemon.fleet.clock.Now().Add(c.daemon.clockOffset) }

func (c daemonClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	return c.daemon.fleet.clock.AfterFunc(d, func() { c.daemon.do(f) })
}

// testView is a daemon's view of the others.
type testView struct {
	daemon    *testDaemon
	states    map[structs.DaemonID]membership.State
	listeners []func(membership.Member)
}

func (v *testView) truth(other *testDaemon) membership.State {
	own, its := v.daemon.self.ID.Address(), other.self.ID.Address()
	f := v.daemon.fleet
	cutOff := f.partitioned[[2]string{own, its}] || f.partitioned[[2]string{its, own}] || v.daemon.wronglyHeldDead[other]
	if other == v.daemon {
		return membership.StateAlive
	}
	if !other.running || other.paused || cutOff {
		return membership.StateDead
	}
	if other.leaving {
		return membership.StateLeaving
	}
	return membership.StateAlive
}

func (v *testView) set(other *testDaemon, state membership.State) {
	if v.truth(other) != state || v.states[other.self.ID] == state {
		return
	}
	v.states[other.self.ID] = state
	for _, listener := range v.listeners {
		listener(membership.Member{Daemon: other.self, State: state})
	}
}

func (v *testView) Members() []membership.Member {
	var members []membership.Member
	for _, d := range v.daemon.fleet.daemons {
		if state := v.State(d.self.ID); state != membership.StateDead {
			members = append(members, membership.Member{Daemon: d.self, State: state})
		}
	}
	slices.SortFunc(members, func(a, b membership.Member) int {
		if a.Daemon.ID < b.Daemon.ID {
			return -1
		}
		return 1
	})
	return members
}

func (v *testView) State(id structs.DaemonID) membership.State {
	if id == v.daemon.self.ID {
		return membership.StateAlive
	}
	if state, known := v.states[id]; known {
		return state
	}
	return membership.StateDead
}

func (v *testView) Subscribe(listener func(membership.Member)) {
	v.listeners = append(v.listeners, listener)
}

// testLogClient is one daemon's client of the log.
type testLogClient struct {
	log    *testLog
	daemon *testDaemon
}

func (c *testLogClient) Append(stream framework.StreamName, operation string, payload []byte, done func(structs.LogOffset, error)) {
	c.log.append(c.daemon, stream, operation, payload, func(offset structs.LogOffset, err error) {
		c.daemon.do(func() { done(offset, err) })
	})
}

func (c *testLogClient) Read(stream framework.StreamName, from structs.LogOffset, limit int, done func([]framework.LogEntry, error)) {
	c.log.read(c.daemon, stream, from, limit, func(entries []framework.LogEntry, err error) {
		c.daemon.do(func() { done(entries, err) })
	})
}

// testLog is the platform's log.
type testLog struct {
	fleet   *testFleet
	entries []framework.LogEntry
	// archives are the streams besides the groups'.
	archives map[framework.StreamName][]framework.LogEntry
	down     bool
	// archivesDown makes reads of archives fail, and nothing else.
	archivesDown bool
	// lostAnswerRate is the share of appends that succeed but report an error.
	lostAnswerRate float64
}

func (l *testLog) append(d *testDaemon, stream framework.StreamName, operation string, payload []byte, done func(structs.LogOffset, error)) {
	l.fleet.clock.AfterFunc(5*time.Millisecond, func() {
		if l.down || d.logDown {
			done(0, framework.ErrUnreachable)
			return
		}
		offset := structs.LogOffset(len(l.stream(stream)))
		entry := framework.LogEntry{Offset: offset, OperationID: operation, Payload: payload}
		if stream == framework.StreamGroups {
			l.entries = append(l.entries, entry)
		} else {
			l.archives[stream] = append(l.archives[stream], entry)
		}
		if l.fleet.random.Float64() < l.lostAnswerRate {
			done(0, framework.ErrUnreachable)
			return
		}
		done(offset, nil)
	})
}

func (l *testLog) stream(stream framework.StreamName) []framework.LogEntry {
	if stream == framework.StreamGroups {
		return l.entries
	}
	return l.archives[stream]
}

func (l *testLog) read(d *testDaemon, stream framework.StreamName, from structs.LogOffset, limit int, done func([]framework.LogEntry, error)) {
	l.fleet.clock.AfterFunc(5*time.Millisecond, func() {
		if l.down || d.logDown || d.readsDown {
			done(nil, framework.ErrUnreachable)
			return
		}
		if l.archivesDown && stream != framework.StreamGroups {
			done(nil, framework.ErrUnreachable)
			return
		}
		entries := l.stream(stream)
		first := min(int(from), len(entries))
		done(slices.Clone(entries[first:min(first+limit, len(entries))]), nil)
	})
}

// testMachine is a state machine that keeps the list of recorded values.
type testMachine struct {
	values []string
	// recoveredFrom are the indexes from which the shard was recovered.
	recoveredFrom []structs.Index
}

func (m *testMachine) Apply(record structs.Record) {
	if record.ShardRecovered != nil {
		m.recoveredFrom = append(m.recoveredFrom, record.ShardRecovered.Index)
	}
	if record.ProgramStarted != nil {
		m.values = append(m.values, string(record.ProgramStarted.Key.Program))
	}
}

func (m *testMachine) Snapshot() ([]byte, error) { return json.Marshal(m.values) }

func (m *testMachine) Restore(data []byte) error { return json.Unmarshal(data, &m.values) }

func (m *testMachine) Freeze() func() ([]byte, error) {
	frozen := &testMachine{values: slices.Clone(m.values)}
	return frozen.Snapshot
}

func (m *testMachine) Discard() {}

type testLeader struct {
	machine    *testMachine
	leadership Leadership
}

type testApplication struct {
	daemon *testDaemon
	led    map[structs.ShardNumber]*testLeader
}

func (a *testApplication) NewStateMachine(structs.ShardNumber) StateMachine { return &testMachine{} }

func (a *testApplication) Lead(shard structs.ShardNumber, machine StateMachine, leadership Leadership) {
	f := a.daemon.fleet
	a.led[shard] = &testLeader{machine.(*testMachine), leadership}
	key := fmt.Sprint(shard, "/", leadership.Epoch())
	if other, taken := f.leaders[key]; taken && other != a.daemon.self.ID {
		f.faults = append(f.faults, fmt.Sprintf("two leaders of %s: %s and %s", key, other, a.daemon.self.ID))
	}
	f.leaders[key] = a.daemon.self.ID
}

func (a *testApplication) Pressure() Pressure { return a.daemon.pressure }

func (a *testApplication) Follow(shard structs.ShardNumber) { delete(a.led, shard) }

func record(value string) structs.Record {
	return structs.Record{ProgramStarted: &structs.ProgramStarted{Key: structs.ProgramKey{Program: structs.ProgramID(value)}}}
}

// leaderOf returns the running leader with the highest epoch.
func (f *testFleet) leaderOf(shard structs.ShardNumber) *testDaemon {
	var best *testDaemon
	for _, d := range f.daemons {
		led := d.app.led[shard]
		if !d.running || d.paused || led == nil {
			continue
		}
		if best == nil || led.leadership.Epoch() > best.app.led[shard].leadership.Epoch() {
			best = d
		}
	}
	return best
}

// propose proposes a value at a daemon; done gets the result.
func (d *testDaemon) propose(shard structs.ShardNumber, value string, done func(error)) {
	leader := d.app.led[shard]
	d.do(func() {
		leader.leadership.Queue().Do(func() { leader.leadership.Propose([]structs.Record{record(value)}, done) })
	})
}

// mustRecord proposes a value and runs the fleet until it is acknowledged.
func (f *testFleet) mustRecord(shard structs.ShardNumber, value string) {
	f.t.Helper()
	acknowledged := false
	leader := f.leaderOf(shard)
	if leader == nil {
		f.t.Fatal("no leader")
	}
	leader.propose(shard, value, func(err error) {
		if err != nil {
			f.t.Errorf("value %s: %v", value, err)
		}
		acknowledged = true
	})
	f.run(2 * time.Second)
	if !acknowledged {
		f.t.Fatalf("value %s not acknowledged", value)
	}
}

// values returns the values that a daemon's replica has applied.
func (d *testDaemon) values(shard structs.ShardNumber) []string {
	r := d.manager.replica(shard)
	if r == nil {
		return nil
	}
	return r.machine.(*testMachine).values
}

// group returns the group according to the leader.
func (f *testFleet) group(shard structs.ShardNumber) Group {
	leader := f.leaderOf(shard)
	if leader == nil {
		return nil
	}
	return leader.manager.replica(shard).log.group
}

// startThree starts a fleet of three and waits until its shards have leaders.
func startThree(t testing.TB, seed uint64, shards int) (*testFleet, []*testDaemon) {
	f := newTestFleet(t, seed, shards)
	daemons := []*testDaemon{f.start(1, "a"), f.start(2, "b"), f.start(3, "c")}
	f.run(3 * time.Second)
	for shard := range structs.ShardNumber(shards) {
		if f.leaderOf(shard) == nil {
			t.Fatalf("shard %d has no leader", shard)
		}
	}
	return f, daemons
}
