package membership

import (
	"cmp"
	"slices"
	"strings"
)

// ring orders all members that are not gone by the hash of their address. A
// daemon's neighbours are those at distances of 1, 2, 4, 8 and so on, both
// ways, so that a daemon in a large fleet keeps connections to few others and
// updates still cross the fleet in a logarithmic number of hops.
type ring struct {
	// members are in order of their position, this daemon included.
	members []*record
	// dirty is set when the members changed since the other fields were
	// derived.
	dirty bool
	// successors and neighbours exclude this daemon.
	successors []*record
	neighbours []*record
}

func byPosition(a, b *record) int {
	if order := cmp.Compare(a.position, b.position); order != 0 {
		return order
	}
	return strings.Compare(a.address, b.address)
}

func (r *ring) add(member *record) {
	place, _ := slices.BinarySearchFunc(r.members, member, byPosition)
	r.members = slices.Insert(r.members, place, member)
	r.dirty = true
}

func (r *ring) remove(member *record) {
	place, found := slices.BinarySearchFunc(r.members, member, byPosition)
	if found {
		r.members = slices.Delete(r.members, place, place+1)
		r.dirty = true
	}
}

// refreshRing updates the neighbours and the scaled settings after a change of
// members.
func (m *Membership) refreshRing() {
	if !m.ring.dirty {
		return
	}
	m.ring.dirty = false
	members := m.ring.members
	start := slices.Index(members, m.self)
	m.ring.successors = slices.Concat(members[start+1:], members[:start])
	m.ring.neighbours = neighboursOf(m.ring.successors)
	m.settings = m.Settings.Scaled(len(members))
	m.syncer.resize(m.settings)
}

// neighboursOf returns the members at distances of powers of two, both ways.
func neighboursOf(following []*record) []*record {
	var neighbours []*record
	for distance := 1; distance <= len(following); distance *= 2 {
		neighbours = append(neighbours, following[distance-1])
	}
	for distance := 1; distance <= len(following); distance *= 2 {
		before := following[len(following)-distance]
		if !slices.Contains(neighbours, before) {
			neighbours = append(neighbours, before)
		}
	}
	return neighbours
}

// fleetSize returns the number of members, this daemon included.
func (m *Membership) fleetSize() int { return len(m.ring.members) }

// successor returns the next member on the ring that is not suspected, nil if
// there is none. A suspected member needs no probe: it refutes the suspicion, or
// is declared dead when its timer fires.
func (m *Membership) successor() *record {
	m.refreshRing()
	for _, r := range m.ring.successors {
		if r.status != statusSuspect {
			return r
		}
	}
	return nil
}

// farNeighbour returns a neighbour beyond the successor, in turn.
func (m *Membership) farNeighbour(turn int) *record {
	m.refreshRing()
	if len(m.ring.neighbours) < 2 {
		return nil
	}
	return m.ring.neighbours[1+turn%(len(m.ring.neighbours)-1)]
}

// pickNeighbours returns up to count random neighbours that are neither
// suspected nor leftOut.
func (m *Membership) pickNeighbours(count int, leftOut *record) []*record {
	m.refreshRing()
	var candidates []*record
	for _, r := range m.ring.neighbours {
		if r != leftOut && r.status != statusSuspect {
			candidates = append(candidates, r)
		}
	}
	m.Random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}
