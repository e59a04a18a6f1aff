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
	// daemonsSpace is where daemons tell each other their addresses.
	daemonsSpace = "daemons"
	// registryTimeout bounds one call for the registry.
	registryTimeout = 600 * time.Millisecond
	// registryRetry separates tries to write this daemon's entry.
	registryRetry = 300 * time.Millisecond
)

// registryWatch: daemons come and go rarely, and gossip spreads that sooner.
var registryWatch = store.WatchSettings{
	Wait: 15 * time.Second, Answer: time.Second, Retry: 500 * time.Millisecond, Pause: time.Second,
}

// memberRegistry is the list of daemons in the store: how those find each
// other that no seed joins.
type memberRegistry struct {
	store    store.Store
	contact  store.Contact
	settings Settings
	logger   zerolog.Logger
	own      memberRecord
	// cold is told who is on record: cold back ends are shared among these.
	cold *warmup.Limiter
	// known is how many daemons were on record when that was last read.
	known atomic.Int64
}

// memberRecord stands under a daemon's peer address. That of a daemon that
// stopped as planned stays, with left: its next run must be numbered above it.
type memberRecord struct {
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Left        bool   `json:"left,omitempty"`
}

// present tells whether a record is that of a daemon that has not withdrawn it.
func present(value []byte) bool {
	var record memberRecord
	return json.Unmarshal(value, &record) != nil || !record.Left
}

// presentAddresses returns the addresses under which daemons are on record that
// have not withdrawn.
func presentAddresses(records iter.Seq[store.Record]) []string {
	var addresses []string
	for record := range records {
		if present(record.Value) {
			addresses = append(addresses, record.Key)
		}
	}
	return addresses
}

func newMemberRegistry(s store.Store, settings Settings, cold *warmup.Limiter, logger zerolog.Logger) *memberRegistry {
	return &memberRegistry{store: s, settings: settings, cold: cold, logger: logger}
}

func registryPartition() store.Partition { return store.Partition{Space: daemonsSpace} }

// incarnation reads the registry and chooses a number above that of this daemon's former run, even if
// the time of day was set back since.
func (r *memberRegistry) incarnation() uint64 {
	r.own = memberRecord{
		Incarnation: uint64(time.Now().UnixNano()),
		Zone:        r.settings.Zone,
		Region:      r.settings.Region,
	}
	ctx, cancel := context.WithTimeout(context.Background(), registryTimeout)
	defer cancel()
	records, _, err := store.Newest(ctx, r.store, registryPartition())
	if err != nil {
		r.logger.Warn().Err(err).Msg("Registry not read. The time of day numbers this run.")
		return r.own.Incarnation
	}
	r.known.Store(int64(len(presentAddresses(slices.Values(records)))))
	for _, record := range records {
		var former memberRecord
		if record.Key == r.settings.PeerAddress && json.Unmarshal(record.Value, &former) == nil {
			r.own.Incarnation = max(r.own.Incarnation, former.Incarnation+1)
		}
	}
	return r.own.Incarnation
}

// run writes this daemon's entry and tells of the others until ctx ends.
func (r *memberRegistry) run(ctx context.Context, listed func([]structs.Machine)) {
	listed(r.machines(nil))
	r.write(ctx)
	watcher := store.Watcher{
		Store:     r.store,
		Contact:   r.contact,
		Partition: registryPartition(),
		Settings:  registryWatch,
		OnChange: func(records map[string]store.Record) {
			addresses := presentAddresses(maps.Values(records))
			r.known.Store(int64(len(addresses)))
			r.cold.SetDaemons(addresses, time.Now())
			listed(r.machines(addresses))
		},
		OnRead:    func(asOf time.Time) { r.cold.ConfirmDaemons(asOf, time.Now()) },
		Hurry:     r.cold.RefreshRequests(),
		OnContact: func(err error) { r.logger.Debug().Err(err).Msg("Registry's contact changed.") },
	}
	watcher.Run(ctx)
}

func (r *memberRegistry) write(ctx context.Context) {
	for ctx.Err() == nil {
		if r.append(ctx, r.own) == nil {
			return
		}
		time.Sleep(registryRetry)
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

// withdraw notes that this daemon has left.
func (r *memberRegistry) withdraw(ctx context.Context) {
	own := r.own
	own.Left = true
	if err := r.append(ctx, own); err != nil {
		r.logger.Warn().Err(err).Msg("Entry not withdrawn.")
	}
}

// count returns how many daemons are on record; 0 if that is not known.
func (r *memberRegistry) count() int { return int(r.known.Load()) }

// machines returns the seeds and the daemons on record.
func (r *memberRegistry) machines(onRecord []string) []structs.Machine {
	var machines []structs.Machine
	add := func(address string) {
		machines = append(machines, structs.Machine{
			Kind: structs.MachineDaemon, Address: address, State: structs.MachineLive,
		})
	}
	for _, seed := range r.settings.seedAddresses() {
		add(seed)
	}
	for _, address := range onRecord {
		add(address)
	}
	return machines
}
