package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/store/proxy"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	simulatedDaemons = 5
	simulatedShards  = 4
	// detectionTime is how long the others take to detect that a daemon died.
	detectionTime = time.Second
	// pollPause is the pause between checks whether a fault is over.
	pollPause = 10 * time.Millisecond
)

// world is a fleet of ledgers with one store on the virtual clock of a synctest bubble,
// with faults that its course switches on and off.
type world struct {
	breakage breakage
	store    *memory.Store
	bounds   store.Bounds

	mutex   sync.Mutex
	random  *rand.Rand
	daemons []*simulatedDaemon
	faults  faults
}

// faults are the current faults of the whole fleet.
type faults struct {
	storeDown   bool
	storeSilent bool
	slowness    int
	loseAnswers float64
	doLate      float64
	loseMessage float64
}

// simulatedDaemon is one machine, on which incarnations run one after the other.
type simulatedDaemon struct {
	number  int
	run     uint64
	id      structs.DaemonID
	service *ledger.Service
	proxy   *proxy.Service
	stop    context.CancelFunc
	diedAt  time.Time // zero while it is alive
	frozen  bool
	cut     bool // cut off from the store
	leaving bool
}

func newWorld(seed uint64, kind courseKind) *world {
	w := &world{
		breakage: kind.breakage,
		store:    memory.New(),
		bounds:   kind.bounds,
		random:   rand.New(rand.NewPCG(seed, seed+1)),
		faults:   faults{slowness: 1},
	}
	w.store.SetFencing(kind.breakage != breakFencing)
	w.store.SetBounds(kind.bounds)
	for number := range simulatedDaemons {
		w.daemons = append(w.daemons, &simulatedDaemon{number: number})
	}
	for _, d := range w.daemons {
		w.start(d)
	}
	return w
}

func (w *world) chance(of float64) bool { return w.float() < of }

func (w *world) float() float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.Float64()
}

func (w *world) intN(n int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(n)
}

// between returns a random duration.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.float()*float64(most-least))
}

// change modifies the state of the world.
func (w *world) change(apply func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	apply()
}

// look reads the state of the world.
func look[T any](w *world, read func() T) T {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return read()
}

func (w *world) start(d *simulatedDaemon) {
	run := look(w, func() uint64 { return d.run }) + 1
	id := structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:7000", d.number+1), run)
	var partitions []store.Partition
	for number := range simulatedShards {
		partitions = append(partitions, store.Partition{Space: "ledger", Number: number})
	}
	transport := &simulatedTransport{world: w, from: d, id: id}
	way := proxy.New(proxy.Options{
		Self:      id,
		Direct:    &simulatedStore{world: w, daemon: d, run: run},
		Transport: transport,
		View:      w,
		Random:    rand.New(rand.NewPCG(run, uint64(d.number))),
		Logger:    zerolog.Nop(),
		Metrics:   proxy.NewMetrics(prometheus.NewRegistry()),
	})
	service := ledger.NewService(ledger.Options{
		Self:             id,
		Store:            way,
		Connectivity:     way,
		Transport:        transport,
		View:             w,
		Partitions:       partitions,
		Directory:        store.Partition{Space: "holders"},
		DiscoveryTimeout: ledger.DefaultDiscoveryTimeout,
		StoreBounds:      w.bounds,
		Logger:           zerolog.Nop(),
		Metrics:          ledger.NewMetrics(prometheus.NewRegistry()),
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.change(func() {
		d.run, d.id, d.service, d.proxy, d.stop = run, id, service, way, cancel
		d.diedAt = time.Time{}
		d.frozen, d.cut, d.leaving = false, false, false
	})
	go service.Run(ctx)
}

// leave performs the planned shutdown of a daemon.
func (w *world) leave(d *simulatedDaemon, length time.Duration) {
	var run uint64
	var service *ledger.Service
	w.change(func() {
		d.leaving = true
		run, service = d.run, d.service
	})
	service.Leave()
	time.Sleep(length)
	if w.isRunning(d, run) {
		w.kill(d)
	}
}

func (w *world) kill(d *simulatedDaemon) {
	w.change(func() {
		if d.diedAt.IsZero() {
			d.stop()
			d.diedAt = time.Now()
		}
	})
}

// isRunning reports whether an incarnation of a daemon is alive.
func (w *world) isRunning(d *simulatedDaemon, run uint64) bool {
	return look(w, func() bool { return d.run == run && d.diedAt.IsZero() })
}

// awaitThaw waits until a daemon is not frozen.
func (w *world) awaitThaw(d *simulatedDaemon) {
	for look(w, func() bool { return d.frozen && d.diedAt.IsZero() }) {
		time.Sleep(pollPause)
	}
}

// anyDaemon returns a random live daemon, nil if there is none.
func (w *world) anyDaemon() (*simulatedDaemon, uint64, *ledger.Service) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var living []*simulatedDaemon
	for _, d := range w.daemons {
		if d.diedAt.IsZero() {
			living = append(living, d)
		}
	}
	if len(living) == 0 {
		return nil, 0, nil
	}
	d := living[w.random.IntN(len(living))]
	return d, d.run, d.service
}

// Members implements membership.View.
func (w *world) Members() []membership.Member {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var members []membership.Member
	for _, d := range w.daemons {
		members = append(members, membership.Member{Daemon: structs.Daemon{ID: d.id}, State: d.state()})
	}
	return members
}

// State implements membership.View.
func (w *world) State(id structs.DaemonID) membership.State {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, d := range w.daemons {
		if d.id == id {
			return d.state()
		}
	}
	return membership.StateDead
}

func (d *simulatedDaemon) state() membership.State {
	if !d.diedAt.IsZero() && time.Since(d.diedAt) > detectionTime {
		return membership.StateDead
	}
	if d.leaving {
		return membership.StateLeaving
	}
	return membership.StateAlive
}

// Lookup implements ledger.View.
func (w *world) Lookup(address string) (membership.Member, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, d := range w.daemons {
		if d.id.Address() == address {
			return membership.Member{Daemon: structs.Daemon{ID: d.id}, State: d.state()}, true
		}
	}
	return membership.Member{}, false
}

// Subscribe implements membership.View.
func (w *world) Subscribe(func(membership.Member)) {}

// simulatedTransport carries the messages of one incarnation, encoded as on the wire.
type simulatedTransport struct {
	world *world
	from  *simulatedDaemon
	id    structs.DaemonID
}

// Send implements peer.Transport.
func (t *simulatedTransport) Send(to structs.DaemonID, message peer.Message) {
	line, err := peer.Encode(t.id, to, message)
	if err != nil {
		panic(err)
	}
	w := t.world
	if w.chance(look(w, func() float64 { return w.faults.loseMessage })) {
		return
	}
	go func() {
		w.awaitThaw(t.from)
		time.Sleep(w.between(time.Millisecond, 3*time.Millisecond))
		for _, d := range w.daemons {
			w.awaitThaw(d)
			d.receive(w, to, line)
		}
	}()
}

// receive handles a message if it is addressed to this daemon's incarnation and that is
// alive.
func (d *simulatedDaemon) receive(w *world, to structs.DaemonID, line []byte) {
	w.mutex.Lock()
	service, way := d.service, d.proxy
	anyRun := to.Incarnation() == structs.AnyIncarnation && to.Address() == d.id.Address()
	isMeant := (d.id == to || anyRun) && d.diedAt.IsZero()
	w.mutex.Unlock()
	if !isMeant {
		return
	}
	from, _, message, err := peer.Decode(line)
	if err != nil {
		panic(err)
	}
	if !way.Receive(from, message) {
		service.Receive(from, message)
	}
}
