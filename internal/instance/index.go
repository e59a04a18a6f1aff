package instance

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// serviceIndex orders the instances of one service. A change costs a binary search in each order.
type serviceIndex struct {
	// entries are all instances, ordered by ID.
	entries []*entry
	// rings are the instances of each zone, ordered by the hash of their IDs. zones are the names of
	// the rings, ordered.
	rings map[string][]*entry
	zones []string
	// versions are the indexes of the instances with each software version; nil in these indexes
	// themselves.
	versions map[string]*serviceIndex
}

func newServiceIndex() *serviceIndex {
	index := newVersionIndex()
	index.versions = map[string]*serviceIndex{}
	return index
}

func newVersionIndex() *serviceIndex { return &serviceIndex{rings: map[string][]*entry{}} }

// ofVersion returns the index of the instances with a software version, which it adds if there is
// none.
func (s *serviceIndex) ofVersion(version string) *serviceIndex {
	index := s.versions[version]
	if index == nil {
		index = newVersionIndex()
		s.versions[version] = index
	}
	return index
}

func compareIDs(a, b *entry) int { return strings.Compare(a.ID, b.ID) }

func compareHashes(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.ID, b.ID))
}

// hashOfID returns the position of an instance in the ring of its zone.
func hashOfID(id string) uint64 { return xxhash.Sum64String(id) }

func (s *serviceIndex) add(e *entry) {
	s.entries = insertSorted(s.entries, e, compareIDs)
	if _, known := s.rings[e.Zone]; !known {
		place, _ := slices.BinarySearch(s.zones, e.Zone)
		s.zones = slices.Insert(s.zones, place, e.Zone)
	}
	s.rings[e.Zone] = insertSorted(s.rings[e.Zone], e, compareHashes)
	if s.versions != nil {
		s.ofVersion(e.Version).add(e)
	}
}

func (s *serviceIndex) remove(e *entry) {
	s.removeFromVersion(e)
	s.entries = deleteSorted(s.entries, e, compareIDs)
	ring := deleteSorted(s.rings[e.Zone], e, compareHashes)
	if len(ring) > 0 {
		s.rings[e.Zone] = ring
		return
	}
	delete(s.rings, e.Zone)
	if place, found := slices.BinarySearch(s.zones, e.Zone); found {
		s.zones = slices.Delete(s.zones, place, place+1)
	}
}

func (s *serviceIndex) removeFromVersion(e *entry) {
	index := s.versions[e.Version]
	if index == nil {
		return
	}
	index.remove(e)
	if len(index.entries) == 0 {
		delete(s.versions, e.Version)
	}
}

func insertSorted(list []*entry, e *entry, compare func(a, b *entry) int) []*entry {
	place, _ := slices.BinarySearchFunc(list, e, compare)
	return slices.Insert(list, place, e)
}

func deleteSorted(list []*entry, e *entry, compare func(a, b *entry) int) []*entry {
	place, found := slices.BinarySearchFunc(list, e, compare)
	if !found {
		return list
	}
	return slices.Delete(list, place, place+1)
}

// segment returns up to count entries of a ring from the given position on, as the part up to the
// end of the ring and the part from its start.
func segment(ring []*entry, position uint64, count int) (first, wrapped []*entry) {
	start, _ := slices.BinarySearchFunc(ring, position, func(e *entry, at uint64) int { return cmp.Compare(e.hash, at) })
	count = min(count, len(ring))
	first = ring[start:min(start+count, len(ring))]
	return first, ring[:count-len(first)]
}

// append adds an entry whose place sort finds.
func (s *serviceIndex) append(e *entry) {
	s.entries = append(s.entries, e)
	s.rings[e.Zone] = append(s.rings[e.Zone], e)
	if s.versions != nil {
		s.ofVersion(e.Version).append(e)
	}
}

// sort orders entries that were appended.
func (s *serviceIndex) sort() {
	slices.SortFunc(s.entries, compareIDs)
	for zone, ring := range s.rings {
		slices.SortFunc(ring, compareHashes)
		s.zones = append(s.zones, zone)
	}
	slices.Sort(s.zones)
	for _, index := range s.versions {
		index.sort()
	}
}

// suspendIndex stops the upkeep of the index until rebuildIndex.
func (p *Pool) suspendIndex() { p.byService = nil }

// rebuildIndex builds the index anew.
func (p *Pool) rebuildIndex() {
	p.byService = map[string]*serviceIndex{}
	for _, e := range p.byID {
		service := p.byService[e.Service]
		if service == nil {
			service = newServiceIndex()
			p.byService[e.Service] = service
		}
		e.hash = hashOfID(e.ID)
		service.append(e)
	}
	for _, service := range p.byService {
		service.sort()
	}
}

// index adds an entry to the index of its service.
func (p *Pool) index(e *entry) {
	if p.byService == nil {
		return // rebuildIndex adds it
	}
	service := p.byService[e.Service]
	if service == nil {
		service = newServiceIndex()
		p.byService[e.Service] = service
	}
	e.hash = hashOfID(e.ID)
	service.add(e)
}

// unindex removes an entry from the index of its service.
func (p *Pool) unindex(e *entry) {
	service := p.byService[e.Service]
	if service == nil {
		return
	}
	service.remove(e)
	if len(service.entries) == 0 {
		delete(p.byService, e.Service)
	}
}

// indexOf returns the index of the instances among which a query chooses, nil if there are none.
func (p *Pool) indexOf(query *Query) *serviceIndex {
	index := p.byService[query.Service]
	if index == nil || query.Version == nil {
		return index
	}
	return index.versions[*query.Version]
}

// instancesOf returns the instances among which a query chooses, ordered by ID.
func (p *Pool) instancesOf(query *Query) []*entry {
	if index := p.indexOf(query); index != nil {
		return index.entries
	}
	return nil
}
