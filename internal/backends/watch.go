package backends

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// pollEngines periodically polls the engines that are due.
func (d *Directory) pollEngines() {
	if d.isStopped() {
		return
	}
	cells := d.assignCells()
	for _, id := range d.enginesDue() {
		d.poll(id)
	}
	d.refresh()
	interval := d.Settings.LoadInterval
	if !cells.direct {
		interval = d.Settings.WatchInterval
		if d.summaryDue() {
			d.sendSummaries(cells)
		}
	}
	d.Clock.AfterFunc(interval, d.pollEngines)
}

// summaryDue reports whether summaries are to be sent this time.
func (d *Directory) summaryDue() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pollRounds++
	return d.pollRounds%d.Settings.SummaryEvery == 0
}

// enginesDue returns, in order, the engines to poll now: those that this daemon
// watches, borrowed ones, and those of its cell whose watcher has been silent.
func (d *Directory) enginesDue() []structs.EngineID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.Clock.Now()
	var ids []structs.EngineID
	for id, b := range d.backEnds {
		if !b.listed || !b.isEngine() || !d.uses(b) {
			continue
		}
		overdue := now.Sub(b.lastReportAt) > d.summaryTimeout()
		if d.cells.watches(id) || overdue || b.borrowed(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (d *Directory) summaryTimeout() time.Duration {
	return missedSummaries * time.Duration(d.Settings.SummaryEvery) * d.Settings.WatchInterval
}

// missedSummaries is after how many summary intervals without a report the other
// daemons of the cell poll an engine themselves.
const missedSummaries = 3

// pollUnread polls the engines that were never polled, such as newly listed ones.
func (d *Directory) pollUnread() {
	d.mutex.Lock()
	var ids []structs.EngineID
	for id, b := range d.backEnds {
		if b.listed && b.isEngine() && d.uses(b) && b.lastReportAt.IsZero() && b.failures == 0 {
			ids = append(ids, id)
		}
	}
	d.mutex.Unlock()
	slices.Sort(ids)
	for _, id := range ids {
		d.poll(id)
	}
}

// poll reads an engine's report, unless a poll is in progress.
func (d *Directory) poll(id structs.EngineID) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil || b.polling {
		d.mutex.Unlock()
		return
	}
	b.polling = true
	b.polledAt = d.Clock.Now()
	d.mutex.Unlock()
	d.Drivers.Engines.Load(id, func(report structs.LoadReport, err error) { d.pollDone(id, report, err) })
}

func (d *Directory) pollDone(id structs.EngineID, report structs.LoadReport, err error) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil || d.stopped {
		d.mutex.Unlock()
		return
	}
	b.polling = false
	if err != nil {
		b.failures++
		d.mutex.Unlock()
		d.updateScheduler(id)
		return
	}
	b.failures = 0
	b.unreachable = false
	isNew := d.applyReport(b, report)
	d.mutex.Unlock()
	if isNew {
		d.broadcast(&Leaving{BackEnd: id, Run: report.StartedUnixNano})
	}
	d.updateScheduler(id)
	d.forwardReport(report)
	d.readCacheEvents(id)
}

// applyReport stores a load report, and reports whether it is the first to say that the
// engine is draining. The mutex must be held.
func (d *Directory) applyReport(b *backEnd, report structs.LoadReport) bool {
	if !b.observeRun(report.StartedUnixNano) {
		return false
	}
	now := d.Clock.Now()
	b.report = report
	b.lastReportAt = now
	return report.Draining && b.observeDraining(report.StartedUnixNano, d.Settings, now)
}

// forwardReport sends a report to the scheduler.
func (d *Directory) forwardReport(report structs.LoadReport) {
	if d.Guards.IgnoreLeaving {
		report.Draining = false
	}
	d.Scheduler.UpdateLoad(report)
}

// cacheProgress is how far the cache events of an engine's run were read.
type cacheProgress struct {
	sequence uint64
	reading  bool
}

// readCacheEvents reads the cache events that the engine's report announces. In a
// large fleet none are read, since they would exceed the bandwidth for control
// traffic; the scheduler corrects its estimate from answers instead.
func (d *Directory) readCacheEvents(id structs.EngineID) {
	d.mutex.Lock()
	b := d.backEnds[id]
	behind := b != nil && b.listed && d.cells.direct && !b.cache.reading && b.report.CacheEventSequence > b.cache.sequence
	if !behind {
		d.mutex.Unlock()
		return
	}
	b.cache.reading = true
	run, after := b.run, b.cache.sequence
	d.mutex.Unlock()
	d.Drivers.Engines.CacheEvents(id, after, func(events []structs.CacheEvent, err error) {
		d.cacheEventsRead(id, run, events, err)
	})
}

// cacheEventsRead passes events to the scheduler. A jump in their sequence numbers is
// a gap.
func (d *Directory) cacheEventsRead(id structs.EngineID, run int64, events []structs.CacheEvent, err error) {
	d.mutex.Lock()
	b := d.backEnds[id]
	if b == nil || b.run != run {
		d.mutex.Unlock()
		return
	}
	b.cache.reading = false
	if err != nil || len(events) == 0 {
		d.mutex.Unlock()
		return
	}
	gap := false
	for _, event := range events {
		gap = gap || event.Sequence > b.cache.sequence+1
		b.cache.sequence = max(b.cache.sequence, event.Sequence)
	}
	d.mutex.Unlock()
	if gap {
		d.Scheduler.CacheEventsLost(id)
	}
	d.Scheduler.CacheEvents(events)
}
