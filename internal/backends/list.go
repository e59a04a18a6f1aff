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
	since := d.machineList.nextBase(d.Settings.FullListEvery)
	d.mutex.Unlock()
	d.Drivers.Machines.List(since, func(reading framework.ListReading, err error) {
		if err == nil {
			d.applyListRead(reading)
		}
		d.Clock.AfterFunc(d.listInterval(), d.readList)
	})
}

// takeReading joins a reading to the list and acts on what it shows.
func (d *Directory) applyListRead(reading framework.ListReading) {
	d.mutex.Lock()
	changed, err := d.machineList.apply(reading)
	var machines []structs.Machine
	if changed {
		machines = d.machineList.machines()
	}
	d.mutex.Unlock()
	switch {
	case err != nil:
		d.Logger.Warn().Err(err).Msg("Machine list is read anew.")
	case changed:
		d.listChanged(machines)
	default:
		d.listUnchanged()
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
func (d *Directory) listChanged(machines []structs.Machine) {
	d.mutex.Lock()
	present := map[structs.EngineID]bool{}
	for _, machine := range machines {
		if machine.Kind == structs.MachineDaemon {
			continue
		}
		id := structs.EngineID(machine.Address)
		present[id] = true
		d.addListed(id, machine)
	}
	gone := d.removeUnlisted(present)
	d.mutex.Unlock()
	for _, id := range gone {
		d.Scheduler.RemoveEngine(id)
	}
	d.OnList(machines)
	d.assignCells()
	d.refresh()
	d.pollUnread()
}

// unchanged takes a list that shows what it showed before: who was leaving
// still is, and who is not listed may be forgotten.
func (d *Directory) listUnchanged() {
	d.mutex.Lock()
	now := d.Clock.Now()
	for id, b := range d.backEnds {
		switch {
		case b.listed && b.machine.State == structs.MachineLeaving:
			b.lastBadListingAt = now
		case !b.listed && now.Sub(b.lastBadListingAt) >= d.Settings.ListHoldDown:
			delete(d.backEnds, id)
		}
	}
	d.mutex.Unlock()
	d.OnListUnchanged()
	d.refresh()
	d.pollUnread()
}

// list takes one row.
func (d *Directory) addListed(id structs.EngineID, machine structs.Machine) {
	b := d.backEnds[id]
	if b == nil {
		b = &backEnd{id: id}
		d.backEnds[id] = b
	}
	b.machine = machine
	b.listed = true
	if machine.State == structs.MachineLeaving {
		b.lastBadListingAt = d.Clock.Now()
	}
}

// unlist marks back ends that are no longer listed, and forgets those that
// have been so for a while. It returns, in order, those that are newly gone.
func (d *Directory) removeUnlisted(present map[structs.EngineID]bool) []structs.EngineID {
	now := d.Clock.Now()
	var gone []structs.EngineID
	for id, b := range d.backEnds {
		switch {
		case present[id]:
		case b.listed:
			b.listed = false
			b.inScheduler = false
			b.lastBadListingAt = now
			gone = append(gone, id)
		case now.Sub(b.lastBadListingAt) >= d.Settings.ListHoldDown:
			delete(d.backEnds, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// refresh brings the scheduler up to what time and news have changed.
func (d *Directory) refresh() {
	for _, id := range d.withdrawUnused() {
		d.Scheduler.RemoveEngine(id)
	}
	for _, id := range d.usedEngines() {
		d.updateScheduler(id)
	}
}

// used lists the engines that this daemon gives work to, in order.
func (d *Directory) usedEngines() []structs.EngineID {
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
func (d *Directory) withdrawUnused() []structs.EngineID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var ids []structs.EngineID
	for id, b := range d.backEnds {
		if b.inScheduler && !d.uses(b) {
			b.inScheduler = false
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
