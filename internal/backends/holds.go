package backends

import (
	"slices"

	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/membership"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// holdSweep counts in how many consecutive sweeps each hold was seen. A hold seen once
// may be new; one that persists is reported to its program's leader periodically.
type holdSweep struct {
	seen map[structs.EngineID]map[structs.HoldID]int
}

// reportAtSweep is the sweep in which a hold is first reported.
const reportAtSweep = 2

func newHoldSweep() holdSweep {
	return holdSweep{seen: map[structs.EngineID]map[structs.HoldID]int{}}
}

// sweepHolds periodically lists the holds on engines. Each engine is swept by one
// daemon of the whole fleet, determined by the members alone.
func (d *Directory) sweepHolds() {
	if d.isStopped() {
		return
	}
	if !d.Guards.SkipHoldSweep {
		for _, id := range d.enginesToSweep() {
			d.Drivers.Engines.Holds(id, func(holds []structs.Hold, err error) {
				if err == nil {
					d.holdsRead(id, holds)
				}
			})
		}
	}
	d.mutex.Lock()
	interval := d.Settings.HoldSweepInterval
	if !d.cells.direct {
		interval = d.Settings.LargeFleetHoldSweepInterval
	}
	d.mutex.Unlock()
	d.Clock.AfterFunc(interval, d.sweepHolds)
}

func (d *Directory) enginesToSweep() []structs.EngineID {
	var alive []structs.DaemonID
	for _, member := range d.Members.Members() {
		if member.State == membership.StateAlive {
			alive = append(alive, member.Daemon.ID)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var ids []structs.EngineID
	for _, b := range d.listedEngines() {
		if watcherOf(b.id, alive) == d.Self.ID {
			ids = append(ids, b.id)
		}
	}
	for id := range d.sweep.seen {
		if !slices.Contains(ids, id) {
			delete(d.sweep.seen, id)
		}
	}
	return ids
}

// holdsRead reports persistent holds to the leaders of their programs, which know
// whether they are still needed.
func (d *Directory) holdsRead(engine structs.EngineID, holds []structs.Hold) {
	d.mutex.Lock()
	former := d.sweep.seen[engine]
	current := map[structs.HoldID]int{}
	var reported []structs.Hold
	for _, hold := range holds {
		count := former[hold.ID] + 1
		current[hold.ID] = count
		if count%d.Settings.HoldReportEvery == reportAtSweep {
			reported = append(reported, hold)
		}
	}
	d.sweep.seen[engine] = current
	d.mutex.Unlock()
	for _, hold := range reported {
		hold.Engine = engine
		if leader := d.Router.Route(d.Router.Shard(hold.Program)).Leader; leader != "" {
			d.Transport.Send(leader, &dispatch.HoldSeen{Hold: hold})
		}
	}
}
