package instance

import (
	"slices"
	"time"
)

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

// candidates returns the instances of a query's service: all, or the only one to which the query is
// restricted.
func (p *Pool) candidates(query *Query) []*entry {
	if query.Only == "" {
		return p.instancesOf(query)
	}
	if only := p.byID[query.Only]; only != nil && only.Service == query.Service && query.admitsVersion(only.Version) {
		return []*entry{only}
	}
	return nil
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
	for _, e := range p.candidates(&query) {
		if !p.mayServe(e, now) {
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

// HasReady reports whether an instance that the query admits is more than a last resort: it
// is listed, not in backoff, and not in an excluded zone.
func (p *Pool) HasReady(query Query, isExcludedZone func(zone string) bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	return slices.ContainsFunc(p.instancesOf(&query), func(e *entry) bool {
		isLastResort := now.Before(e.backoffUntil) || p.unlistedCost(e, now) >= lastResortCost || isExcludedZone(e.Zone)
		return !isLastResort && p.admits(&query, e, now)
	})
}

// MayAdmit reports whether an instance that is not excluded may get a query's request now or,
// if only a TemporaryFilter rejects it, soon.
func (p *Pool) MayAdmit(query Query) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	return slices.ContainsFunc(p.instancesOf(&query), func(e *entry) bool {
		if !p.mayServe(e, now) || slices.Contains(query.Excluded, e.ID) {
			return false
		}
		filter := p.plugins.filteredBy(&query, &e.Instance, now)
		_, temporary := filter.(TemporaryFilter)
		return filter == nil || temporary
	})
}
