package configuration_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// heartbeat is the pause between the notes that daemons hear of each other.
const heartbeat = time.Second

// world is a few stores on a virtual clock with one log.
type world struct {
	t       testing.TB
	clock   *clock.Virtual
	network *network.Network
	log     *drivers.EventLog
	daemons []*daemon
	runs    uint64
	// neighbours is how many daemons hear a daemon's heartbeats, 0 for all.
	neighbours int
}

// daemon is one run of one daemon.
type daemon struct {
	id      structs.DaemonID
	zone    structs.ZoneName
	process *network.Process
	store   *configuration.Store
	// entriesRead counts what it got from the log by stream.
	entriesRead map[framework.StreamName]int
	bytesRead   int
}

// countingLog counts the entries that a daemon reads.
type countingLog struct {
	framework.EventLog
	daemon *daemon
}

func (l *countingLog) Read(stream framework.StreamName, from structs.LogOffset, limit int, done func([]framework.LogEntry, error)) {
	l.EventLog.Read(stream, from, limit, func(entries []framework.LogEntry, err error) {
		l.daemon.entriesRead[stream] += len(entries)
		for _, entry := range entries {
			l.daemon.bytesRead += len(entry.Payload)
		}
		done(entries, err)
	})
}

type receiver struct{ store *configuration.Store }

func (r receiver) Receive(from structs.DaemonID, message peer.Message) {
	r.store.Receive(from, message)
}

func newWorld(t testing.TB, daemons int, guards configuration.Guards) *world {
	c := clock.NewVirtual(time.Unix(1_000_000, 0))
	n := network.New(c, rand.New(rand.NewPCG(1, 1)), network.DefaultSettings())
	w := &world{t: t, clock: c, network: n}
	w.log = drivers.NewEventLog(n, network.Place{Address: "log"}, rand.New(rand.NewPCG(2, 2)))
	for i := range daemons {
		w.daemons = append(w.daemons, nil)
		w.start(i, guards)
	}
	return w
}

// start runs daemon number i, in place of its former run.
func (w *world) start(i int, guards configuration.Guards) *daemon {
	w.runs++
	zone := structs.ZoneName(fmt.Sprintf("zone-%d", i%3))
	d := &daemon{id: structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:1", i), w.runs), zone: zone, process: network.NewProcess(w.clock, 0), entriesRead: map[framework.StreamName]int{}}
	endpoint := w.network.Attach(structs.Daemon{ID: d.id, Zone: zone}, d.process)
	settings := configuration.DefaultSettings()
	settings.SnapshotEvery = 16
	settings.SnapshotPause = time.Second
	d.store = configuration.NewStore(configuration.Options{
		Self:      d.id,
		Clock:     d.process,
		Log:       &countingLog{EventLog: w.log.Client(network.Client{Network: w.network, Process: d.process, Place: endpoint.Place()}), daemon: d},
		Transport: endpoint,
		Peers:     func() []structs.DaemonID { return w.others(d) },
		Settings:  settings,
		Guards:    guards,
		Logger:    zerolog.Nop(),
	})
	endpoint.Handle(receiver{d.store})
	w.watch(d, guards)
	if former := w.daemons[i]; former != nil {
		former.process.Kill()
	}
	w.daemons[i] = d
	d.store.Start()
	w.beat(d)
	return d
}

// watch fails the test when a store goes back.
func (w *world) watch(d *daemon, guards configuration.Guards) {
	var offset structs.LogOffset
	var revision structs.Revision
	d.store.Subscribe(func(status configuration.Status) {
		if !guards.AcceptOlder && (status.Offset < offset || status.Revision < revision) {
			w.t.Errorf("%s went back from offset %d to %d", d.id, offset, status.Offset)
		}
		offset, revision = status.Offset, status.Revision
	})
}

func (w *world) others(self *daemon) []structs.DaemonID {
	var ids []structs.DaemonID
	for _, d := range w.daemons {
		if d != nil && d != self {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// beat tells a daemon's note to its neighbours, as heartbeats would.
func (w *world) beat(d *daemon) {
	place := network.Place{Address: d.id.Address(), Zone: d.zone}
	self := slices.Index(w.daemons, d)
	count := len(w.daemons) - 1
	if w.neighbours > 0 {
		count = min(count, w.neighbours)
	}
	for step := 1; step <= count; step++ {
		other := w.daemons[(self+step)%len(w.daemons)]
		if other == nil {
			continue
		}
		note := d.store.Note()
		w.network.Deliver(place, network.Place{Address: other.id.Address(), Zone: other.zone}, func() {
			other.process.Run(func() { other.store.ReceiveNote(d.id, note) })
		})
	}
	d.process.AfterFunc(heartbeat, func() { w.beat(d) })
}

func (w *world) run(d time.Duration) { w.clock.RunUntil(w.clock.Now().Add(d)) }

// append puts a change that raises the tenant's share at the end of the log.
func (w *world) append(operation string, base, share int) {
	patch := configuration.FirstPatch()
	if base > 0 {
		patch = structs.Patch{Tenants: configuration.TenantEdit("shop-1", share)}
	}
	entry := configuration.Encoded(w.t, 0, operation, base, patch)
	w.log.Append("configuration", operation, entry.Payload)
}

// appendTenants puts a change that sets many tenants at the end of the log.
func (w *world) appendTenants(operation string, base, first, count int) {
	set := map[structs.TenantName]structs.Tenant{}
	for i := first; i < first+count; i++ {
		name := structs.TenantName(fmt.Sprintf("tenant-%d", i))
		set[name] = manyTenant(i)
	}
	patch := structs.Patch{Tenants: structs.Edit[structs.TenantName, structs.Tenant]{Set: set}}
	entry := configuration.Encoded(w.t, 0, operation, base, patch)
	w.log.Append(framework.StreamConfiguration, operation, entry.Payload)
}

// manyTenant is a tenant with a key of its own, which does not compress.
func manyTenant(number int) structs.Tenant {
	return structs.Tenant{
		KeyHashes: []string{fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, number)))},
		Share:     1,
		Templates: map[structs.TemplateName]structs.TenantTemplate{"order": {Parameters: map[string]string{"shop": fmt.Sprintf("Shop %d", number)}}},
	}
}

// fill appends count changes, each on top of the one before.
func (w *world) fill(count int) {
	for base := range count {
		w.append(fmt.Sprintf("fill-%d", base), base, base+1)
	}
}

// publish publishes through a daemon and returns where the answer will stand.
func (w *world) publish(d *daemon, operation string, base, share int) *answer {
	got := &answer{}
	change := structs.Change{
		OperationID: operation,
		Operator:    "tester",
		Base:        structs.Revision(base),
		Patch:       structs.Patch{Tenants: configuration.TenantEdit("shop-1", share)},
	}
	d.store.Publish(change, configuration.DefaultPublishSettings(), func(verdict configuration.Verdict, err error) {
		got.count++
		got.verdict, got.err = verdict, err
	})
	return got
}

type answer struct {
	count   int
	verdict configuration.Verdict
	err     error
}

// requireRevision fails unless all serve the revision with one digest.
func (w *world) requireRevision(want structs.Revision) {
	w.t.Helper()
	for _, d := range w.daemons {
		status := d.store.Status()
		if !status.Serving || status.Revision != want || status.Digest != w.daemons[0].store.Digest() {
			w.t.Errorf("%s: %+v, want revision %d and the digest of all", d.id, status, want)
		}
		if status.Divergences > 0 {
			w.t.Errorf("%s found %d contradictions", d.id, status.Divergences)
		}
	}
}
