package ledger

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// testShards is the number of shards in tests.
const testShards = 4

// testFleet is a fleet of services with one store, and a network that can drop what is sent
// to a daemon.
type testFleet struct {
	t     *testing.T
	store *memory.Store

	// readTime is how long a read takes per record, in nanoseconds.
	readTime atomic.Int64
	// discoveryTimeout is that of daemons that start.
	discoveryTimeout time.Duration
	// blind: daemons that start have discovered no other.
	blind bool
	// shards is the number of shards; viewOf and storeOf return the view and the store of a
	// daemon that starts, and severed reports whether a message is lost. nil and 0 select
	// the defaults.
	shards  int
	viewOf  func(structs.DaemonID) View
	storeOf func(structs.DaemonID) store.Store
	severed func(from, to structs.DaemonID) bool
	// connectivityOf returns what a daemon that starts knows of its way to the store; nil for nothing.
	connectivityOf func(structs.DaemonID) store.Connectivity
	// storeBytes is the size of the store as told to daemons.
	storeBytes float64
	// readBytes is the store's read capacity per second as told to daemons.
	readBytes float64
	// bounds are what the store takes in one append, as told to daemons.
	bounds store.Bounds
	// tolerance is that of tenants' limits, testTolerance by default.
	tolerance quota.Tolerance

	mutex        sync.Mutex
	services     map[structs.DaemonID]*Service
	stops        map[structs.DaemonID]context.CancelFunc
	disconnected map[structs.DaemonID]bool
	dead         map[structs.DaemonID]bool
	leaving      map[structs.DaemonID]bool
	offers       int
	// history counts the bytes of histories that were sent.
	history int
}

func newTestFleet(t *testing.T, daemons int) *testFleet {
	t.Helper()
	f := &testFleet{
		t:            t,
		store:        memory.New(),
		services:     map[structs.DaemonID]*Service{},
		stops:        map[structs.DaemonID]context.CancelFunc{},
		disconnected: map[structs.DaemonID]bool{},
		dead:         map[structs.DaemonID]bool{},
		leaving:      map[structs.DaemonID]bool{},
	}
	for i := range daemons {
		f.start(daemonID(i, 1))
	}
	t.Cleanup(f.killAll)
	return f
}

func daemonID(number int, run uint64) structs.DaemonID {
	return structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:7000", number+1), run)
}

func (f *testFleet) start(id structs.DaemonID) *Service {
	var partitions []store.Partition
	for number := range cmp.Or(f.shards, testShards) {
		partitions = append(partitions, store.Partition{Space: "ledger", Number: number})
	}
	var records store.Store = &testStore{Store: f.store, fleet: f}
	if f.storeOf != nil {
		records = f.storeOf(id)
	}
	var connectivity store.Connectivity
	if f.connectivityOf != nil {
		connectivity = f.connectivityOf(id)
	}
	s := NewService(Options{
		Self:             id,
		Connectivity:     connectivity,
		Store:            records,
		Transport:        &testTransport{fleet: f, self: id},
		View:             f.view(id),
		Partitions:       partitions,
		Directory:        store.Partition{Space: "holders"},
		DiscoveryTimeout: f.discoveryTimeout,

		StoreReadBytes: f.readBytes,
		StoreBytes:     f.storeBytes,
		StoreBounds:    f.bounds,

		Machine: testMachine(id),
		Quota:   cmp.Or(f.tolerance, testTolerance),
		Logger:  zerolog.Nop(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.mutex.Lock()
	f.services[id] = s
	f.stops[id] = cancel
	f.mutex.Unlock()
	go s.Run(ctx)
	return s
}

// testMachine is the clock of the machine on which the incarnations of a daemon run one
// after the other.
func testMachine(id structs.DaemonID) MachineClock {
	uptime := func() time.Duration { return time.Since(time.Unix(0, 0)) }
	return MachineClock{Boot: id.Address(), Now: uptime, Started: uptime()}
}

func (f *testFleet) kill(id structs.DaemonID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stops[id]()
	f.dead[id] = true
	delete(f.services, id)
}

// leave starts the planned shutdown of a daemon, which all others see.
func (f *testFleet) leave(id structs.DaemonID) {
	f.mutex.Lock()
	f.leaving[id] = true
	f.mutex.Unlock()
	f.service(id).Leave()
}

func (f *testFleet) isLeaving(id structs.DaemonID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leaving[id]
}

func (f *testFleet) killAll() {
	for _, id := range f.ids() {
		f.kill(id)
	}
}

func (f *testFleet) ids() []structs.DaemonID {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var ids []structs.DaemonID
	for id := range f.services {
		ids = append(ids, id)
	}
	return ids
}

// offered returns how often a shard was offered to a successor.
func (f *testFleet) offered() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.offers
}

// setReadTime sets how long a read takes per record. Holders may be reading.
func (f *testFleet) setReadTime(d time.Duration) { f.readTime.Store(int64(d)) }

// historySent returns how many bytes of histories daemons sent each other.
func (f *testFleet) historySent() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.history
}

func (f *testFleet) setDisconnected(id structs.DaemonID, disconnected bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.disconnected[id] = disconnected
}

func (f *testFleet) service(id structs.DaemonID) *Service {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.services[id]
}

// holderOf returns the daemon that the directory names for a program's shard.
func (f *testFleet) holderOf(program string) structs.DaemonID {
	records, _, err := store.Newest(context.Background(), f.store, store.Partition{Space: "holders"})
	if err != nil {
		f.t.Fatal(err)
	}
	shard := f.service(f.ids()[0]).shardOf(program)
	return structs.DaemonID(latestHolder(fmt.Sprint(shard), records).Daemon)
}

// other returns a daemon that does not hold a program's shard.
func (f *testFleet) other(program string) *Service {
	holder := f.holderOf(program)
	for _, id := range f.ids() {
		if id != holder {
			return f.service(id)
		}
	}
	f.t.Fatal("no other daemon")
	return nil
}

// Members implements membership.View.
func (f *testFleet) Members() []membership.Member {
	var members []membership.Member
	for _, id := range f.ids() {
		members = append(members, membership.Member{Daemon: structs.Daemon{ID: id}, State: f.State(id)})
	}
	return members
}

// State implements membership.View.
func (f *testFleet) State(id structs.DaemonID) membership.State {
	switch {
	case f.service(id) == nil:
		return membership.StateDead
	case f.isLeaving(id):
		return membership.StateLeaving
	}
	return membership.StateAlive
}

// Lookup implements View.
func (f *testFleet) Lookup(address string) (membership.Member, bool) {
	f.mutex.Lock()
	var latest structs.DaemonID
	for id := range f.stops { // all that ever ran
		if id.Address() == address && (latest == "" || id.Incarnation() > latest.Incarnation()) {
			latest = id
		}
	}
	f.mutex.Unlock()
	return membership.Member{Daemon: structs.Daemon{ID: latest}, State: f.State(latest)}, latest != ""
}

// blindView is the view of a daemon that has discovered no other yet.
type blindView struct {
	*testFleet
	self structs.DaemonID
}

// Members implements membership.View.
func (v blindView) Members() []membership.Member {
	return []membership.Member{{Daemon: structs.Daemon{ID: v.self}, State: membership.StateAlive}}
}

// Lookup implements View.
func (v blindView) Lookup(string) (membership.Member, bool) { return membership.Member{}, false }

// view returns a daemon's view of the fleet.
func (f *testFleet) view(id structs.DaemonID) View {
	if f.viewOf != nil {
		return f.viewOf(id)
	}
	if f.blind {
		return blindView{testFleet: f, self: id}
	}
	return f
}

// claims returns how often shards were claimed so far.
func (f *testFleet) claims() int {
	records, _, err := f.store.Read(context.Background(), store.Partition{Space: "holders"}, 0, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return len(records)
}

// Subscribe implements membership.View.
func (f *testFleet) Subscribe(func(membership.Member)) {}

// testStore is a daemon's access to the fleet's store, with slow reads.
type testStore struct {
	store.Store
	fleet *testFleet
}

// NewestPage implements store.Store.
func (s *testStore) NewestPage(ctx context.Context, partition store.Partition, after string) (store.Page, error) {
	page, err := s.Store.NewestPage(ctx, partition, after)
	if err == nil {
		err = s.fleet.read(ctx, len(page.Records))
	}
	return page, err
}

// Read implements store.Store.
func (s *testStore) Read(ctx context.Context, partition store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	records, next, err := s.Store.Read(ctx, partition, from, wait)
	if err == nil {
		err = s.fleet.read(ctx, len(records))
	}
	return records, next, err
}

// read waits for the duration of a read; an error means that it was canceled before its
// end.
func (f *testFleet) read(ctx context.Context, records int) error {
	clock.Sleep(ctx, time.Duration(records)*time.Duration(f.readTime.Load()))
	if ctx.Err() != nil {
		return store.ErrOutcomeUnknown
	}
	return nil
}

type testTransport struct {
	fleet *testFleet
	self  structs.DaemonID
}

// Send implements peer.Transport.
func (t *testTransport) Send(to structs.DaemonID, message peer.Message) {
	t.fleet.mutex.Lock()
	target := t.fleet.serviceAt(to)
	if request, isRequest := message.(*Request); isRequest && request.Prepare {
		t.fleet.offers++
	}
	if response, isResponse := message.(*Response); isResponse {
		t.fleet.history += len(response.Grant.History)
	}
	lost := target == nil || t.fleet.disconnected[to] || t.fleet.disconnected[t.self]
	t.fleet.mutex.Unlock()
	if severed := t.fleet.severed; severed != nil && severed(t.self, to) {
		return
	}
	if !lost {
		go target.Receive(t.self, message)
	}
}

// serviceAt returns the service that receives what is sent to a daemon.
func (f *testFleet) serviceAt(to structs.DaemonID) *Service {
	if to.Incarnation() != structs.AnyIncarnation {
		return f.services[to]
	}
	for id, service := range f.services {
		if id.Address() == to.Address() {
			return service
		}
	}
	return nil
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// eventually repeats attempt until it succeeds, as the first answers after a fault may be
// that the record cannot be reached.
func eventually(t *testing.T, attempt func() error) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		err := attempt()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
