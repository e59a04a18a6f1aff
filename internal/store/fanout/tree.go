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
	// rootsOfZone are the daemons of a zone that read from the store: one may die while the
	// other brings a record to the zone.
	rootsOfZone = 2
	// fanOut is how many daemons ask one neighbour. 62 daemons of a zone are two steps from the
	// store, and six bundles of 1.2 MB of routes, 0.16 MB each on the wire, take a link of
	// 30 Mbit/s 0.26 s.
	fanOut = 6
)

// ranked is a daemon with its place in the order.
type ranked struct {
	id       structs.DaemonID
	capacity int
	place    uint64
}

// parentOf returns the neighbour that a daemon asks, false if it reads from the store. The tree
// is that of the members of its zone: large machines come first, so these send the most, and
// among equals a hash decides that differs with the partition. Each daemon finds the same tree
// from the same members, and whoever is asked ranks above the asker, so that no two of one view
// wait for each other.
func parentOf(self structs.Daemon, members []membership.Member, partition store.Partition) (structs.DaemonID, bool) {
	order := rank(self.Zone, members, partition)
	own := slices.IndexFunc(order, func(r ranked) bool { return r.id == self.ID })
	if own < rootsOfZone {
		return "", false
	}
	return order[(own-rootsOfZone)/fanOut].id, true
}

// rank orders the daemons of a zone.
func rank(zone structs.ZoneName, members []membership.Member, partition store.Partition) []ranked {
	var order []ranked
	for _, member := range members {
		if member.Daemon.Zone == zone {
			place := xxhash.Sum64String(partition.Space + "\n" + member.Daemon.ID.Address())
			order = append(order, ranked{member.Daemon.ID, member.Daemon.Capacity, place})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.place, b.place), cmp.Compare(a.id, b.id))
	})
	return order
}
