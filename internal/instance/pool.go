package instance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Pool keeps the instances of all services. It is safe for concurrent use.
type Pool struct {
	plugins Plugins
	mutex   sync.Mutex
	random  *rand.Rand
	byID    map[string]*entry
	// latestRuns are by name.
	latestRuns map[string]*latestRun
	// byService holds the instances of each service, in order of ID.
	byService map[string][]*entry
	paces     paces
	// serviceTimes is, by service, how long instances take to serve a request: a moving
	// average over those that were answered.
	serviceTimes map[string]time.Duration
	// asked is the query that Take is working on. It is a field, as a local variable whose
	// address the plug-ins get would be allocated for each request.
	asked Query
	// listedAt is as of when the list was last known to be the newest.
	listedAt time.Time
	// firstListedAt is when the first list was taken; zero if there was none.
	firstListedAt time.Time
	// lost: the list cannot be read.
	lost bool
	// lapsedUntil is until when instances may be missing on the list because
	// their entries lapsed while it could not be read, and lapsedSince when that
	// time began; outages that follow soon on each other are one.
	lapsedUntil time.Time
	lapsedSince time.Time
}

type entry struct {
	Instance
	// inFlight counts this daemon's requests there.
	inFlight int
	health   health
	paused   time.Time
	// vanished is when the instance was last confirmed to be on the list, if it is
	// missing there now; zero while it is listed.
	vanished time.Time
}

// NewPool returns an empty pool.
func NewPool(random *rand.Rand, plugins Plugins) *Pool {
	return &Pool{
		plugins:      plugins,
		random:       random,
		byID:         map[string]*entry{},
		latestRuns:   map[string]*latestRun{},
		byService:    map[string][]*entry{},
		paces:        paces{},
		serviceTimes: map[string]time.Duration{},
	}
}

// Replace takes the list of all instances there are; an instance that is not
// on it is a last resort for vanishedLife, and then gone. It returns the
// addresses that no instance has any more, or that a later run has.
func (p *Pool) Replace(list []Instance) (gone []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	newAt := now
	if p.firstListedAt.IsZero() {
		p.firstListedAt, p.listedAt = now, now
		newAt = time.Time{}
	}
	seen := map[string]bool{}
	addresses := map[string]bool{}
	for _, instance := range list {
		addresses[instance.Address] = true
		instance.ReceivedAt, instance.FirstSeenAt = now, newAt
		id, left := p.update(instance)
		seen[id] = true
		gone = append(gone, left...)
	}
	for _, address := range p.dropUnlisted(seen, now) {
		if !addresses[address] {
			gone = append(gone, address)
		}
	}
	p.index()
	return gone
}

// update takes a listed instance, unless something newer is known of it. It returns the ID of
// the run that it counts as, and the addresses that were left.
func (p *Pool) update(instance Instance) (id string, left []string) {
	id, ended := p.noteRun(&instance)
	if ended != nil {
		left = append(left, ended.Address)
	}
	known := p.byID[id]
	if known == nil {
		known = &entry{}
		p.byID[id] = known
	}
	known.vanished = time.Time{}
	if instance.ID != id || instance.Sequence < known.Sequence {
		return id, left
	}
	if known.ID != "" {
		instance.FirstSeenAt = known.FirstSeenAt
		if instance.Sequence == known.Sequence {
			instance.ReceivedAt = known.ReceivedAt
		}
		if instance.Address != known.Address {
			left = append(left, known.Address)
		}
	}
	known.Instance = instance
	return id, left
}

// dropUnlisted forgets the instances that are missing on the list and may not
// serve any more, and returns their addresses.
func (p *Pool) dropUnlisted(listed map[string]bool, now time.Time) (addresses []string) {
	for id, known := range p.byID {
		if listed[id] {
			continue
		}
		if known.vanished.IsZero() {
			known.vanished = p.listedAt
		}
		if !p.mayServe(known, now) {
			delete(p.byID, id)
			p.forgetRun(known)
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// index sorts the instances by service.
func (p *Pool) index() {
	clear(p.byService)
	for _, e := range p.byID {
		p.byService[e.Service] = append(p.byService[e.Service], e)
	}
	for _, list := range p.byService {
		slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Loads returns the requests of this daemon at each instance that has any.
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

// InFlight counts this daemon's requests at the instances of a zone.
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

// Census tells how many instances of a service there are for a request.
type Counts struct {
	// Admitted instances may get the request.
	Admitted int
	// Filtered counts those that could serve, by why a filter turns them down.
	Filtered map[string]int
	// Temporary counts those of them that are turned down for some seconds at most.
	TemporarilyFiltered int
}

// Count returns how many instances of a request's service may get it, those that are
// excluded included. A request that is kept to one instance has that one alone.
func (p *Pool) Count(query Query) Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	census := Counts{Filtered: map[string]int{}}
	now := time.Now()
	for _, e := range p.byService[query.Service] {
		if !p.mayServe(e, now) || (query.Only != "" && e.ID != query.Only) {
			continue
		}
		if filter := p.plugins.filteredBy(&query, &e.Instance, now); filter != nil {
			census.Filtered[filter.Reason()]++
			if _, temporary := filter.(TemporaryFilter); temporary {
				census.TemporarilyFiltered++
			}
			continue
		}
		census.Admitted++
	}
	return census
}
