package instance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// What counts for and against an instance when one is chosen; see cost.
const (
	// randomCost bounds the random share that spreads equal loads, in requests.
	randomCost = 0.25
	// affinityGain is what having seen the request's object counts for an
	// instance, as a share of its slots.
	affinityGain = 0.4
	// lapsedCost is what a missing entry counts against an instance after an
	// outage of the store, as a share of its slots: most of the missing ones are
	// well.
	lapsedCost = 0.3
	// vanishedCost puts vanished instances behind all that are listed.
	vanishedCost = 100
	// pausedCost puts paused instances behind all others.
	pausedCost = 1000
)

// Query tells what a request needs of an instance.
type Query struct {
	Service string
	// Preferred is the instance that lately saw the request's object, "" for
	// none.
	Preferred string
	// Object names what the request concerns; each object has an instance of
	// its own that it goes to if nothing is preferred. "" for none.
	AffinityKey string
	// Only restricts the choice to one instance, "" for no restriction.
	Only string
	// Regions are those that the request is bound to, nil for none.
	Regions []string
	// Excluded instances are passed over.
	Excluded []string
	// Bytes are what is sent with the request, as far as it is known.
	Bytes int
	// ServiceTime is how long an instance usually takes to serve a request of the
	// service, 0 if that is not known. Take sets it.
	ServiceTime time.Duration
}

// admits tells whether an instance comes into question for a query.
func (p *Pool) admits(q *Query, e *entry, now time.Time) bool {
	if q.Only != "" && e.ID != q.Only {
		return false
	}
	return p.mayServe(e, now) && !slices.Contains(q.Excluded, e.ID) && p.plugins.filteredBy(q, &e.Instance, now) == nil
}

// Take picks the instance with the lowest cost and counts the request there;
// Release ends that. It returns false when the service has none that may take
// the request.
func (p *Pool) Take(asked Query) (Instance, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.asked = asked
	query := &p.asked
	query.ServiceTime = p.serviceTimes[query.Service]
	if query.Preferred == "" && query.AffinityKey != "" {
		query.Preferred = p.homeOf(query, now)
	}
	for {
		best := p.cheapest(query, now)
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

// HasReady tells whether an instance that a query admits takes requests now, and not as a last
// resort: it is listed, not paused, and not in a zone that is left out.
func (p *Pool) HasReady(query Query, isLeftOut func(zone string) bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	return slices.ContainsFunc(p.byService[query.Service], func(e *entry) bool {
		isLastResort := now.Before(e.paused) || p.unlistedCost(e, now) >= vanishedCost || isLeftOut(e.Zone)
		return !isLastResort && p.admits(&query, e, now)
	})
}

// cheapest returns the instance with the lowest cost, nil if none is admitted.
func (p *Pool) cheapest(query *Query, now time.Time) *entry {
	var best *entry
	bestCost := 0.0
	for _, e := range p.byService[query.Service] {
		if !p.admits(query, e, now) {
			continue
		}
		cost := p.cost(e, query, now)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// homeOf returns the instance with the highest hash of itself and the object,
// so that only the objects of instances that come or go move.
func (p *Pool) homeOf(query *Query, now time.Time) string {
	home, highest := "", uint64(0)
	for _, e := range p.byService[query.Service] {
		if !p.mayServe(e, now) || p.plugins.filteredBy(query, &e.Instance, now) != nil {
			continue
		}
		if hash := xxhash.Sum64String(e.ID + "/" + query.AffinityKey); home == "" || hash > highest {
			home, highest = e.ID, hash
		}
	}
	return home
}

// cost is an instance's load per slot, corrected by what speaks for and
// against it, in shares of its slots.
func (p *Pool) cost(e *entry, query *Query, now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	cost := float64(e.inFlight) / slots
	cost += randomCost * p.random.Float64() / slots
	if e.ID == query.Preferred {
		cost -= affinityGain
	}
	cost += e.health.cost(now)
	if now.Before(e.paused) {
		cost += pausedCost
	}
	cost += p.unlistedCost(e, now)
	return cost + p.plugins.cost(query, &e.Instance, now)
}

// unlistedCost is what counts against an instance that is missing on the list.
func (p *Pool) unlistedCost(e *entry, now time.Time) float64 {
	switch {
	case e.vanished.IsZero():
		return 0
	case p.mayHaveLapsed(e, now):
		return lapsedCost
	default:
		return vanishedCost
	}
}
