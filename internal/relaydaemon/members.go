package relaydaemon

import (
	"context"
	"encoding/json"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/warmup"
)

const (
	// daemonsSpace is the store's space for the daemons' addresses.
	daemonsSpace = "daemons"
	// runsSpace is the store's space for the latest incarnation at each address, spread over its
	// partitions by address: a daemon that starts reads the part that has its own, also while all
	// daemons of a large fleet start.
	runsSpace = "daemon-runs"
	// registryReadTimeout is the timeout of the readings of the registry at the start.
	registryReadTimeout = 600 * time.Millisecond
	// maxListedAtStart is the number of daemons up to which a daemon that starts lists the whole
	// registry at once. In a larger fleet it gets the list from a neighbour later.
	maxListedAtStart = 256
	// registryAppendTimeout is the timeout of one attempt to write this daemon's entry. All daemons
	// write to one partition, and after a loss of all they write at once. The store queues two
	// seconds of appends before it refuses more, and makes those that nobody waits for any more all
	// the same, so a shorter timeout would fill the queue with repeated attempts.
	registryAppendTimeout = 3 * time.Second
	// The pause between attempts to write this daemon's entry doubles from minRegistryPause to
	// maxRegistryPause.
	minRegistryPause = 300 * time.Millisecond
	maxRegistryPause = 5 * time.Second
	// withdrawTimeout is the timeout of the attempt to mark this daemon's entry as left.
	withdrawTimeout = 600 * time.Millisecond
)

// registryWatch polls rarely: daemons seldom come and go, and gossip spreads such changes sooner.
var registryWatch = store.WatchSettings{
	Wait: 15 * time.Second, AnswerTimeout: time.Second, RetryInterval: 500 * time.Millisecond, Pause: time.Second,
}

// memberRegistry is the list of daemons in the store, by which daemons find each other without
// seeds.
type memberRegistry struct {
	store store.Store
	// lister lists the registry, and is also the store by which it is followed.
	lister       lister
	connectivity store.Connectivity
	settings     Settings
	logger       zerolog.Logger
	ownRecord    memberRecord
	// coldLimiter gets the list of daemons, which share the limits of cold back ends.
	coldLimiter *warmup.Limiter
	// listedCount is the number of listed daemons at the last read.
	listedCount atomic.Int64
	// listed is the listing that was made at the start, nil if it failed.
	listed *store.Listing
	// withdrawn is set once this daemon's entry is to be marked as left.
	withdrawn atomic.Bool
}

// lister is a store that lists whole partitions.
type lister interface {
	store.Store
	List(ctx context.Context, partition store.Partition) (store.Listing, error)
}

// directLister lists partitions from the store.
type directLister struct{ store.Store }

// List implements lister.
func (d directLister) List(ctx context.Context, partition store.Partition) (store.Listing, error) {
	began := time.Now()
	records, end, err := store.Newest(ctx, d.Store, partition)
	return store.Listing{Records: records, End: end, AsOf: began}, err
}

// memberRecord is the value of a daemon's entry; its key is the peer address. After a planned
// shutdown the entry remains with left set, since the next process at the address needs a higher
// incarnation.
type memberRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Left        bool   `json:"left,omitempty"`
}

// isPresent reports whether the daemon of an entry has not left.
func isPresent(value []byte) bool {
	var record memberRecord
	return json.Unmarshal(value, &record) != nil || !record.Left
}

// presentAddresses returns the addresses of the listed daemons that have not left.
func presentAddresses(records iter.Seq[store.Record]) []string {
	var addresses []string
	for record := range records {
		if isPresent(record.Value) {
			addresses = append(addresses, record.Key)
		}
	}
	return addresses
}

func newMemberRegistry(s store.Store, settings Settings, coldLimiter *warmup.Limiter, logger zerolog.Logger) *memberRegistry {
	return &memberRegistry{store: s, lister: directLister{s}, settings: settings, coldLimiter: coldLimiter, logger: logger}
}

func registryPartition() store.Partition { return store.Partition{Space: daemonsSpace} }

// runsPartition returns the partition with the latest incarnation at this daemon's address.
func (r *memberRegistry) runsPartition() store.Partition {
	number := xxhash.Sum64String(r.settings.PeerAddress) % uint64(max(r.settings.LedgerPartitions, 1))
	return store.Partition{Space: runsSpace, Number: int(number)}
}

// incarnation returns an incarnation above that of the former process at this address, even if the
// wall clock was set back since.
func (r *memberRegistry) incarnation() uint64 {
	r.ownRecord = memberRecord{
		Incarnation: uint64(time.Now().UnixNano()),
		Zone:        r.settings.Zone,
		Region:      r.settings.Region,
	}
	ctx, cancel := context.WithTimeout(context.Background(), registryReadTimeout)
	defer cancel()
	if found, daemons := r.readRuns(ctx); found && daemons > maxListedAtStart {
		r.listedCount.Store(int64(daemons))
		return r.ownRecord.Incarnation
	}
	began := time.Now()
	records, end, err := store.Newest(store.WithPurpose(ctx, store.PurposeRegistry), r.store, registryPartition())
	if err != nil {
		r.logger.Warn().Err(err).Msg("Registry of daemons not read. The incarnation is the current time.")
		return r.ownRecord.Incarnation
	}
	r.listed = &store.Listing{Records: records, End: end, AsOf: began}
	r.listedCount.Store(int64(len(presentAddresses(slices.Values(records)))))
	r.riseAbove(records)
	return r.ownRecord.Incarnation
}

// readRuns reads the part of the latest incarnations that has this address, and estimates the number
// of daemons from it. It returns false if this address is not there: its former process, if there was
// one, was of a build that wrote only to the registry.
func (r *memberRegistry) readRuns(ctx context.Context) (found bool, daemons int) {
	records, _, err := store.Newest(store.WithPurpose(ctx, store.PurposeRegistry), r.store, r.runsPartition())
	if err != nil {
		return false, 0
	}
	return r.riseAbove(records), len(records) * max(r.settings.LedgerPartitions, 1)
}

// riseAbove raises the own incarnation above that of the record of this address; false if there is
// none.
func (r *memberRegistry) riseAbove(records []store.Record) (found bool) {
	for _, record := range records {
		var former memberRecord
		if record.Key == r.settings.PeerAddress && json.Unmarshal(record.Value, &former) == nil {
			r.ownRecord.Incarnation = max(r.ownRecord.Incarnation, former.Incarnation+1)
			found = true
		}
	}
	return found
}

// run writes this daemon's entry, and passes on the addresses of the others until ctx ends.
func (r *memberRegistry) run(ctx context.Context, onListed func([]structs.Machine)) {
	onListed(r.machines(r.listedAddresses()))
	var writing sync.WaitGroup
	defer writing.Wait()
	writing.Go(func() { r.write(ctx) })
	watcher := store.Watcher{
		List:         r.list,
		Store:        r.lister,
		Connectivity: r.connectivity,
		Partition:    registryPartition(),
		Settings:     registryWatch,
		OnChange: func(records map[string]store.Record) {
			addresses := presentAddresses(maps.Values(records))
			r.listedCount.Store(int64(len(addresses)))
			r.coldLimiter.SetDaemons(addresses, time.Now())
			onListed(r.machines(addresses))
		},
		OnRead:         func(asOf time.Time) { r.coldLimiter.ConfirmDaemons(asOf, time.Now()) },
		Refresh:        r.coldLimiter.RefreshRequests(),
		OnConnectivity: func(err error) { r.logger.Debug().Err(err).Msg("Store connectivity of the registry changed.") },
	}
	watcher.Run(ctx)
}

// list returns the listing that was made at the start once, and lists the registry otherwise.
func (r *memberRegistry) list(ctx context.Context) (store.Listing, error) {
	if listing := r.listed; listing != nil {
		r.listed = nil
		return *listing, nil
	}
	return r.lister.List(ctx, registryPartition())
}

// listedAddresses returns the addresses of the listing at the start.
func (r *memberRegistry) listedAddresses() []string {
	if r.listed == nil {
		return nil
	}
	return presentAddresses(slices.Values(r.listed.Records))
}

// write writes this daemon's entries, first that of its incarnation.
func (r *memberRegistry) write(ctx context.Context) {
	r.writeTo(ctx, r.runsPartition())
	r.writeTo(ctx, registryPartition())
}

// writeTo writes this daemon's entry to a partition. Attempts get rarer, as all daemons may be writing
// theirs.
func (r *memberRegistry) writeTo(ctx context.Context, partition store.Partition) {
	pause := minRegistryPause
	for ctx.Err() == nil && !r.withdrawn.Load() {
		if r.append(store.WithPatience(ctx), partition, r.ownRecord, registryAppendTimeout) == nil {
			return
		}
		clock.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRegistryPause)
	}
}

// append writes an entry of this daemon to a partition.
func (r *memberRegistry) append(ctx context.Context, partition store.Partition, own memberRecord, timeout time.Duration) error {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeRegistry), timeout)
	defer cancel()
	record := store.Record{Key: r.settings.PeerAddress, Value: value}
	return r.store.Append(ctx, partition, store.Writer{}, []store.Record{record})
}

// withdraw marks this daemon's entry as left.
func (r *memberRegistry) withdraw(ctx context.Context) {
	r.withdrawn.Store(true)
	ownRecord := r.ownRecord
	ownRecord.Left = true
	if err := r.append(ctx, registryPartition(), ownRecord, withdrawTimeout); err != nil {
		r.logger.Warn().Err(err).Msg("Entry in the registry of daemons not withdrawn.")
	}
}

// count returns the number of listed daemons; 0 if unknown.
func (r *memberRegistry) count() int { return int(r.listedCount.Load()) }

// machines returns the seeds and the listed daemons.
func (r *memberRegistry) machines(listed []string) []structs.Machine {
	var machines []structs.Machine
	add := func(address string) {
		machines = append(machines, structs.Machine{
			Kind: structs.MachineDaemon, Address: address, State: structs.MachineLive,
		})
	}
	for _, seed := range r.settings.seedAddresses() {
		add(seed)
	}
	for _, address := range listed {
		add(address)
	}
	return machines
}
