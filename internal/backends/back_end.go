package backends

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// backEnd is the known state of one engine, application or tool service.
type backEnd struct {
	id      structs.EngineID
	machine structs.Machine
	listed  bool
	// lastBadListingAt is when the list last had it as leaving or did not have it.
	lastBadListingAt time.Time
	// run is the latest run that it was observed in, 0 while unknown.
	run        int64
	drainingAt time.Time
	// unreachable is set when a connection broke, until it answers again.
	unreachable bool
	failures    int
	// polling is set while a poll of its report is in progress; polledAt is when that
	// began.
	polling  bool
	polledAt time.Time
	report   structs.LoadReport
	// lastReportAt is when its load was last reported, or its watcher last reported
	// that it cannot read it.
	lastReportAt time.Time
	cache        cacheProgress
	// borrowedUntil is set for an engine of another cell.
	borrowedUntil time.Time
	// lastSent is the state last sent to the scheduler, inScheduler whether the
	// scheduler has the engine.
	lastSent    structs.Engine
	inScheduler bool
}

func (b *backEnd) isEngine() bool { return b.machine.Kind == structs.MachineEngine }

// leaving reports whether it is unlisted, or was listed as leaving or announced that
// it is draining within the hold-down times.
func (b *backEnd) leaving(settings Settings, now time.Time) bool {
	listedBad := !b.lastBadListingAt.IsZero() && now.Sub(b.lastBadListingAt) < settings.ListHoldDown
	return !b.listed || listedBad || b.draining(settings, now)
}

// draining reports whether its own announcement that it is draining still counts. An
// engine's expires, since a draining engine repeats it in each report; an
// application's counts until a new run answers.
func (b *backEnd) draining(settings Settings, now time.Time) bool {
	if b.drainingAt.IsZero() {
		return false
	}
	return !b.isEngine() || now.Sub(b.drainingAt) < settings.DrainHoldDown
}

// suspected reports whether it does not answer, whatever its listed state.
func (b *backEnd) suspected(settings Settings, now time.Time) bool {
	silent := b.polling && now.Sub(b.polledAt) > settings.ReportTimeout
	return b.unreachable || silent || b.failures >= settings.FailureLimit
}

// observeRun records the run in which it answered, and reports whether that is the
// latest one known. Announcements of a former run do not apply to a new one.
func (b *backEnd) observeRun(run int64) bool {
	if run < b.run {
		return false
	}
	if run == b.run {
		return true
	}
	if b.run != 0 {
		b.drainingAt = time.Time{}
		b.lastBadListingAt = time.Time{}
	}
	b.run = run
	b.cache = cacheProgress{}
	return true
}

// observeDraining records the announcement that a run is draining, and reports whether
// that was not known before.
func (b *backEnd) observeDraining(run int64, settings Settings, now time.Time) bool {
	if run != 0 && run < b.run {
		return false
	}
	isNew := !b.draining(settings, now)
	b.drainingAt = now
	return isNew
}
