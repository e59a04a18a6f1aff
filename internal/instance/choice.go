package instance

import (
	"slices"
	"time"
)

// Parts of the cost of an instance; see Pool.cost.
const (
	// randomCost limits the random part that spreads requests over equally loaded
	// instances, in requests.
	randomCost = 0.25
	// affinityGain is subtracted for the preferred instance of a query, as a fraction of
	// its slots.
	affinityGain = 0.4
	// possiblyExpiredCost is added for an instance that is missing from the list after an
	// outage of the store, as a fraction of its slots: most of these are running.
	possiblyExpiredCost = 0.3
	// lastResortCost ranks unlisted instances behind all that are listed.
	lastResortCost = 100
	// backoffCost ranks instances in backoff behind all others.
	backoffCost = 1000
)

// Query describes the request for which an instance is chosen.
type Query struct {
	Service string
	// Preferred is the ID of the instance to prefer, such as the one that served the session
	// before; "" for none.
	Preferred string
	// AffinityKey identifies what the request is about. Without a preferred instance,
	// requests with the same key go to the same instance, by rendezvous hashing. "" for
	// none.
	AffinityKey string
	// Only is the ID of the only instance that may be chosen, "" for no restriction.
	Only string
	// Version is the software version that the instance must run, nil for any.
	Version *string
	// Regions are the regions to which the request is restricted, nil for no restriction.
	Regions []string
	// Excluded holds the IDs of instances that must not be chosen.
	Excluded []string
	// Bytes is the size of the request, as far as it is known.
	Bytes int
	// ServiceTime is how long an instance typically takes to serve a request of the
	// service, 0 if unknown. Take sets it.
	ServiceTime time.Duration
}

// admitsVersion reports whether an instance with a software version may be chosen.
func (q *Query) admitsVersion(version string) bool { return q.Version == nil || *q.Version == version }

// admits reports whether an instance may be chosen for a query.
func (p *Pool) admits(q *Query, e *entry, now time.Time) bool {
	if q.Only != "" && e.ID != q.Only || !q.admitsVersion(e.Version) {
		return false
	}
	return p.mayServe(e, now) && !slices.Contains(q.Excluded, e.ID) && p.plugins.filteredBy(q, &e.Instance, now) == nil
}

// Take chooses the instance with the lowest cost and counts the request as in flight there
// until Release. It returns false if no instance of the service may get the request.
func (p *Pool) Take(requested Query) (Instance, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.currentQuery = requested
	query := &p.currentQuery
	query.ServiceTime = p.serviceTimes[query.Service]
	for {
		best := p.prefer(query, now)
		if best == nil {
			return Instance{}, false
		}
		if sendBy, reserved := p.plugins.reserve(&best.Instance, now); reserved {
			best.inFlight++
			taken := best.Instance
			taken.SendBy = sendBy
			return taken, true
		}
		query.Excluded = append(slices.Clip(query.Excluded), best.ID)
	}
}

// prefer returns the instance to choose for a query, nil if none is admitted.
func (p *Pool) prefer(query *Query, now time.Time) *entry {
	isLarge := query.Only == "" && len(p.instancesOf(query)) > scanLimit
	if query.Preferred == "" && query.AffinityKey != "" && !isLarge {
		query.Preferred = p.rendezvousInstance(query, now)
	}
	return p.choose(query, isLarge, now)
}

// choose returns the instance with the lowest cost among the candidates, nil if none is admitted.
// The candidates are all instances, or a part of them if there are many.
func (p *Pool) choose(query *Query, isLarge bool, now time.Time) *entry {
	if isLarge {
		return p.chooseNear(query, now)
	}
	var best cheapest
	if query.Only != "" {
		if only := p.byID[query.Only]; only != nil && only.Service == query.Service {
			p.consider(&best, only, query, now)
		}
		return best.entry
	}
	for _, e := range p.instancesOf(query) {
		p.consider(&best, e, query, now)
	}
	return best.entry
}

// cheapest is the candidate with the lowest cost so far.
type cheapest struct {
	entry *entry
	cost  float64
}

// consider makes an instance the best candidate if it is admitted and cheaper.
func (p *Pool) consider(best *cheapest, e *entry, query *Query, now time.Time) {
	if !p.admits(query, e, now) {
		return
	}
	if cost := p.cost(e, query, now); best.entry == nil || cost < best.cost {
		*best = cheapest{entry: e, cost: cost}
	}
}

// rendezvousInstance returns the ID of the instance that rendezvous hashing selects for the
// query's affinity key. When an instance is added or removed, only the keys that it gains
// or loses move.
func (p *Pool) rendezvousInstance(query *Query, now time.Time) string {
	best, highest := "", uint64(0)
	for _, e := range p.instancesOf(query) {
		if !p.mayServe(e, now) || p.plugins.filteredBy(query, &e.Instance, now) != nil {
			continue
		}
		if hash := p.affinityHash(e.ID, query.AffinityKey); best == "" || hash > highest {
			best, highest = e.ID, hash
		}
	}
	return best
}

// affinityHash returns the score of an instance for an affinity key.
func (p *Pool) affinityHash(id, key string) uint64 {
	p.digest.Reset()
	_, _ = p.digest.WriteString(id) // never fails
	_, _ = p.digest.WriteString("/")
	_, _ = p.digest.WriteString(key)
	return p.digest.Sum64()
}

// cost returns an instance's load per slot plus all corrections, as a fraction of its
// slots.
func (p *Pool) cost(e *entry, query *Query, now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	cost := float64(e.inFlight) / slots
	cost += randomCost * p.random.Float64() / slots
	if e.ID == query.Preferred {
		cost -= affinityGain
	}
	cost += e.health.cost(now)
	if now.Before(e.backoffUntil) {
		cost += backoffCost
	}
	cost += p.unlistedCost(e, now)
	return cost + p.plugins.cost(query, &e.Instance, now)
}

// unlistedCost returns the part of the cost for an instance that is missing from the list.
func (p *Pool) unlistedCost(e *entry, now time.Time) float64 {
	switch {
	case e.unlistedSince.IsZero():
		return 0
	case p.mayHaveExpired(e, now):
		return possiblyExpiredCost
	default:
		return lastResortCost
	}
}
