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
	d.Drivers.Machines.List(since, func(reading framework.ListResponse, err error) {
		if err == nil {
			d.applyListRead(reading)
		}
		d.Clock.AfterFunc(d.listInterval(), d.readList)
	})
}

// applyListRead merges a read into the list and acts on the changes.
func (d *Directory) applyListRead(reading framework.ListResponse) {
	d.mutex.Lock()
	changed, err := d.machineList.apply(reading)
	var machines []structs.Machine
	if changed {
		machines = d.machineList.machines()
	}
	d.mutex.Unlock()
	switch {
	case err != nil:
		d.Logger.Warn().Err(err).Msg("Machine list does not follow from the last read. The whole list is read.")
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

// listChanged applies a list that differs from the former one.
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
	unlisted := d.removeUnlisted(present)
	d.mutex.Unlock()
	for _, id := range unlisted {
		d.Scheduler.RemoveEngine(id)
	}
	d.OnList(machines)
	d.assignCells()
	d.refresh()
	d.pollUnread()
}

// listUnchanged renews the hold-down of back ends that are still listed as leaving,
// and removes unlisted ones after theirs.
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

// addListed adds or updates a listed back end.
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

// removeUnlisted marks back ends that are no longer listed, and removes those whose
// hold-down has passed. It returns the newly unlisted ones, in order.
func (d *Directory) removeUnlisted(present map[structs.EngineID]bool) []structs.EngineID {
	now := d.Clock.Now()
	var unlisted []structs.EngineID
	for id, b := range d.backEnds {
		switch {
		case present[id]:
		case b.listed:
			b.listed = false
			b.inScheduler = false
			b.lastBadListingAt = now
			unlisted = append(unlisted, id)
		case now.Sub(b.lastBadListingAt) >= d.Settings.ListHoldDown:
			delete(d.backEnds, id)
		}
	}
	slices.Sort(unlisted)
	return unlisted
}

// refresh updates the scheduler after time passed or the state of back ends changed.
func (d *Directory) refresh() {
	for _, id := range d.withdrawUnused() {
		d.Scheduler.RemoveEngine(id)
	}
	for _, id := range d.usedEngines() {
		d.updateScheduler(id)
	}
}

// usedEngines returns the engines that this daemon sends work to, in order.
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

// withdrawUnused returns, in order, the engines that the scheduler has and this daemon
// no longer uses, and marks them as removed from the scheduler.
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
