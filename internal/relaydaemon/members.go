package relaydaemon

import (
	"context"
	"encoding/json"
	"iter"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/warmup"
)

const (
	// daemonsSpace is the store's space for the daemons' addresses.
	daemonsSpace = "daemons"
	// registryTimeout is the timeout of one call for the registry.
	registryTimeout = 600 * time.Millisecond
	// registryRetryInterval is the time between attempts to write this daemon's entry.
	registryRetryInterval = 300 * time.Millisecond
)

// registryWatch polls rarely: daemons seldom come and go, and gossip spreads such changes sooner.
var registryWatch = store.WatchSettings{
	Wait: 15 * time.Second, AnswerTimeout: time.Second, RetryInterval: 500 * time.Millisecond, Pause: time.Second,
}

// memberRegistry is the list of daemons in the store, by which daemons find each other without
// seeds.
type memberRegistry struct {
	store        store.Store
	connectivity store.Connectivity
	settings     Settings
	logger       zerolog.Logger
	ownRecord    memberRecord
	// coldLimiter gets the list of daemons, which share the limits of cold back ends.
	coldLimiter *warmup.Limiter
	// listedCount is the number of listed daemons at the last read.
	listedCount atomic.Int64
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
	return &memberRegistry{store: s, settings: settings, coldLimiter: coldLimiter, logger: logger}
}

func registryPartition() store.Partition { return store.Partition{Space: daemonsSpace} }

// incarnation reads the registry and returns an incarnation above that of the former process at
// this address, even if the wall clock was set back since.
func (r *memberRegistry) incarnation() uint64 {
	r.ownRecord = memberRecord{
		Incarnation: uint64(time.Now().UnixNano()),
		Zone:        r.settings.Zone,
		Region:      r.settings.Region,
	}
	ctx, cancel := context.WithTimeout(context.Background(), registryTimeout)
	defer cancel()
	records, _, err := store.Newest(ctx, r.store, registryPartition())
	if err != nil {
		r.logger.Warn().Err(err).Msg("Registry of daemons not read. The incarnation is the current time.")
		return r.ownRecord.Incarnation
	}
	r.listedCount.Store(int64(len(presentAddresses(slices.Values(records)))))
	for _, record := range records {
		var former memberRecord
		if record.Key == r.settings.PeerAddress && json.Unmarshal(record.Value, &former) == nil {
			r.ownRecord.Incarnation = max(r.ownRecord.Incarnation, former.Incarnation+1)
		}
	}
	return r.ownRecord.Incarnation
}

// run writes this daemon's entry, and passes on the addresses of the others until ctx ends.
func (r *memberRegistry) run(ctx context.Context, onListed func([]structs.Machine)) {
	onListed(r.machines(nil))
	r.write(ctx)
	watcher := store.Watcher{
		Store:        r.store,
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

func (r *memberRegistry) write(ctx context.Context) {
	for ctx.Err() == nil {
		if r.append(ctx, r.ownRecord) == nil {
			return
		}
		time.Sleep(registryRetryInterval)
	}
}

func (r *memberRegistry) append(ctx context.Context, own memberRecord) error {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	record := store.Record{Key: r.settings.PeerAddress, Value: value}
	return r.store.Append(ctx, registryPartition(), store.Writer{}, []store.Record{record})
}

// withdraw marks this daemon's entry as left.
func (r *memberRegistry) withdraw(ctx context.Context) {
	ownRecord := r.ownRecord
	ownRecord.Left = true
	if err := r.append(ctx, ownRecord); err != nil {
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
