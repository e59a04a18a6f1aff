package poison

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// appendDelay is the time that the store takes for a call, and messageDelay that of a message
	// between daemons.
	appendDelay  = 4 * time.Millisecond
	messageDelay = time.Millisecond
)

// fleet is a fleet of guards with one store.
type fleet struct {
	t     *testing.T
	store *memory.Store

	mutex  sync.Mutex
	guards map[structs.DaemonID]*guardDaemon
	// isRunning reports whether a back end runs; nil for none.
	isRunning func(instance string) bool
	// listeners are told of each daemon that starts.
	listeners []func(membership.Member)
}

// guardDaemon is a daemon of a fleet.
type guardDaemon struct {
	*Guard
	// alive ends when the daemon is killed.
	alive context.Context
	kill  context.CancelFunc
}

func newFleet(t *testing.T, daemons int) *fleet {
	f := &fleet{t: t, store: memory.New(), guards: map[structs.DaemonID]*guardDaemon{}}
	f.store.SetDelay(appendDelay)
	for number := range daemons {
		f.start(number, 1)
	}
	t.Cleanup(func() {
		f.killAll()
		time.Sleep(2 * appendTimeout) // until the calls of killed daemons have returned
	})
	time.Sleep(time.Second)
	return f
}

// start starts a run of the daemon with a number.
func (f *fleet) start(number int, run uint64) *guardDaemon {
	d := &guardDaemon{}
	self := structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:7000", number+1), run)
	d.alive, d.kill = context.WithCancel(context.Background())
	d.Guard = NewGuard(Options{
		Self: self, Store: f.store, Records: f.store, Teller: fleetTeller{f}, View: f,
		IsRunning: func(instance string) bool { return f.isRunning != nil && f.isRunning(instance) },
		Logger:    zerolog.Nop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	f.mutex.Lock()
	f.guards[self] = d
	listeners := slices.Clone(f.listeners)
	f.mutex.Unlock()
	for _, listener := range listeners {
		listener(membership.Member{Daemon: structs.Daemon{ID: self}, State: membership.StateAlive})
	}
	go d.Run(d.alive)
	return d
}

func (f *fleet) end(d *guardDaemon) {
	f.mutex.Lock()
	delete(f.guards, d.Self)
	f.mutex.Unlock()
	d.kill()
}

func (f *fleet) killAll() {
	for _, d := range f.living() {
		f.end(d)
	}
}

// living returns the daemons that run, by address.
func (f *fleet) living() []*guardDaemon {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var living []*guardDaemon
	for _, d := range f.guards {
		living = append(living, d)
	}
	slices.SortFunc(living, func(a, b *guardDaemon) int { return strings.Compare(string(a.Self), string(b.Self)) })
	return living
}

// Members implements membership.View.
func (f *fleet) Members() []membership.Member {
	var members []membership.Member
	for _, d := range f.living() {
		members = append(members, membership.Member{Daemon: structs.Daemon{ID: d.Self}, State: membership.StateAlive})
	}
	return members
}

// State implements membership.View.
func (f *fleet) State(structs.DaemonID) membership.State { return membership.StateAlive }

// Subscribe implements membership.View.
func (f *fleet) Subscribe(listener func(membership.Member)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listeners = append(f.listeners, listener)
}

// fleetTeller delivers what the daemons of a fleet tell each other.
type fleetTeller struct{ fleet *fleet }

// Tell implements Teller.
func (t fleetTeller) Tell(to structs.DaemonID, _ store.Partition, records []store.Record, keep bool) {
	t.fleet.mutex.Lock()
	target := t.fleet.guards[to]
	t.fleet.mutex.Unlock()
	if target != nil {
		time.AfterFunc(messageDelay, func() { target.ReceiveTold(records, keep) })
	}
}

// contentOf returns a content whose body is a text.
func contentOf(text string) Content { return Content{Method: "POST", Target: "/", Body: []byte(text)} }

// track returns the tracker of a request of a daemon at a content.
func (d *guardDaemon) track(text string) *Tracker {
	return d.NewTracker(contentOf(text), About{Request: "q"})
}

// noPreference is a Tracker's prefer that prefers no back end.
func noPreference() string { return "" }

// endOnce lets a back end end under a content at a daemon, as seen by a request that is not sent again.
func (d *guardDaemon) endOnce(text, instance string) {
	tracker := d.track(text)
	defer tracker.Close()
	if err := tracker.Admit(d.alive, noPreference); err != nil {
		panic(err)
	}
	tracker.Ended(d.alive, instance, nil)
}

// ends returns how many ends of back ends a daemon knows of a content.
func (d *guardDaemon) ends(text string) int {
	content := contentOf(text)
	known, _, _ := d.table.standing(content.Digest(), time.Now())
	return known.ends
}

// checkRecords checks how many records the store has.
func (f *fleet) checkRecords(want int) {
	f.t.Helper()
	page, err := f.store.NewestPage(f.t.Context(), Partition(), "")
	if err != nil || len(page.Records) != want {
		f.t.Errorf("%d records are in the store, want %d; %v", len(page.Records), want, err)
	}
}
