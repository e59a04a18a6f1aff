package relaydaemon

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/peer/tcp"
	"github.com/mintpulley/mintpulley/internal/poison"
	"github.com/mintpulley/mintpulley/internal/quota"
	"github.com/mintpulley/mintpulley/internal/relay"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/fanout"
	"github.com/mintpulley/mintpulley/internal/store/proxy"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// ledgerSpace is the prefix of the store's spaces for the ledger's shards; a number follows.
	ledgerSpace = "ledger-"
	// ledgerDirectory is the store's space for the directory of the shards' holders.
	ledgerDirectory = "ledger-holders"
	// recordMemoryShare is the share of the memory that the text of turns being written to the
	// ledger may take. The same amount again may wait to be written. Finished turns hold less
	// memory than running ones, as their histories are dropped.
	recordMemoryShare = 0.1
)

// join makes the daemon a member of the fleet, which reaches it at a listener, and creates its components. The order matters, as
// each component uses those before it.
func (d *Daemon) join(listener net.Listener) {
	receiver := &receiverSlot{}
	d.joinMembers(listener, receiver)
	d.joinStore()
	d.joinLedger()
	d.joinGuard()
	d.joinVersions()
	d.joinRelay()
	d.prepareReachMonitor()
	receiver.daemon.Store(d)
}

// joinMembers creates the registry, the transport to other daemons, and the membership.
func (d *Daemon) joinMembers(listener net.Listener, receiver peer.Handler) {
	d.registry = newMemberRegistry(d.adapter.Store(), d.settings, d.coldLimiter, componentLogger(d.logger, "members"))
	self := structs.Daemon{
		ID:     structs.NewDaemonID(d.settings.PeerAddress, d.registry.incarnation()),
		Zone:   structs.ZoneName(d.settings.Zone),
		Region: structs.RegionName(d.settings.Region),

		Capacity: d.settings.capacity(),
	}
	sent := newTraffic(d.topology, d.metrics, componentLogger(d.logger, "peer"))
	transport := tcp.Serve(listener, self.ID, receiver, sent.count, componentLogger(d.logger, "peer"))
	d.transport = transport
	d.membership = membership.New(membership.Options{
		Self:      self,
		Clock:     clock.System(),
		Random:    newRandom(),
		Transport: transport,
		Settings:  membershipSettings(),
		Logger:    componentLogger(d.logger, "membership"),
	})
	sent.members = d.membership.Lookup
}

// joinStore creates the store client, which calls the store directly or by way of other daemons.
func (d *Daemon) joinStore() {
	d.store = proxy.New(proxy.Options{
		Self:      d.membership.Self.ID,
		Region:    d.membership.Self.Region,
		Direct:    store.NewMeter(d.adapter.Store(), d.metrics, componentLogger(d.logger, "store")),
		Transport: d.transport,
		View:      d.membership,
		Random:    newRandom(),
		MayHelp:   mayHelp,
		Logger:    componentLogger(d.logger, "store"),
		Metrics:   proxy.NewMetrics(d.metrics),
	})
	d.records = fanout.New(fanout.Options{
		Store:           d.store,
		Partitions:      []store.Partition{d.adapter.RoutesPartition(), d.adapter.InstancesPartition(), registryPartition(), poison.Partition()},
		SmallRecords:    []store.Partition{d.adapter.InstancesPartition(), registryPartition(), poison.Partition()},
		Self:            d.membership.Self,
		View:            d.membership,
		Transport:       d.transport,
		ExpectedDaemons: d.registry.count,
		Discovered:      func() <-chan struct{} { return d.ledger.Discovered() },
		ReadRate:        d.settings.StoreReadMegabytes * 1e6,
		OnTold:          d.receiveTold,
		Logger:          componentLogger(d.logger, "records"),
		Metrics:         fanout.NewMetrics(d.metrics),
	})
	d.registry.store, d.registry.connectivity, d.registry.lister = d.store, d.store, d.records
}

// joinLedger creates the ledger of the whole fleet. The ledgers of regions are started when they
// are needed.
func (d *Daemon) joinLedger() {
	options := ledger.Options{
		Self:             d.membership.Self.ID,
		Store:            d.store,
		Connectivity:     d.store,
		Transport:        d.transport,
		View:             d.membership,
		Partitions:       ledgerPartitions(d.settings),
		Directory:        store.Partition{Space: ledgerDirectory},
		DiscoveryTimeout: ledger.DefaultDiscoveryTimeout,
		Admission:        d.admission,
		ExpectedDaemons:  d.registry.count,
		Quota:            d.settings.quotaTolerance(),
		Machine:          machineClock(d.settings.PeerAddress),

		StoreReadBytes: d.settings.StoreReadMegabytes * 1e6,
		StoreBytes:     d.settings.StoreMegabytes * 1e6,
		StoreBounds:    store.Bounds{RecordBytes: d.settings.StoreRecordBytes, CallBytes: d.settings.StoreCallBytes},

		Confirmations: d,
		Evacuations:   d,
		Logger:        componentLogger(d.logger, "ledger"),
		Metrics:       ledger.NewMetrics(d.metrics),
	}
	d.ledger = ledger.NewService(options)
	d.regional = newRegionalLedgers(d.topology, options)
}

// joinGuard creates the guard against contents that end back ends.
func (d *Daemon) joinGuard() {
	d.guard = poison.NewGuard(poison.Options{
		Self:         d.membership.Self.ID,
		Store:        d.store,
		Records:      d.records,
		List:         d.lister(poison.Partition()),
		Connectivity: d.store,
		Teller:       d.records,
		IsRunning:    d.pool.IsListed,
		View:         d.membership,
		Logger:       componentLogger(d.logger, "poison"),
		Metrics:      poison.NewMetrics(d.metrics),
	})
}

// receiveTold handles records that another daemon tells of, as the store has not taken them.
func (d *Daemon) receiveTold(partition store.Partition, records []store.Record, keep bool) {
	if partition == poison.Partition() {
		d.guard.ReceiveTold(records, keep)
	}
}

// joinRelay creates the relay for callers' requests.
func (d *Daemon) joinRelay() {
	d.relay = relay.New(relay.Options{
		Pool:         d.pool,
		Driver:       d.adapter.Driver(),
		Ledger:       d.regional.combinedLedger(d.ledger),
		ContentGuard: d.guard,

		InstanceList:   d.listConfirmation,
		FormerVersions: d.versions,
		IsMemoryTight:  d.memoryPressure.isTight.Load,
		Quota:          quota.NewGate(d.ledger, d.settings.quotaTolerance()),
		Table:          d.table.Load,
		RoutesAge:      d.routesAge,
		Daemons:        func() int { return len(d.membership.Members()) },

		Evacuations: &d.evacuations,
		Zones:       d.reachability,
		RerouteTime: rerouteTime,

		StoppingSince: d.stopping.Since,

		Admission:             d.admission,
		MaxPendingRecordBytes: int64(recordMemoryShare * float64(d.settings.memoryBytes())),
		Logger:                componentLogger(d.logger, "relay"),
		Metrics:               relay.NewMetrics(d.metrics),
	})
}

// membershipSettings returns the default settings with a frequent search for other daemons after
// the start, so that daemons which start after the loss of all of them find each other soon.
func membershipSettings() membership.Settings {
	settings := membership.DefaultSettings()
	settings.FirstJoinTime = 600 * time.Millisecond
	settings.FirstJoinInterval = 50 * time.Millisecond
	settings.FirstJoinFanout = 3
	return settings
}

func ledgerPartitions(settings Settings) []store.Partition {
	var partitions []store.Partition
	for space := range settings.LedgerSpaces {
		for number := range settings.LedgerPartitions {
			partitions = append(partitions, store.Partition{Space: ledgerSpace + strconv.Itoa(space), Number: number})
		}
	}
	return partitions
}

// receiverSlot lets the transport start before the components that receive its messages.
type receiverSlot struct{ daemon atomic.Pointer[Daemon] }

// Receive implements peer.Handler.
func (s *receiverSlot) Receive(from structs.DaemonID, message peer.Message) {
	d := s.daemon.Load()
	if d == nil {
		return
	}
	if !d.membership.Receive(from, message) && !d.store.Receive(from, message) && !d.records.Receive(from, message) &&
		!d.receiveReach(from, message) && !d.ledger.Receive(from, message) {
		d.regional.receive(from, message)
	}
}
