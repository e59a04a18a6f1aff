package instance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Pool keeps the instances of all services and chooses among them. It is safe for
// concurrent use.
type Pool struct {
	plugins Plugins
	mutex   sync.Mutex
	random  *rand.Rand
	byID    map[string]*entry
	// latestRuns holds the latest known run of each back end, by name.
	latestRuns map[string]*latestRun
	// byService holds the instances of each service, ordered by ID.
	byService        map[string][]*entry
	typicalLatencies typicalLatencies
	// serviceTimes holds, by service, a moving average of how long instances take to serve
	// a request.
	serviceTimes map[string]time.Duration
	// currentQuery is the query that Take is processing. It is a field because a local
	// variable whose address is passed to the plug-ins would be allocated for each request.
	currentQuery Query
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
}

// NewPool returns an empty pool.
func NewPool(random *rand.Rand, plugins Plugins) *Pool {
	return &Pool{
		plugins:          plugins,
		random:           random,
		byID:             map[string]*entry{},
		latestRuns:       map[string]*latestRun{},
		byService:        map[string][]*entry{},
		typicalLatencies: typicalLatencies{},
		serviceTimes:     map[string]time.Duration{},
	}
}

// Replace sets the list of all instances. An instance that is missing from it is a last
// resort for unlistedTTL and then removed. Replace returns the addresses that no instance
// has any more or that a later run has taken over; connections to them are stale.
func (p *Pool) Replace(list []Instance) (gone []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	firstSeenAt := now
	if p.firstListedAt.IsZero() {
		p.firstListedAt, p.listedAt = now, now
		firstSeenAt = time.Time{}
	}
	seen := map[string]bool{}
	addresses := map[string]bool{}
	for _, instance := range list {
		addresses[instance.Address] = true
		instance.ReceivedAt, instance.FirstSeenAt = now, firstSeenAt
		id, formerAddresses := p.update(instance)
		seen[id] = true
		gone = append(gone, formerAddresses...)
	}
	for _, address := range p.dropUnlisted(seen, now) {
		if !addresses[address] {
			gone = append(gone, address)
		}
	}
	p.rebuildIndex()
	return gone
}

// update applies a listed entry, unless a newer one is known. It returns the ID of the run
// that the entry counts for, and the addresses that are no longer in use.
func (p *Pool) update(instance Instance) (id string, formerAddresses []string) {
	id, ended := p.resolveRun(&instance)
	if ended != nil {
		formerAddresses = append(formerAddresses, ended.Address)
	}
	known := p.byID[id]
	if known == nil {
		known = &entry{}
		p.byID[id] = known
	}
	known.unlistedSince = time.Time{}
	if instance.ID != id || instance.Sequence < known.Sequence {
		return id, formerAddresses
	}
	if known.ID != "" {
		instance.FirstSeenAt = known.FirstSeenAt
		if instance.Sequence == known.Sequence {
			instance.ReceivedAt = known.ReceivedAt
		}
		if instance.Address != known.Address {
			formerAddresses = append(formerAddresses, known.Address)
		}
	}
	known.Instance = instance
	return id, formerAddresses
}

// dropUnlisted removes the instances that are missing from the list and may no longer
// serve, and returns their addresses.
func (p *Pool) dropUnlisted(listed map[string]bool, now time.Time) (addresses []string) {
	for id, known := range p.byID {
		if listed[id] {
			continue
		}
		if known.unlistedSince.IsZero() {
			known.unlistedSince = p.listedAt
		}
		if !p.mayServe(known, now) {
			delete(p.byID, id)
			p.forgetRun(known)
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// rebuildIndex rebuilds byService.
func (p *Pool) rebuildIndex() {
	clear(p.byService)
	for _, e := range p.byID {
		p.byService[e.Service] = append(p.byService[e.Service], e)
	}
	for _, list := range p.byService {
		slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Loads returns the number of this daemon's requests at each instance that has any.
func (p *Pool) Loads() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	loads := map[string]int{}
	for id, e := range p.byID {
		if e.inFlight > 0 {
			loads[id] = e.inFlight
		}
	}
	return loads
}

// InFlight returns the number of this daemon's requests at the instances of a zone.
func (p *Pool) InFlight(zone string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, e := range p.byID {
		if e.Zone == zone {
			count += e.inFlight
		}
	}
	return count
}

// Counts holds how many instances of a service may or may not get a request.
type Counts struct {
	// Admitted is the number of instances that may get the request.
	Admitted int
	// Filtered counts the instances that could serve but are rejected by a filter, by its
	// Reason.
	Filtered map[string]int
	// TemporarilyFiltered is the number of these that a TemporaryFilter rejects.
	TemporarilyFiltered int
}

// Count counts the instances of a query's service, including those that the query excludes.
// If the query is restricted to one instance, only that one counts.
func (p *Pool) Count(query Query) Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := Counts{Filtered: map[string]int{}}
	now := time.Now()
	for _, e := range p.byService[query.Service] {
		if !p.mayServe(e, now) || (query.Only != "" && e.ID != query.Only) {
			continue
		}
		if filter := p.plugins.filteredBy(&query, &e.Instance, now); filter != nil {
			counts.Filtered[filter.Reason()]++
			if _, temporary := filter.(TemporaryFilter); temporary {
				counts.TemporarilyFiltered++
			}
			continue
		}
		counts.Admitted++
	}
	return counts
}
