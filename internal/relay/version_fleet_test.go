package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/eventstream"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/poison"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/versionrecord"
)

const (
	fleetDaemons = 4
	fleetShards  = 4
	// versionedEvents is the number of events of a stream, eventGap the time between two of
	// them, and untilFirstEvent the time before the first.
	versionedEvents = 8
	eventGap        = 20 * time.Millisecond
	untilFirstEvent = 40 * time.Millisecond
	// peerDelay is the time that a message between daemons takes.
	peerDelay = time.Millisecond
	// storeDelay is the time that an append to the store takes.
	storeDelay = 4 * time.Millisecond
	// listInterval is the time between two reads of the list of engines.
	listInterval = time.Second
)

// versionFleet is a fleet of relays with their ledgers, one store, and engines of several
// software versions.
type versionFleet struct {
	t       *testing.T
	store   *memory.Store
	engines *versionedEngines
	// driver is how daemons reach back ends: engines, unless a test replaces it.
	driver Driver
	route  *route.Route

	// toHolder changes what is sent to the holders of shards, if it is set.
	toHolder func(*ledger.Request)

	mutex   sync.Mutex
	daemons map[structs.DaemonID]*versionDaemon
	// list are the engines as the daemons see them.
	list []instance.Instance
	// started counts the daemons that were started.
	started uint64
	// outOfStep and isCutOff are what setOutOfStep was told.
	outOfStep structs.DaemonID
	isCutOff  bool
}

// versionDaemon is one daemon of a versionFleet.
type versionDaemon struct {
	id     structs.DaemonID
	relay  *Relay
	pool   *instance.Pool
	ledger *ledger.Service
	guard  *poison.Guard
	// versions keeps the record of software versions.
	versions *versionrecord.Keeper
	// alive ends when the daemon is killed.
	alive context.Context
	kill  context.CancelFunc
}

// newVersionFleet returns a fleet with one engine of each version.
func newVersionFleet(t *testing.T, versions ...string) *versionFleet {
	return newVersionFleetOf(t, nil, versions...)
}

// newVersionFleetOf is newVersionFleet with a driver in place of the engines.
func newVersionFleetOf(t *testing.T, driver Driver, versions ...string) *versionFleet {
	f := &versionFleet{
		t: t, store: memory.New(), engines: &versionedEngines{running: map[string]instance.Instance{}},
		driver: driver, route: newRoute(route.KindStream), daemons: map[structs.DaemonID]*versionDaemon{},
	}
	if driver == nil {
		f.driver = f.engines
	}
	f.route.MaxAttempts = 1
	f.route.Timeout = 3 * time.Second
	f.store.SetDelay(storeDelay)
	for number, version := range versions {
		f.startEngine(fmt.Sprint("e", number), version)
	}
	for number := range fleetDaemons {
		f.start(number)
	}
	t.Cleanup(func() {
		f.killAll()
		time.Sleep(2 * settleTimeout) // until turns of killed daemons are given up
	})
	time.Sleep(5 * time.Second) // until all have discovered each other
	return f
}

// startEngine starts an engine and lists it.
func (f *versionFleet) startEngine(id, version string) { f.startEngineOf("s", id, version) }

// startEngineOf is startEngine for another service.
func (f *versionFleet) startEngineOf(service, id, version string) {
	e := instance.Instance{ID: id, Service: service, Address: id, Zone: "z", Version: version, Slots: 64, State: instance.StateReady}
	f.engines.start(e)
	f.list = append(f.list, e)
	f.relist()
}

// crashEngines ends the engines of a version.
func (f *versionFleet) crashEngines(version string) {
	for _, e := range f.list {
		if e.Version == version {
			f.engines.crash(e.ID)
		}
	}
}

// removeEngines ends the engines of a version and removes their entries.
func (f *versionFleet) removeEngines(version string) {
	f.crashEngines(version)
	f.list = slices.DeleteFunc(f.list, func(e instance.Instance) bool { return e.Version == version })
	f.relist()
	time.Sleep(5 * time.Second) // until all daemons have dropped them
	f.relist()
}

// relist tells all daemons the list of engines.
func (f *versionFleet) relist() {
	for _, d := range f.living() {
		if f.isOutOfStep(d.id) {
			continue
		}
		d.pool.Replace(f.list)
		d.pool.ConfirmList(time.Now())
	}
}

// confirmRegularly confirms the list of a daemon as often as daemons read it, until the daemon is killed.
func (f *versionFleet) confirmRegularly(d *versionDaemon) {
	for d.alive.Err() == nil {
		clock.Sleep(d.alive, listInterval)
		if !f.isOutOfStep(d.id) {
			d.pool.ConfirmList(time.Now())
		}
	}
}

// setOutOfStep makes a daemon learn of no changes of the list, and, if it is cut off, exchange no messages with
// the others; "" for none.
func (f *versionFleet) setOutOfStep(id structs.DaemonID, isCutOff bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outOfStep, f.isCutOff = id, isCutOff
}

func (f *versionFleet) isOutOfStep(id structs.DaemonID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.outOfStep == id
}

// start starts a daemon at an address.
func (f *versionFleet) start(number int) *versionDaemon {
	f.started++
	d := &versionDaemon{id: structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:7000", number+1), f.started)}
	d.alive, d.kill = context.WithCancel(context.Background())
	var partitions []store.Partition
	for shard := range fleetShards {
		partitions = append(partitions, store.Partition{Space: "ledger", Number: shard})
	}
	d.ledger = ledger.NewService(ledger.Options{
		Self: d.id, Store: f.store, Transport: &fleetTransport{fleet: f, self: d.id}, View: f,
		Partitions: partitions, Directory: store.Partition{Space: "holders"}, DiscoveryTimeout: ledger.DefaultDiscoveryTimeout,
		Machine: ledger.MachineClock{Boot: d.id.Address(), Now: uptime, Started: uptime()},
		Quota:   quota.DefaultTolerance(), Logger: zerolog.Nop(), Metrics: ledger.NewMetrics(prometheus.NewRegistry()),
	})
	d.pool = instance.NewPool(rand.New(rand.NewPCG(f.started, 1)), instance.Plugins{})
	table := route.NewTable(1, nil, []*route.Service{{Name: "s", Model: &route.Model{TokensPerEvent: 4}}})
	d.guard = poison.NewGuard(poison.Options{
		Self: d.id, Store: f.store, Records: f.store, Teller: &fleetTeller{fleet: f, self: d.id}, View: f,
		Logger: zerolog.Nop(), Metrics: poison.NewMetrics(prometheus.NewRegistry()),
	})
	d.versions = versionrecord.New(versionrecord.Options{
		Store: f.store, Listed: d.pool.Versions, KeepFor: func() time.Duration { return SoleTime(f.route.Timeout) },
		IsWriter: func() bool { return number < 2 }, Logger: zerolog.Nop(),
	})
	d.relay = New(Options{
		FormerVersions: d.versions,
		InstanceList:   &fleetList{fleet: f, daemon: d},

		ContentGuard: d.guard,
		Pool:         d.pool, Driver: f.driver, Ledger: d.ledger, Table: func() *route.Table { return table },
		Daemons: func() int { return fleetDaemons }, Logger: zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	f.mutex.Lock()
	f.daemons[d.id] = d
	f.mutex.Unlock()
	go d.ledger.Run(d.alive)
	go d.guard.Run(d.alive)
	go d.versions.Run(d.alive)
	go d.relay.WatchSilence(d.alive)
	go f.confirmRegularly(d)
	f.relist()
	return d
}

// uptime is the monotonic clock of all machines.
func uptime() time.Duration { return time.Since(time.Unix(0, 0)) }

func (f *versionFleet) killDaemon(d *versionDaemon) {
	f.mutex.Lock()
	delete(f.daemons, d.id)
	f.mutex.Unlock()
	d.kill()
}

func (f *versionFleet) killAll() {
	for _, d := range f.living() {
		f.killDaemon(d)
	}
}

// living returns the daemons that run, by address.
func (f *versionFleet) living() []*versionDaemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var living []*versionDaemon
	for _, d := range f.daemons {
		living = append(living, d)
	}
	slices.SortFunc(living, func(a, b *versionDaemon) int { return strings.Compare(string(a.id), string(b.id)) })
	return living
}

// daemonAt returns one of the daemons that run; numbers beyond their count begin again.
func (f *versionFleet) daemonAt(number int) *versionDaemon {
	living := f.living()
	return living[number%len(living)]
}

// Members implements membership.View.
func (f *versionFleet) Members() []membership.Member {
	var members []membership.Member
	for _, d := range f.living() {
		members = append(members, membership.Member{Daemon: structs.Daemon{ID: d.id}, State: membership.StateAlive})
	}
	return members
}

// State implements membership.View.
func (f *versionFleet) State(id structs.DaemonID) membership.State {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.daemons[id] == nil {
		return membership.StateDead
	}
	return membership.StateAlive
}

// Lookup implements ledger.View.
func (f *versionFleet) Lookup(address string) (membership.Member, bool) {
	for _, member := range f.Members() {
		if member.Daemon.ID.Address() == address {
			return member, true
		}
	}
	return membership.Member{}, false
}

// Subscribe implements membership.View.
func (f *versionFleet) Subscribe(func(membership.Member)) {}

// fleetList is the list of engines as one daemon of a versionFleet reads it.
type fleetList struct {
	fleet  *versionFleet
	daemon *versionDaemon
}

// AwaitCurrent implements InstanceList.
func (l *fleetList) AwaitCurrent(ctx context.Context, _, deadline time.Time) bool {
	if l.fleet.isOutOfStep(l.daemon.id) {
		clock.Sleep(ctx, time.Until(deadline))
		return false
	}
	time.Sleep(storeDelay)
	l.daemon.pool.Replace(l.fleet.list)
	l.daemon.pool.ConfirmList(time.Now())
	return true
}

// fleetTeller tells of the suspects of one daemon of a versionFleet.
type fleetTeller struct {
	fleet *versionFleet
	self  structs.DaemonID
}

// Tell implements poison.Teller.
func (t *fleetTeller) Tell(to structs.DaemonID, _ store.Partition, records []store.Record, keep bool) {
	t.fleet.mutex.Lock()
	from, target := t.fleet.daemons[t.self], t.fleet.daemons[to]
	t.fleet.mutex.Unlock()
	if from != nil && target != nil {
		time.AfterFunc(peerDelay, func() { target.guard.ReceiveTold(records, keep) })
	}
}

// fleetTransport delivers messages between the daemons of a versionFleet.
type fleetTransport struct {
	fleet *versionFleet
	self  structs.DaemonID
}

// Send implements peer.Transport.
func (t *fleetTransport) Send(to structs.DaemonID, message peer.Message) {
	t.fleet.mutex.Lock()
	from, target := t.fleet.daemons[t.self], t.fleet.daemons[to]
	isCut := t.fleet.isCutOff && (t.fleet.outOfStep == t.self || t.fleet.outOfStep == to)
	t.fleet.mutex.Unlock()
	if from == nil || target == nil || isCut {
		return
	}
	if request, isRequest := message.(*ledger.Request); isRequest && t.fleet.toHolder != nil {
		t.fleet.toHolder(request)
	}
	time.AfterFunc(peerDelay, func() {
		if target.alive.Err() == nil {
			target.ledger.Receive(t.self, message)
		}
	})
}

// streamCaller calls for one stream, over several requests.
type streamCaller struct {
	fleet   *versionFleet
	name    string
	program *Program
	// firstRequest is the request that brought the first event, "" before.
	firstRequest string
	versions     []string
	requests     int
	// resumes is named in place of the first request, if it is set.
	resumes *string
	refusal *Refusal
	// refusedAfter is how long the last request took if it was refused.
	refusedAfter time.Duration
}

// call sends the next request of the stream to a daemon, and leaves after some events unless
// leaveAfter is 0.
func (s *streamCaller) call(d *versionDaemon, leaveAfter int) {
	s.requests++
	call := newCall(s.fleet.route)
	call.ID = fmt.Sprintf("%s-%d", s.name, s.requests)
	call.Received, call.Deadline = time.Now(), time.Now().Add(3*time.Second)
	call.MaxTokens = 4 * versionedEvents
	if s.program != nil {
		program := *s.program
		call.Program = &program
	}
	if len(s.versions) > 0 {
		call.ResumeAfter, call.Resumes = strconv.Itoa(len(s.versions)), s.firstRequest
		if s.resumes != nil {
			call.Resumes = *s.resumes
		}
	}
	call.ResumableUntil = call.Deadline
	ctx, leave := context.WithCancel(d.alive)
	defer leave()
	answer := &versionRecorder{recorder: &recorder{}, caller: s, request: call.ID, leaveAfter: leaveAfter, leave: leave, isAlive: func() bool { return d.alive.Err() == nil }}
	d.relay.Serve(ctx, call, answer)
	if s.refusal = answer.recorder.refusal; s.refusal != nil {
		s.refusedAfter = time.Since(call.Received)
	}
}

func (s *streamCaller) isWhole() bool { return len(s.versions) == versionedEvents }

func (s *streamCaller) isMixed() bool {
	return len(slices.Compact(slices.Clone(s.versions))) > 1
}

// versionRecorder records the versions of the events that a caller gets.
type versionRecorder struct {
	*recorder
	caller     *streamCaller
	request    string
	leaveAfter int
	got        int
	leave      context.CancelFunc
	isAlive    func() bool
}

// Event implements Responder.
func (r *versionRecorder) Event(raw []byte) error {
	if !r.isAlive() || r.leaveAfter > 0 && r.got == r.leaveAfter {
		r.leave()
		return errCut
	}
	event, err := eventstream.NewReader(strings.NewReader(string(raw)), len(raw)).Next()
	if err != nil {
		return err
	}
	if r.caller.firstRequest == "" {
		r.caller.firstRequest = r.request
	}
	r.got++
	r.caller.versions = append(r.caller.versions, string(event.Data))
	return nil
}
