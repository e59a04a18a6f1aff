package backends

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// backEnd is what is known of one engine, application or tool service.
type backEnd struct {
	id      structs.EngineID
	machine structs.Machine
	listed  bool
	// listedBadAt is when the list last called it leaving or left it out.
	lastBadListingAt time.Time
	// run is the latest run that it was heard of in, 0 while unknown.
	run        int64
	drainingAt time.Time
	// unreachable is set when a connection broke, until it answers again.
	unreachable bool
	failures    int
	// polledAt is when the reading under way was begun.
	polling    bool
	polledAt   time.Time
	report     structs.LoadReport
	reportedAt time.Time
	cache      cacheProgress
	// borrowedUntil is set for an engine of another cell.
	borrowedUntil time.Time
	// told is what the scheduler was last told.
	reported    structs.Engine
	inScheduler bool
}

func (b *backEnd) isEngine() bool { return b.machine.Kind == structs.MachineEngine }

// leaving tells whether the newest bad news still stands.
func (b *backEnd) leaving(settings Settings, now time.Time) bool {
	listedBad := !b.lastBadListingAt.IsZero() && now.Sub(b.lastBadListingAt) < settings.ListHoldDown
	return !b.listed || listedBad || b.draining(settings, now)
}

// draining tells whether its own word that it is leaving still stands. An
// engine's fades, since a leaving engine repeats it in each report; an
// application's stands until a new run answers.
func (b *backEnd) draining(settings Settings, now time.Time) bool {
	if b.drainingAt.IsZero() {
		return false
	}
	return !b.isEngine() || now.Sub(b.drainingAt) < settings.DrainHoldDown
}

// suspected tells that it does not answer, whatever anyone says of it.
func (b *backEnd) suspected(settings Settings, now time.Time) bool {
	silent := b.polling && now.Sub(b.polledAt) > settings.ReportTimeout
	return b.unreachable || silent || b.failures >= settings.FailureLimit
}

// sawRun takes the run in which it answered. It returns false for word of a
// former run. A new run knows nothing of what the former one announced.
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

// sawDraining takes word that a run is leaving. It returns whether that is
// news.
func (b *backEnd) observeDraining(run int64, settings Settings, now time.Time) bool {
	if run != 0 && run < b.run {
		return false
	}
	news := !b.draining(settings, now)
	b.drainingAt = now
	return news
}
