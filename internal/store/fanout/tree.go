package fanout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// rootsPerZone is the number of daemons of a zone that read from the store: if one dies, the
	// other still brings records to the zone.
	rootsPerZone = 2
	// fanOut is the number of daemons that request from one neighbour. A higher number makes the
	// tree flatter, but a neighbour sends each bundle that many times.
	fanOut = 6
)

// rankedDaemon is a daemon with its sort keys.
type rankedDaemon struct {
	id       structs.DaemonID
	capacity int
	hash     uint64
}

// parentOf returns the neighbour that a daemon requests records from, or false if it reads from the
// store. The members of its zone form a tree, ordered by capacity, so that large machines send the
// most; a hash that depends on the partition breaks ties. Daemons with the same view of the members
// compute the same tree, and a parent always ranks above its children, so that no two of them wait
// for each other.
func parentOf(self structs.Daemon, members []membership.Member, partition store.Partition) (structs.DaemonID, bool) {
	order := rank(self.Zone, members, partition)
	own := slices.IndexFunc(order, func(r rankedDaemon) bool { return r.id == self.ID })
	if own < rootsPerZone {
		return "", false
	}
	return order[(own-rootsPerZone)/fanOut].id, true
}

// rank returns the daemons of a zone in tree order.
func rank(zone structs.ZoneName, members []membership.Member, partition store.Partition) []rankedDaemon {
	var order []rankedDaemon
	for _, member := range members {
		if member.Daemon.Zone == zone {
			hash := xxhash.Sum64String(partition.Space + "\n" + member.Daemon.ID.Address())
			order = append(order, rankedDaemon{member.Daemon.ID, member.Daemon.Capacity, hash})
		}
	}
	slices.SortFunc(order, func(a, b rankedDaemon) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	return order
}
