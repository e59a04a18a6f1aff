package backends

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// findMissingModels periodically asks other cells for engines when calls wait for a
// model that no engine of the own cell serves. It asks one daemon each of some cells
// at a time; the engines that they report are borrowed for BorrowDuration.
func (d *Directory) findMissingModels() {
	if d.isStopped() {
		return
	}
	if missing := d.missingModels(); len(missing) > 0 {
		for _, daemon := range d.nextContacts() {
			d.Transport.Send(daemon, &FindEngines{Models: missing})
		}
	}
	d.Clock.AfterFunc(d.Settings.FindInterval, d.findMissingModels)
}

// missingModels returns models and adapters that calls wait for and that no engine in
// use serves.
func (d *Directory) missingModels() []structs.ModelAdapter {
	d.mutex.Lock()
	direct := d.cells.direct
	d.mutex.Unlock()
	if direct {
		return nil
	}
	var missing []structs.ModelAdapter
	for _, waiting := range d.Scheduler.WaitingByModel() {
		if len(d.serving(waiting.ModelAdapter)) == 0 && len(missing) < d.Settings.FindModels {
			missing = append(missing, waiting.ModelAdapter)
		}
	}
	return missing
}

// serving returns, in order, the reports of engines in use that accept new work for a
// model and its adapter.
func (d *Directory) serving(wanted structs.ModelAdapter) []structs.LoadReport {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.Clock.Now()
	var reports []structs.LoadReport
	for _, b := range d.listedEngines() {
		usable := d.uses(b) && d.acceptsWork(b, now) && !b.suspected(d.Settings, now)
		if usable && b.report.Serves(wanted) {
			reports = append(reports, b.report)
		}
	}
	return reports
}

// nextContacts returns the contacts in other cells to ask now, in rotation.
func (d *Directory) nextContacts() []structs.DaemonID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	all := d.cells.contacts
	var asked []structs.DaemonID
	for range min(d.Settings.FindFanout, len(all)) {
		asked = append(asked, all[d.nextContact%len(all)])
		d.nextContact++
	}
	return asked
}

// handleFind answers with engines of the own cell only; borrowed ones are reported by
// their own cell.
func (d *Directory) handleFind(from structs.DaemonID, find *FindEngines) {
	var summaries []LoadSummary
	for _, wanted := range find.Models {
		for _, report := range d.serving(wanted) {
			known := slices.ContainsFunc(summaries, func(g LoadSummary) bool { return g.Engine == report.Engine })
			if !known && d.inCell(report.Engine) && len(summaries) < d.Settings.FindEngines*len(find.Models) {
				summaries = append(summaries, summaryOf(report))
			}
		}
	}
	if len(summaries) > 0 {
		d.Transport.Send(from, &EnginesFound{Summaries: summaries})
	}
}

func (d *Directory) inCell(id structs.EngineID) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, found := slices.BinarySearch(d.cells.used, id)
	return found
}

// borrow starts to use engines of other cells.
func (d *Directory) borrow(found *EnginesFound) {
	for _, summary := range found.Summaries {
		d.mutex.Lock()
		if b := d.backEnds[summary.Engine]; b != nil && b.listed {
			b.borrowedUntil = d.Clock.Now().Add(d.Settings.BorrowDuration)
		}
		d.mutex.Unlock()
		d.receiveSummary(summary)
	}
}

// borrowed reports whether it is an engine of another cell that is in use.
func (b *backEnd) borrowed(now time.Time) bool { return now.Before(b.borrowedUntil) }

// contactsOf selects one daemon of each other cell, those of the own region first.
func (d *Directory) contactsOf(byCell map[cellKey][]structs.DaemonID, own cellKey) []structs.DaemonID {
	keys := slices.SortedFunc(maps.Keys(byCell), func(a, b cellKey) int {
		if near := trueFirst(a.region == own.region, b.region == own.region); near != 0 {
			return near
		}
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.number, b.number))
	})
	var contacts []structs.DaemonID
	for _, key := range keys {
		if key != own {
			contacts = append(contacts, watcherOf(structs.EngineID(d.Self.ID), byCell[key]))
		}
	}
	return contacts
}

func trueFirst(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	default:
		return 0
	}
}
