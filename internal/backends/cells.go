package backends

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// cells is the division of a large fleet that bounds what each daemon has to know.
// Daemons and engines of a region are assigned to cells by the hash of their
// addresses; a daemon uses the engines of its own cell, from all zones of the region.
// Within a cell each engine is polled by one daemon, its watcher, which sends
// summaries of its reports to the others. A small fleet is a single cell in which
// every daemon polls every engine.
type cells struct {
	// direct is set in a small fleet.
	direct bool
	// peers are the other daemons of the cell.
	peers []structs.DaemonID
	// watched are the engines that this daemon polls, used those of its cell, both in
	// order. They are empty in a small fleet.
	watched []structs.EngineID
	used    []structs.EngineID
	// contacts are one daemon of each other cell, those of the own region first.
	contacts []structs.DaemonID
}

// cellKey identifies a cell.
type cellKey struct {
	region structs.RegionName
	number uint64
}

// watches reports whether this daemon polls an engine.
func (c cells) watches(id structs.EngineID) bool {
	if c.direct {
		return true
	}
	_, found := slices.BinarySearch(c.watched, id)
	return found
}

// uses reports whether this daemon sends work to an engine. The mutex must be held.
func (d *Directory) uses(b *backEnd) bool {
	if d.cells.direct {
		return true
	}
	_, found := slices.BinarySearch(d.cells.used, b.id)
	return found || b.borrowed(d.Clock.Now())
}

// assignCells divides the fleet by its current members and engines.
func (d *Directory) assignCells() cells {
	members := d.Members.Members()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engines := d.listedEngines()
	d.cells = d.divide(members, engines)
	return d.cells
}

// listedEngines returns the listed engines in order. The mutex must be held.
func (d *Directory) listedEngines() []*backEnd {
	var engines []*backEnd
	for _, b := range d.backEnds {
		if b.listed && b.isEngine() {
			engines = append(engines, b)
		}
	}
	slices.SortFunc(engines, func(a, b *backEnd) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return engines
}

func (d *Directory) divide(members []membership.Member, engines []*backEnd) cells {
	if len(members) <= d.Settings.DirectDaemons && len(engines) <= d.Settings.DirectEngines {
		return cells{direct: true, peers: others(daemonsOf(members), d.Self.ID)}
	}
	regional := slices.DeleteFunc(slices.Clone(engines), func(b *backEnd) bool { return b.machine.Region != d.Self.Region })
	if len(regional) == 0 {
		regional = engines
	}
	counts := d.cellCounts(members)
	byCell := map[cellKey][]structs.DaemonID{}
	for _, member := range members {
		key := cellKey{member.Daemon.Region, cellOf(member.Daemon.ID.Address(), counts[member.Daemon.Region])}
		byCell[key] = append(byCell[key], member.Daemon.ID)
	}
	count := counts[d.Self.Region]
	own := cellKey{d.Self.Region, cellOf(d.Self.ID.Address(), count)}
	cell := byCell[own]
	division := cells{peers: others(cell, d.Self.ID), contacts: d.contactsOf(byCell, own)}
	for _, b := range regional {
		if cellOf(string(b.id), count) == own.number {
			division.used = append(division.used, b.id)
		}
	}
	for position, daemon := range assignWatchers(division.used, cell) {
		if daemon == d.Self.ID {
			division.watched = append(division.watched, division.used[position])
		}
	}
	return division
}

// cellCounts returns the number of cells of each region.
func (d *Directory) cellCounts(members []membership.Member) map[structs.RegionName]uint64 {
	daemons := map[structs.RegionName]int{}
	for _, member := range members {
		daemons[member.Daemon.Region]++
	}
	counts := map[structs.RegionName]uint64{d.Self.Region: 1}
	for region, number := range daemons {
		counts[region] = d.cellCount(number)
	}
	return counts
}

// cellCount returns a power of two, so that it rarely changes with the size of the
// fleet.
func (d *Directory) cellCount(daemons int) uint64 {
	quotient := uint(daemons / d.Settings.CellDaemons)
	if quotient == 0 {
		return 1
	}
	return 1 << (bits.Len(quotient) - 1)
}

func cellOf(address string, count uint64) uint64 { return xxhash.Sum64String(address) % count }

func daemonsOf(members []membership.Member) []structs.DaemonID {
	ids := make([]structs.DaemonID, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.Daemon.ID)
	}
	return ids
}

func others(ids []structs.DaemonID, self structs.DaemonID) []structs.DaemonID {
	return slices.DeleteFunc(slices.Clone(ids), func(id structs.DaemonID) bool { return id == self })
}
