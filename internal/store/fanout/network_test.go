package fanout_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	zones         = 3
	smallMegabits = 30
	largeCapacity = 44
)

// fleet is a set of daemons with one busy store, in three zones. Every fifth daemon is a large
// machine.
type fleet struct {
	store     *busyStore
	followers []*follower
	members   []membership.Member
	services  []*fanout.Service
	index     map[structs.DaemonID]int

	mutex sync.Mutex
	// freeAt is when each daemon's link has sent all messages queued so far.
	freeAt []time.Time
	sent   int
	// tamper, if set, changes or drops messages.
	tamper tamperFunc
}

func newFleet(daemons int) *fleet {
	f := &fleet{
		store:  &busyStore{Store: memory.New(), bytesPerSecond: storeRate},
		index:  map[structs.DaemonID]int{},
		freeAt: make([]time.Time, daemons),
	}
	for i := range daemons {
		daemon := structs.Daemon{
			ID:   structs.NewDaemonID(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), 1),
			Zone: structs.ZoneName(fmt.Sprint(i % zones)), Capacity: 8,
		}
		if i%5 == 0 {
			daemon.Capacity = largeCapacity
		}
		f.index[daemon.ID] = i
		f.members = append(f.members, membership.Member{Daemon: daemon, State: membership.StateAlive})
		f.followers = append(f.followers, &follower{})
	}
	for i, member := range f.members {
		f.services = append(f.services, fanout.New(fanout.Options{
			Store: f.store, Partitions: []store.Partition{routes}, Self: member.Daemon, View: f, Transport: &transport{f, i},
			ReadRate: storeRate, Logger: zerolog.Nop(), Metrics: fanout.NewMetrics(prometheus.NewRegistry()),
		}))
	}
	return f
}

// run lets the daemons follow both partitions until end is called, which waits for calls in flight.
func (f *fleet) run(t *testing.T) (end func()) {
	ctx, stop := context.WithCancel(t.Context())
	for i, follower := range f.followers {
		follower.follow(ctx, f.services[i], f.store)
	}
	return func() {
		stop()
		time.Sleep(10 * time.Second)
	}
}

func (f *fleet) messages() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.sent
}

func (f *fleet) setTamper(tamper tamperFunc) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.tamper = tamper
}

// Members implements membership.View.
func (f *fleet) Members() []membership.Member { return f.members }

// State implements membership.View.
func (f *fleet) State(structs.DaemonID) membership.State { return membership.StateAlive }

// Subscribe implements membership.View.
func (f *fleet) Subscribe(func(membership.Member)) {}

// transport sends one daemon's messages over its link of 30 Mbit/s.
type transport struct {
	fleet *fleet
	self  int
}

// Send implements peer.Transport.
func (t *transport) Send(id structs.DaemonID, message peer.Message) {
	f, to := t.fleet, t.fleet.index[id]
	f.mutex.Lock()
	f.sent++
	if f.tamper != nil {
		message = f.tamper(t.self, to, message)
	}
	if message == nil {
		f.mutex.Unlock()
		return
	}
	from := f.members[t.self].Daemon.ID
	line, err := peer.Encode(from, id, message)
	if err != nil {
		panic(err)
	}
	if now := time.Now(); f.freeAt[t.self].Before(now) {
		f.freeAt[t.self] = now
	}
	f.freeAt[t.self] = f.freeAt[t.self].Add(time.Duration(len(line)) * 8 * time.Second / (smallMegabits * 1e6))
	arrives := time.Until(f.freeAt[t.self]) + time.Millisecond
	f.mutex.Unlock()
	go func() {
		time.Sleep(arrives)
		_, _, decoded, err := peer.Decode(line)
		if err != nil {
			panic(err)
		}
		f.services[to].Receive(from, decoded)
	}()
}
