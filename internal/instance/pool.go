package instance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pool keeps the instances of all services and chooses among them. It is safe for
// concurrent use.
type Pool struct {
	plugins Plugins
	options Options
	mutex   sync.Mutex
	random  *rand.Rand
	byID    map[string]*entry
	// latestRuns holds the latest known run of each back end, by name.
	latestRuns map[string]*latestRun
	byService  map[string]*serviceIndex
	// addresses counts the instances by address.
	addresses map[string]int
	// unlisted are the instances without an entry, and presumedGone those that a request found
	// gone, by ID.
	unlisted, presumedGone map[string]*entry
	typicalLatencies       typicalLatencies
	// serviceTimes holds, by service, a moving average of how long instances take to serve
	// a request.
	serviceTimes map[string]time.Duration
	// soleVersions holds the services whose instances all have one software version.
	soleVersions map[string]SoleVersion
	// currentQuery is the query that Take is processing. It is a field because a local
	// variable whose address is passed to the plug-ins would be allocated for each request.
	currentQuery Query
	// digest hashes affinity keys; it is a field for the same reason.
	digest xxhash.Digest
	// listedAt is the time as of which the list was last known to be current.
	listedAt time.Time
	// firstListedAt is when the first list was received; zero if none was.
	firstListedAt time.Time
	// listUnavailable is set while the list cannot be read.
	listUnavailable bool
	// recoveryUntil is the time until which instances may be missing because their entries
	// expired while the list could not be read. outageSince is when that period began;
	// outages that follow soon on each other count as one.
	recoveryUntil time.Time
	outageSince   time.Time
}

// entry is an instance with this daemon's own observations of it.
type entry struct {
	Instance
	// inFlight counts this daemon's requests to the instance.
	inFlight int
	health   health
	// backoffUntil is the time until which the instance is only a last resort.
	backoffUntil time.Time
	// unlistedSince is when the instance was last confirmed to be listed; zero while it is
	// listed.
	unlistedSince time.Time
	// presumedGone is set while the instance gets no request since one found it gone.
	presumedGone bool
	// hash is the position in the ring of the zone.
	hash uint64
}

// Options describe the daemon that a pool belongs to, and its back ends.
type Options struct {
	// Zone is the daemon's zone, "" if unknown.
	Zone string
	// Address is the daemon's address. Daemons with different ones prefer different instances of a
	// large service.
	Address string
	// Heartbeat is the interval at which running instances write their entries; 0 for
	// DefaultHeartbeat.
	Heartbeat time.Duration
}

// DefaultHeartbeat is the interval at which running instances write their entries, if it is not
// configured.
const DefaultHeartbeat = 1200 * time.Millisecond

// NewPool returns an empty pool with default options.
func NewPool(random *rand.Rand, plugins Plugins) *Pool {
	return NewPoolWith(Options{}, random, plugins)
}

// NewPoolWith returns an empty pool.
func NewPoolWith(options Options, random *rand.Rand, plugins Plugins) *Pool {
	if options.Heartbeat == 0 {
		options.Heartbeat = DefaultHeartbeat
	}
	return &Pool{
		plugins:          plugins,
		options:          options,
		random:           random,
		byID:             map[string]*entry{},
		latestRuns:       map[string]*latestRun{},
		byService:        map[string]*serviceIndex{},
		addresses:        map[string]int{},
		unlisted:         map[string]*entry{},
		presumedGone:     map[string]*entry{},
		typicalLatencies: typicalLatencies{},
		serviceTimes:     map[string]time.Duration{},
		soleVersions:     map[string]SoleVersion{},
	}
}

// bulkShare times the number of known instances is the size of an update after which the index is
// built anew, since that many single insertions would cost more.
const bulkShare = 0.1

// Update is a change of the list of instances.
type Update struct {
	// Instances are the entries that were added or have changed.
	Instances []Instance
	// Removed are the names of the back ends whose entry was removed or became invalid.
	Removed []string
	// Complete is set if Instances are all entries: back ends without one of them have none.
	Complete bool
	// Passed are the software versions of entries that were written since the last update and have
	// been replaced or removed since.
	Passed []ServiceVersion
}

// Replace sets the list of all instances; see Apply.
func (p *Pool) Replace(list []Instance) (gone []string) {
	return p.Apply(Update{Instances: list, Complete: true})
}

// Apply changes the list of instances. It costs as much as the update is large, unless that is
// complete. An instance without an entry is a last resort for unlistedTTL and then removed. Apply
// returns the addresses that no instance has any more or that a later run has taken over;
// connections to them are stale.
func (p *Pool) Apply(update Update) (gone []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	firstSeenAt := now
	if p.firstListedAt.IsZero() {
		p.firstListedAt, p.listedAt = now, now
		firstSeenAt = time.Time{}
	}
	isBulk := float64(len(update.Instances)) > bulkShare*float64(len(p.byID))
	if isBulk {
		p.suspendIndex()
	}
	listed := map[string]bool{}
	for _, instance := range update.Instances {
		instance.ReceivedAt, instance.FirstSeenAt = now, firstSeenAt
		id, formerAddresses := p.update(instance)
		listed[id] = true
		gone = append(gone, formerAddresses...)
	}
	for _, name := range update.Removed {
		if latest := p.latestRuns[name]; latest != nil {
			p.markUnlisted(latest.id)
		}
	}
	if update.Complete {
		p.markAllUnlistedExcept(listed)
	}
	if isBulk {
		p.rebuildIndex()
	}
	p.restorePresumedGone()
	gone = append(gone, p.dropUnlisted(now)...)
	p.noteVersions(now)
	p.notePassedVersions(update, now)
	return gone
}

// update applies a listed entry, unless a newer one is known. It returns the ID of the run
// that the entry counts for, and the addresses that are no longer in use.
func (p *Pool) update(instance Instance) (id string, formerAddresses []string) {
	id, ended := p.resolveRun(&instance)
	if ended != nil {
		p.remove(ended)
		formerAddresses = append(formerAddresses, ended.Address)
	}
	known := p.byID[id]
	if known == nil && instance.ID != id {
		return id, formerAddresses
	}
	if known == nil {
		known = &entry{Instance: instance}
		p.add(known)
	}
	known.unlistedSince = time.Time{}
	delete(p.unlisted, id)
	if instance.ID != id || instance.Sequence < known.Sequence {
		return id, formerAddresses
	}
	instance.FirstSeenAt = known.FirstSeenAt
	if instance.Sequence == known.Sequence {
		instance.ReceivedAt = known.ReceivedAt
	}
	if instance.Address != known.Address {
		formerAddresses = append(formerAddresses, known.Address)
	}
	p.replace(known, instance)
	return id, formerAddresses
}

// add adds an entry whose ID is new.
func (p *Pool) add(e *entry) {
	p.byID[e.ID] = e
	p.addresses[e.Address]++
	p.index(e)
}

// remove removes an entry.
func (p *Pool) remove(e *entry) {
	delete(p.byID, e.ID)
	delete(p.unlisted, e.ID)
	delete(p.presumedGone, e.ID)
	p.releaseAddress(e.Address)
	p.unindex(e)
}

func (p *Pool) releaseAddress(address string) {
	if p.addresses[address]--; p.addresses[address] <= 0 {
		delete(p.addresses, address)
	}
}

// replace sets the instance of an entry to a later one with the same ID.
func (p *Pool) replace(e *entry, instance Instance) {
	if e.Address != instance.Address {
		p.releaseAddress(e.Address)
		p.addresses[instance.Address]++
	}
	isMoved := e.Service != instance.Service || e.Zone != instance.Zone || e.Version != instance.Version
	if isMoved {
		p.unindex(e)
	}
	e.Instance = instance
	if isMoved {
		p.index(e)
	}
}

// markUnlisted records that an instance has no entry any more.
func (p *Pool) markUnlisted(id string) {
	known := p.byID[id]
	if known == nil || !known.unlistedSince.IsZero() {
		return
	}
	known.unlistedSince = p.listedAt
	p.unlisted[id] = known
}

func (p *Pool) markAllUnlistedExcept(listed map[string]bool) {
	for id := range p.byID {
		if !listed[id] {
			p.markUnlisted(id)
		}
	}
}

// restorePresumedGone lets the instances that presumeGone excluded be chosen again if they still
// have an entry.
func (p *Pool) restorePresumedGone() {
	for id, e := range p.presumedGone {
		if e.unlistedSince.IsZero() {
			e.presumedGone = false
			delete(p.presumedGone, id)
		}
	}
}

// presumeGone excludes an instance that a request found gone, until the list next changes.
func (p *Pool) presumeGone(e *entry) {
	e.presumedGone = true
	p.presumedGone[e.ID] = e
}

// dropUnlisted removes the instances without an entry that may no longer serve. It returns their
// addresses, except those that another instance has.
func (p *Pool) dropUnlisted(now time.Time) (addresses []string) {
	for _, known := range p.unlisted {
		if p.mayServe(known, now) {
			continue
		}
		p.remove(known)
		p.forgetRun(known)
		if p.addresses[known.Address] == 0 {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}
