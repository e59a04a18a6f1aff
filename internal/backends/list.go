package backends

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func (d *Directory) readList() {
	if d.isStopped() {
		return
	}
	d.mutex.Lock()
	since := d.view.next(d.Settings.FullListEvery)
	d.mutex.Unlock()
	d.Drivers.Machines.List(since, func(reading framework.ListResponse, err error) {
		if err == nil {
			d.takeReading(reading)
		}
		d.Clock.AfterFunc(d.listInterval(), d.readList)
	})
}

// takeReading joins a reading to the list and acts on what it shows.
func (d *Directory) takeReading(reading framework.ListResponse) {
	d.mutex.Lock()
	changed, err := d.view.take(reading)
	var machines []structs.Machine
	if changed {
		machines = d.view.machines()
	}
	d.mutex.Unlock()
	switch {
	case err != nil:
		d.Logger.Warn().Err(err).Msg("Machine list is read anew.")
	case changed:
		d.update(machines)
	default:
		d.unchanged()
	}
}

func (d *Directory) listInterval() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.cells.direct {
		return d.Settings.ListInterval
	}
	return d.Settings.LargeFleetListInterval
}

// update takes a list that changed.
func (d *Directory) update(machines []structs.Machine) {
	d.mutex.Lock()
	present := map[structs.EngineID]bool{}
	for _, machine := range machines {
		if machine.Kind == structs.MachineDaemon {
			continue
		}
		id := structs.EngineID(machine.Address)
		present[id] = true
		d.list(id, machine)
	}
	gone := d.unlist(present)
	d.mutex.Unlock()
	for _, id := range gone {
		d.Scheduler.RemoveEngine(id)
	}
	d.OnList(machines)
	d.assignCells()
	d.refresh()
	d.pollNew()
}

// unchanged takes a list that shows what it showed before: who was leaving
// still is, and who is not listed may be forgotten.
func (d *Directory) unchanged() {
	d.mutex.Lock()
	now := d.Clock.Now()
	for id, b := range d.backEnds {
		switch {
		case b.listed && b.machine.State == structs.MachineLeaving:
			b.listedBadAt = now
		case !b.listed && now.Sub(b.listedBadAt) >= d.Settings.ListHoldDown:
			delete(d.backEnds, id)
		}
	}
	d.mutex.Unlock()
	d.OnListUnchanged()
	d.refresh()
	d.pollNew()
}

// list takes one row.
func (d *Directory) list(id structs.EngineID, machine structs.Machine) {
	b := d.backEnds[id]
	if b == nil {
		b = &backEnd{id: id}
		d.backEnds[id] = b
	}
	b.machine = machine
	b.listed = true
	if machine.State == structs.MachineLeaving {
		b.listedBadAt = d.Clock.Now()
	}
}

// unlist marks back ends that are no longer listed, and forgets those that
// have been so for a while. It returns, in order, those that are newly gone.
func (d *Directory) unlist(present map[structs.EngineID]bool) []structs.EngineID {
	now := d.Clock.Now()
	var gone []structs.EngineID
	for id, b := range d.backEnds {
		switch {
		case present[id]:
		case b.listed:
			b.listed = false
			b.isKnown = false
			b.listedBadAt = now
			gone = append(gone, id)
		case now.Sub(b.listedBadAt) >= d.Settings.ListHoldDown:
			delete(d.backEnds, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// refresh brings the scheduler up to what time and news have changed.
func (d *Directory) refresh() {
	for _, id := range d.unused() {
		d.Scheduler.RemoveEngine(id)
	}
	for _, id := range d.used() {
		d.tell(id)
	}
}

// used lists the engines that this daemon gives work to, in order.
func (d *Directory) used() []structs.EngineID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var ids []structs.EngineID
	for id, b := range d.backEnds {
		if b.listed && b.isEngine() && d.uses(b) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// unused lists, in order, the engines that the scheduler was told of and that
// this daemon no longer uses, and notes that they are taken back.
func (d *Directory) unused() []structs.EngineID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var ids []structs.EngineID
	for id, b := range d.backEnds {
		if b.isKnown && !d.uses(b) {
			b.isKnown = false
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
