package instance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullPause is how long an instance that said it is full is passed over
	// where another can be had.
	fullPause = 60 * time.Millisecond
	// otherZoneCost is what another zone counts against an instance, in
	// requests of its load.
	otherZoneCost = 0.3
	// affinityGain is what having seen the request's object counts for an
	// instance, as a share of its slots.
	affinityGain = 0.4
	// pausedCost puts paused instances behind all others.
	pausedCost = 1000
	// vanishedLife is how long an instance is a last resort that is not on the
	// list any more. While the store is down entries lapse of instances that
	// are well, and they are written anew only after it is back. It must stay
	// below the time that instances serve on after they were taken off.
	vanishedLife = 1200 * time.Millisecond
	// vanishedCost puts vanished instances behind all that are listed.
	vanishedCost = 100
	// lapsedLife is how long after the store's return instances are still tried
	// that are missing on the list: entries of those that are well lapse in an
	// outage and are written anew within about two seconds of its end.
	lapsedLife = 2200 * time.Millisecond
	// lapsedCost is what a missing entry counts against an instance meanwhile, as
	// a share of its slots: most of the missing ones are well.
	lapsedCost = 0.3
)

// Pool keeps the instances of all services. It is safe for concurrent use.
type Pool struct {
	zone   string
	mutex  sync.Mutex
	random *rand.Rand
	byID   map[string]*entry
	// byService holds the instances of each service, in order of ID.
	byService map[string][]*entry
	paces     paces
	// listedAt is when the list was last known to be the newest; zero if there
	// was none.
	listedAt time.Time
	// firstListedAt is when the first list was taken.
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
	// vanished is when the instance was first missing on the list; zero while
	// it is listed.
	vanished time.Time
}

// mayServe tells whether an instance may get requests.
func (p *Pool) mayServe(e *entry, now time.Time) bool {
	switch {
	case e.State != StateReady:
		return false
	case e.vanished.IsZero(), p.mayHaveLapsed(e, now):
		return true
	}
	return now.Sub(e.vanished) < vanishedLife
}

// mayHaveLapsed tells whether an instance that is missing on the list may be
// well: its entry may have lapsed in an outage. One that was taken off before is
// leaving.
func (p *Pool) mayHaveLapsed(e *entry, now time.Time) bool {
	return p.isListUncertain(now) && !e.vanished.Before(p.lapsedSince)
}

// isListUncertain tells whether instances that are well may be missing on the
// list: nobody can know while it cannot be read and shortly after.
func (p *Pool) isListUncertain(now time.Time) bool {
	return p.lost || now.Before(p.lapsedUntil)
}

// IsUncertain tells whether instances may be running that this daemon does not
// know of: before the first list, while none can be read, and shortly after.
func (p *Pool) IsUncertain() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	isNew := now.Sub(p.firstListedAt) < lapsedLife // the first list may have followed an outage
	return isNew || p.isListUncertain(now)
}

// NoteLost takes note that the list cannot be read any more.
func (p *Pool) NoteLost() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if !now.Before(p.lapsedUntil) {
		p.lapsedSince = now
	}
	p.lost = true
}

// NoteReturned takes note that the list can be read again.
func (p *Pool) NoteReturned() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lost = false
	p.lapsedUntil = time.Now().Add(lapsedLife)
}

// NewPool returns an empty pool for a daemon in a zone.
func NewPool(zone string, random *rand.Rand) *Pool {
	return &Pool{
		zone:      zone,
		random:    random,
		byID:      map[string]*entry{},
		byService: map[string][]*entry{},
		paces:     paces{},
	}
}

// Replace takes the list of all instances there are; an instance that is not
// on it is a last resort for vanishedLife, and then gone. It returns the addresses that nobody has any more.
func (p *Pool) Replace(list []Instance) (gone []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if p.firstListedAt.IsZero() {
		p.firstListedAt = now
	}
	p.listedAt = now
	seen := map[string]bool{}
	addresses := map[string]bool{}
	for _, instance := range list {
		seen[instance.ID] = true
		addresses[instance.Address] = true
		known := p.byID[instance.ID]
		if known == nil {
			known = &entry{}
			p.byID[instance.ID] = known
		}
		known.vanished = time.Time{}
		if instance.Sequence < known.Sequence {
			continue
		}
		known.Instance = instance
	}
	for id, known := range p.byID {
		if seen[id] {
			continue
		}
		if known.vanished.IsZero() {
			known.vanished = now
		}
		if p.mayServe(known, now) {
			continue
		}
		delete(p.byID, id)
		if !addresses[known.Address] {
			gone = append(gone, known.Address)
		}
	}
	p.index()
	return gone
}

func (p *Pool) index() {
	clear(p.byService)
	for _, e := range p.byID {
		p.byService[e.Service] = append(p.byService[e.Service], e)
	}
	for _, list := range p.byService {
		slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Listed tells whether a list was ever taken.
func (p *Pool) Listed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.listedAt.IsZero()
}

// Confirm takes note that the last list is still the newest.
func (p *Pool) Confirm() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.listedAt.IsZero() {
		p.listedAt = time.Now()
	}
}

// Age tells how long ago the list was known to be the newest.
func (p *Pool) Age() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.listedAt.IsZero() {
		return 0
	}
	return time.Since(p.listedAt)
}

// Query tells what a request needs of an instance.
type Query struct {
	Service string
	// Preferred is the instance that lately saw the request's object, "" for
	// none.
	Preferred string
	// Object names what the request concerns; each object has an instance of
	// its own that it goes to if nothing is preferred. "" for none.
	Object string
	// Only restricts the choice to one instance, "" for no restriction.
	Only string
	// Excluded instances are passed over.
	Excluded []string
}

// admits tells whether an instance comes into question for a query.
func (p *Pool) admits(q *Query, e *entry, now time.Time) bool {
	if q.Only != "" && e.ID != q.Only {
		return false
	}
	return p.mayServe(e, now) && !slices.Contains(q.Excluded, e.ID)
}

// Take picks the instance with the lowest cost and counts the request there;
// Release ends that. It returns false when the service has none that may take
// the request.
func (p *Pool) Take(query Query) (Instance, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if query.Preferred == "" && query.Object != "" {
		query.Preferred = p.homeOf(query, now)
	}
	var best *entry
	bestCost := 0.0
	for _, e := range p.byService[query.Service] {
		if !p.admits(&query, e, now) {
			continue
		}
		cost := p.cost(e, query, now)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Instance{}, false
	}
	best.inFlight++
	return best.Instance, true
}

// homeOf returns the instance with the highest hash of itself and the object,
// so that only the objects of instances that come or go move.
func (p *Pool) homeOf(query Query, now time.Time) string {
	home, highest := "", uint64(0)
	for _, e := range p.byService[query.Service] {
		if !p.mayServe(e, now) {
			continue
		}
		if hash := xxhash.Sum64String(e.ID + "/" + query.Object); home == "" || hash > highest {
			home, highest = e.ID, hash
		}
	}
	return home
}

// cost is an instance's load per slot, corrected by what speaks for and
// against it, in shares of its slots.
func (p *Pool) cost(e *entry, query Query, now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	cost := float64(e.inFlight) / slots
	cost += p.random.Float64() / slots / 4
	if e.Zone != p.zone {
		cost += otherZoneCost / slots
	}
	if e.ID == query.Preferred {
		cost -= affinityGain
	}
	cost += e.health.cost(now)
	if now.Before(e.paused) {
		cost += pausedCost
	}
	switch {
	case e.vanished.IsZero():
	case p.mayHaveLapsed(e, now):
		cost += lapsedCost
	default:
		cost += vanishedCost
	}
	if e.ColdFor > 0 {
		cost += 1 / slots
	}
	return cost
}

// Outcome is what became of a request at an instance.
type Outcome int

// Outcomes.
const (
	// OutcomeAnswered: it answered as it should.
	OutcomeAnswered Outcome = iota
	// OutcomeFull: it took no more requests.
	OutcomeFull
	// OutcomeFailed: it could not be reached or broke off.
	OutcomeFailed
	// OutcomeGone: another instance has its address, or it is leaving.
	OutcomeGone
	// OutcomeSilent: it said nothing for all the time that the request had.
	OutcomeSilent
	// OutcomeGivenUp: this side ended the request.
	OutcomeGivenUp
)

// Release ends a request that Take counted.
func (p *Pool) Release(id string, outcome Outcome) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e := p.byID[id]
	if e == nil {
		return
	}
	e.inFlight--
	now := time.Now()
	switch outcome {
	case OutcomeFull:
		e.pauseUntil(now.Add(fullPause))
	case OutcomeFailed, OutcomeSilent:
		e.pauseUntil(now.Add(e.health.fail(now)))
	case OutcomeGone:
		e.State = StateLeaving
	}
}

// pauseUntil passes the instance over until then, or later if it is anyhow.
func (e *entry) pauseUntil(until time.Time) {
	if until.After(e.paused) {
		e.paused = until
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

// Count returns how many instances of a service may get requests.
func (p *Pool) Count(service string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	now := time.Now()
	for _, e := range p.byService[service] {
		if p.mayServe(e, now) {
			count++
		}
	}
	return count
}
