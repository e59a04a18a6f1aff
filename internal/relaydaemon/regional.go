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
	// regionalSpace is the prefix of the store's space for a regional ledger; the region follows.
	regionalSpace = "ledger-region-"
	// regionalShards is the number of shards of a regional ledger, which only keeps the text of
	// turns restricted to the region. One more partition is the directory of the shards' holders.
	regionalShards = 8
	// usageCheckInterval is the minimum time between checks whether regional ledgers were used
	// before this daemon started. Each check calls the store once per region, and every unknown
	// turn asks for one.
	usageCheckInterval = time.Second
)

// regionalLedgers are the ledgers of the regions, which keep the text of turns that operators
// restrict to regions. Only daemons of a region hold its shards and call the store about them. The
// ledgers are started when they are needed. It is safe for concurrent use.
type regionalLedgers struct {
	regions []string
	// ownRegion is this daemon's region.
	ownRegion string
	options   ledger.Options
	ledger    *residency.Ledger
	inUse     atomic.Bool
	// usageMutex is held while the directories are read. usageCheckedAt is when they were last
	// read, and usageErr the error.
	usageMutex     sync.Mutex
	usageCheckedAt time.Time
	usageErr       error

	mutex sync.Mutex
	// run runs a service in the background; nil until the daemon runs.
	run      func(*ledger.Service)
	services map[string]*ledger.Service
	leaving  bool
}

// newRegionalLedgers returns the regional ledgers; options are those of the fleet's ledger. A fleet
// with one region has none.
func newRegionalLedgers(topology zone.Topology, options ledger.Options) *regionalLedgers {
	regions := topology.Regions()
	if len(regions) < 2 {
		regions = nil
	}
	return &regionalLedgers{regions: regions, ownRegion: topology.OwnRegion(), options: options, services: map[string]*ledger.Service{}}
}

// combinedLedger returns the ledger of all turns, which combines the common ledger with the
// regional ones for the text of restricted turns.
func (r *regionalLedgers) combinedLedger(common *ledger.Service) *residency.Ledger {
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

// serviceOf adapts service for residency.Ledger.
func (r *regionalLedgers) serviceOf(region string) (residency.Service, bool) {
	service := r.service(region)
	return service, service != nil
}

// startAll starts the ledgers of all regions, so that their discovery is done before requests need
// them.
func (r *regionalLedgers) startAll() {
	if r.inUse.Swap(true) {
		return
	}
	for _, region := range r.regions {
		r.service(region)
	}
}

// isInUse reports whether a regional ledger may hold turns: because routes in force name regions,
// or because routes did before this daemon started, as the directories show.
func (r *regionalLedgers) isInUse(ctx context.Context) (bool, error) {
	if r.inUse.Load() || len(r.regions) == 0 {
		return r.inUse.Load(), nil
	}
	r.usageMutex.Lock()
	defer r.usageMutex.Unlock()
	if r.inUse.Load() {
		return true, nil
	}
	if time.Since(r.usageCheckedAt) >= usageCheckInterval {
		r.usageErr = r.checkUsage(ctx)
		r.usageCheckedAt = time.Now()
	}
	return r.inUse.Load(), r.usageErr
}

// checkUsage reads the directories of all regions, and starts the ledgers if any directory has
// entries. If the store does not answer, callers that wait for the mutex get the same error.
func (r *regionalLedgers) checkUsage(ctx context.Context) error {
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

// regionalDirectory is the partition that lists the holders of a region's shards.
func regionalDirectory(region string) store.Partition {
	return store.Partition{Space: regionalSpace + region, Number: regionalShards}
}

// service returns the ledger of a region, and starts it if necessary; nil if there is none.
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

// serviceOptions returns the options for the ledger of a region: those of the fleet's ledger, with
// the members and partitions of the region. Confirmations and evacuations are handled by the
// fleet's ledger only.
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
	options.ClientOnly = r.ownRegion != region
	options.Confirmations, options.Evacuations = nil, nil
	options.Logger = options.Logger.With().Str("region", region).Logger()
	return options
}

// setRunner sets how services are run; none is started before.
func (r *regionalLedgers) setRunner(run func(*ledger.Service)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.run = run
}

// receive handles a message for the ledger of a region.
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

// hasDaemons reports whether a region has any daemon. One that is leaving counts: it holds its
// shards until it has handed them over, and the homes of programs must not move to another region
// while the daemons of theirs are replaced.
func (r *regionalLedgers) hasDaemons(region string) bool {
	view := regionView{View: r.options.View, region: structs.RegionName(region)}
	return len(view.Members()) > 0
}

// regionView is the membership restricted to a region, for that region's ledger.
type regionView struct {
	ledger.View
	region structs.RegionName
}

// Members implements membership.View.
func (v regionView) Members() []membership.Member {
	var members []membership.Member
	for _, member := range v.View.Members() {
		if member.Daemon.Region == v.region {
			members = append(members, member)
		}
	}
	return members
}

// Lookup implements ledger.View. A daemon of another region at the address of a former holder
// counts as dead, so that it is not asked for that holder's records.
func (v regionView) Lookup(address string) (membership.Member, bool) {
	member, heardOf := v.View.Lookup(address)
	if heardOf && member.Daemon.Region != v.region {
		member.State = membership.StateDead
	}
	return member, heardOf
}

// mayHelp reports whether a daemon may call the store about a partition for other daemons. Only
// daemons of a region may do so for that region's ledger.
func mayHelp(partition store.Partition, daemon structs.Daemon) bool {
	region, isRegional := strings.CutPrefix(partition.Space, regionalSpace)
	return !isRegional || string(daemon.Region) == region
}
