package relaydaemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/residency"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/zone"
)

const (
	// regionalSpace is the prefix of the store's space of a regional ledger; the region
	// follows.
	regionalSpace = "ledger-region-"
	// regionalShards is the number of shards of a regional ledger, which keeps the text of
	// bound turns only. One more partition is the directory of their holders.
	regionalShards = 8
	// lookPause is the least time between checks whether regional ledgers were used before
	// this daemon started: each is a call to the store for each region, and without a pause
	// every unknown turn would cause one.
	lookPause = time.Second
)

// regionalLedgers are the ledgers of single regions, which keep the text of turns that
// operators bind to regions: only daemons of a region hold its shards, and make calls to
// the store about them. They are started once they are needed. It is safe for concurrent
// use.
type regionalLedgers struct {
	regions []string
	// own is the daemon's region.
	own     string
	options ledger.Options
	ledger  *residency.Ledger
	inUse   atomic.Bool
	// looking is held while the directories are read, last at lookedAt.
	looking  sync.Mutex
	lookedAt time.Time
	// lookErr is the outcome of that.
	lookErr error

	mutex sync.Mutex
	// run runs a service in the background; nil until the daemon runs.
	run      func(*ledger.Service)
	services map[string]*ledger.Service
	leaving  bool
}

// newRegionalLedgers returns the regional ledgers, by the options of the ledger of all
// daemons. A fleet of one region has none.
func newRegionalLedgers(topology zone.Topology, options ledger.Options) *regionalLedgers {
	regions := topology.Regions()
	if len(regions) < 2 {
		regions = nil
	}
	return &regionalLedgers{regions: regions, own: topology.OwnRegion(), options: options, services: map[string]*ledger.Service{}}
}

// ledgerWith returns the ledger of all callers' turns: the common ledger, and the regional
// ones for the text of bound turns.
func (r *regionalLedgers) ledgerWith(common *ledger.Service) *residency.Ledger {
	r.ledger = &residency.Ledger{
		Common:        common,
		Regional:      r.serviceOf,
		Regions:       r.regions,
		HasDaemons:    r.hasDaemons,
		RegionalInUse: r.isInUse,
		Logger:        r.options.Logger,
	}
	return r.ledger
}

// serviceOf is service for residency.Ledger.
func (r *regionalLedgers) serviceOf(region string) (residency.Service, bool) {
	service := r.service(region)
	return service, service != nil
}

// startAll starts the ledgers of all regions, so that they have settled once requests
// come that need them.
func (r *regionalLedgers) startAll() {
	if r.inUse.Swap(true) {
		return
	}
	for _, region := range r.regions {
		r.service(region)
	}
}

// isInUse tells whether a regional ledger may keep turns: since routes in force name
// regions, or since some did before this daemon started, as their directories tell.
func (r *regionalLedgers) isInUse(ctx context.Context) (bool, error) {
	if r.inUse.Load() || len(r.regions) == 0 {
		return r.inUse.Load(), nil
	}
	r.looking.Lock()
	defer r.looking.Unlock()
	if r.inUse.Load() {
		return true, nil
	}
	if time.Since(r.lookedAt) >= lookPause {
		r.lookErr = r.look(ctx)
		r.lookedAt = time.Now()
	}
	return r.inUse.Load(), r.lookErr
}

// look reads the directories of all regions, and starts their ledgers if any was used.
// While the store does not answer, those that wait for the mutex get the same error.
func (r *regionalLedgers) look(ctx context.Context) error {
	for _, region := range r.regions {
		page, err := r.options.Store.NewestPage(ctx, regionalDirectory(region), "")
		if err != nil {
			return eris.Wrapf(ledger.ErrUnavailable, "directory of region %s: %v", region, err)
		}
		if len(page.Records) > 0 {
			r.startAll()
			return nil
		}
	}
	return nil
}

// regionalDirectory is the partition that tells who holds the shards of a region.
func regionalDirectory(region string) store.Partition {
	return store.Partition{Space: regionalSpace + region, Number: regionalShards}
}

// service returns the ledger of a region, and starts it if that is due; nil if there is
// none.
func (r *regionalLedgers) service(region string) *ledger.Service {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if service := r.services[region]; service != nil {
		return service
	}
	if r.run == nil || !slices.Contains(r.regions, region) {
		return nil
	}
	service := ledger.NewService(r.serviceOptions(region))
	if r.leaving {
		service.Leave()
	}
	r.services[region] = service
	r.run(service)
	return service
}

// serviceOptions are the options of the ledger of a region: those of the ledger of all
// daemons, with the region's members and partitions. Keys and evacuations are the common
// ledger's matter.
func (r *regionalLedgers) serviceOptions(region string) ledger.Options {
	options := r.options
	options.Name = regionalSpace + region
	options.View = regionView{View: options.View, region: structs.RegionName(region)}
	options.Partitions = nil
	for number := range regionalShards {
		options.Partitions = append(options.Partitions, store.Partition{Space: options.Name, Number: number})
	}
	options.Directory = regionalDirectory(region)
	options.ExpectedDaemons = nil
	options.ClientOnly = r.own != region
	options.Confirmations, options.Evacuations = nil, nil
	options.Logger = options.Logger.With().Str("region", region).Logger()
	return options
}

// setRunner sets how services are run; until then none is started.
func (r *regionalLedgers) setRunner(run func(*ledger.Service)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.run = run
}

// receive takes a message for the ledger of a region.
func (r *regionalLedgers) receive(from structs.DaemonID, message peer.Message) {
	name, known := ledger.LedgerOf(message)
	region, isRegional := strings.CutPrefix(name, regionalSpace)
	if !known || !isRegional {
		return
	}
	if service := r.service(region); service != nil {
		service.Receive(from, message)
	}
}

func (r *regionalLedgers) all() []*ledger.Service {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []*ledger.Service
	for _, service := range r.services {
		all = append(all, service)
	}
	return all
}

func (r *regionalLedgers) leave() {
	r.mutex.Lock()
	r.leaving = true
	r.mutex.Unlock()
	for _, service := range r.all() {
		service.Leave()
	}
}

func (r *regionalLedgers) waitForHandover(ctx context.Context) {
	for _, service := range r.all() {
		service.WaitForHandover(ctx)
	}
}

func (r *regionalLedgers) wait(ctx context.Context) { r.ledger.Wait(ctx) }

// hasDaemons tells whether any daemon lives in a region. One that is leaving does: it holds
// its shards until it has passed them on, and the homes of programs must not move to another
// region while the daemons of theirs are replaced.
func (r *regionalLedgers) hasDaemons(region string) bool {
	view := regionView{View: r.options.View, region: structs.RegionName(region)}
	return len(view.Members()) > 0
}

// regionView is membership as the ledger of a region sees it: daemons of other regions
// hold nothing of it.
type regionView struct {
	ledger.View
	region structs.RegionName
}

// Members implements membership.View.
func (v regionView) Members() []membership.Member {
	return slices.DeleteFunc(v.View.Members(), func(m membership.Member) bool { return m.Daemon.Region != v.region })
}

// Lookup implements ledger.View. A daemon of another region that has the address of a
// former holder by now counts as dead: it is not to be asked for its records.
func (v regionView) Lookup(address string) (membership.Member, bool) {
	member, heardOf := v.View.Lookup(address)
	if heardOf && member.Daemon.Region != v.region {
		member.State = membership.StateDead
	}
	return member, heardOf
}

// mayHelp tells whether a daemon may make calls to the store about a partition for
// others: about those of a region's ledger only daemons of the region.
func mayHelp(partition store.Partition, daemon structs.Daemon) bool {
	region, isRegional := strings.CutPrefix(partition.Space, regionalSpace)
	return !isRegional || string(daemon.Region) == region
}
