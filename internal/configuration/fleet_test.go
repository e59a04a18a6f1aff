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

// heartbeat is the interval between heartbeats.
const heartbeat = time.Second

// fleet is a simulated fleet of stores with one log on a virtual clock.
type fleet struct {
	t            testing.TB
	clock        *clock.Virtual
	network      *network.Network
	log          *drivers.EventLog
	daemons      []*daemon
	incarnations uint64
	// neighbours is the number of daemons that receive a daemon's heartbeats; 0
	// means all.
	neighbours int
}

// daemon is one incarnation of a daemon.
type daemon struct {
	id      structs.DaemonID
	zone    structs.ZoneName
	process *network.Process
	store   *configuration.Store
	// entriesRead counts the entries read from the log by stream.
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

func newFleet(t testing.TB, daemons int, guards configuration.Guards) *fleet {
	c := clock.NewVirtual(time.Unix(1_000_000, 0))
	n := network.New(c, rand.New(rand.NewPCG(1, 1)), network.DefaultSettings())
	f := &fleet{t: t, clock: c, network: n}
	f.log = drivers.NewEventLog(n, network.Place{Address: "log"}, rand.New(rand.NewPCG(2, 2)))
	for i := range daemons {
		f.daemons = append(f.daemons, nil)
		f.start(i, guards)
	}
	return f
}

// start starts daemon number i and kills its former incarnation.
func (f *fleet) start(i int, guards configuration.Guards) *daemon {
	f.incarnations++
	zone := structs.ZoneName(fmt.Sprintf("zone-%d", i%3))
	d := &daemon{id: structs.NewDaemonID(fmt.Sprintf("10.0.0.%d:1", i), f.incarnations), zone: zone, process: network.NewProcess(f.clock, 0), entriesRead: map[framework.StreamName]int{}}
	endpoint := f.network.Attach(structs.Daemon{ID: d.id, Zone: zone}, d.process)
	settings := configuration.DefaultSettings()
	settings.SnapshotEvery = 16
	settings.SnapshotPause = time.Second
	d.store = configuration.NewStore(configuration.Options{
		Self:      d.id,
		Clock:     d.process,
		Log:       &countingLog{EventLog: f.log.Client(network.Client{Network: f.network, Process: d.process, Place: endpoint.Place()}), daemon: d},
		Transport: endpoint,
		Peers:     func() []structs.DaemonID { return f.others(d) },
		Settings:  settings,
		Guards:    guards,
		Logger:    zerolog.Nop(),
	})
	endpoint.Handle(receiver{d.store})
	f.failOnRollback(d, guards)
	if former := f.daemons[i]; former != nil {
		former.process.Kill()
	}
	f.daemons[i] = d
	d.store.Start()
	f.sendHeartbeats(d)
	return d
}

// failOnRollback fails the test when a store's offset or revision decreases.
func (f *fleet) failOnRollback(d *daemon, guards configuration.Guards) {
	var offset structs.LogOffset
	var revision structs.Revision
	d.store.Subscribe(func(status configuration.Status) {
		if !guards.AcceptOlder && (status.Offset < offset || status.Revision < revision) {
			f.t.Errorf("%s rolled back from offset %d to %d", d.id, offset, status.Offset)
		}
		offset, revision = status.Offset, status.Revision
	})
}

func (f *fleet) others(self *daemon) []structs.DaemonID {
	var ids []structs.DaemonID
	for _, d := range f.daemons {
		if d != nil && d != self {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// sendHeartbeats delivers a daemon's note to its neighbours at each heartbeat.
func (f *fleet) sendHeartbeats(d *daemon) {
	place := network.Place{Address: d.id.Address(), Zone: d.zone}
	self := slices.Index(f.daemons, d)
	count := len(f.daemons) - 1
	if f.neighbours > 0 {
		count = min(count, f.neighbours)
	}
	for step := 1; step <= count; step++ {
		other := f.daemons[(self+step)%len(f.daemons)]
		if other == nil {
			continue
		}
		note := d.store.Note()
		f.network.Deliver(place, network.Place{Address: other.id.Address(), Zone: other.zone}, func() {
			other.process.Run(func() { other.store.ReceiveNote(d.id, note) })
		})
	}
	d.process.AfterFunc(heartbeat, func() { f.sendHeartbeats(d) })
}

func (f *fleet) run(d time.Duration) { f.clock.RunUntil(f.clock.Now().Add(d)) }

// append appends a change of the tenant's share to the log.
func (f *fleet) append(operation string, base, share int) {
	patch := configuration.FirstPatch()
	if base > 0 {
		patch = structs.Patch{Tenants: configuration.TenantEdit("shop-1", share)}
	}
	entry := configuration.Encoded(f.t, 0, operation, base, patch)
	f.log.Append("configuration", operation, entry.Payload)
}

// appendTenants appends a change that sets many tenants to the log.
func (f *fleet) appendTenants(operation string, base, first, count int) {
	set := map[structs.TenantName]structs.Tenant{}
	for i := first; i < first+count; i++ {
		name := structs.TenantName(fmt.Sprintf("tenant-%d", i))
		set[name] = tenantWithUniqueKey(i)
	}
	patch := structs.Patch{Tenants: structs.Edit[structs.TenantName, structs.Tenant]{Set: set}}
	entry := configuration.Encoded(f.t, 0, operation, base, patch)
	f.log.Append(framework.StreamConfiguration, operation, entry.Payload)
}

// tenantWithUniqueKey returns a tenant whose key hash does not compress.
func tenantWithUniqueKey(number int) structs.Tenant {
	return structs.Tenant{
		KeyHashes: []string{fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, number)))},
		Share:     1,
		Templates: map[structs.TemplateName]structs.TenantTemplate{"order": {Parameters: map[string]string{"shop": fmt.Sprintf("Shop %d", number)}}},
	}
}

// appendChanges appends count changes, each based on the one before.
func (f *fleet) appendChanges(count int) {
	for base := range count {
		f.append(fmt.Sprintf("fill-%d", base), base, base+1)
	}
}

// publish publishes a change through a daemon and returns its answer, which is
// filled in later.
func (f *fleet) publish(d *daemon, operation string, base, share int) *answer {
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

// requireRevision fails the test unless all daemons serve the revision with the
// same digest.
func (f *fleet) requireRevision(want structs.Revision) {
	f.t.Helper()
	for _, d := range f.daemons {
		status := d.store.Status()
		if !status.Serving || status.Revision != want || status.Digest != f.daemons[0].store.Digest() {
			f.t.Errorf("%s: %+v, want revision %d and the same digest", d.id, status, want)
		}
		if status.Divergences > 0 {
			f.t.Errorf("%s found %d divergences", d.id, status.Divergences)
		}
	}
}
