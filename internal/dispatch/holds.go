package dispatch

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// release is the release of a hold at its engine. It is retried until the
// engine acknowledges or has left the fleet.
type release struct {
	hold  structs.Hold
	timer clock.Timer
}

// holdTime is how long an engine may hold the program's cache over a pause.
func (l *leader) holdTime(p *program.Program) time.Duration {
	if p.Limits.HoldTime > 0 {
		return p.Limits.HoldTime
	}
	return l.Settings.DefaultHoldTime
}

// releaseStaleHolds releases holds that the program no longer needs: all of
// them once it has ended or paused too long, else all but the latest.
func (l *leader) releaseStaleHolds(p *program.Program) {
	if l.Guards.SkipRelease || len(p.Holds) == 0 {
		return
	}
	for _, hold := range sortedHolds(p) {
		if !l.isHoldNeeded(p, hold) {
			l.release(hold)
		}
	}
}

// isHoldNeeded reports whether a hold belongs to an open call or to the
// program's latest model call. The latter is needed while the next model call
// waits, and over a pause for up to holdLimit, so that a program with a hanging
// tool loses its cache.
func (l *leader) isHoldNeeded(p *program.Program, hold structs.Hold) bool {
	for _, open := range p.Open {
		if open.Hold == hold.ID {
			return true
		}
	}
	if p.Ended || p.LatestHold != hold.ID {
		return false
	}
	if head := p.Head(); head != nil && head.Call.Kind == structs.CallModel {
		return true
	}
	return l.Clock.Now().Sub(p.ModelSettledAt) < l.holdLimit(p, hold.ID)
}

// holdLimit is how long a hold is kept over a pause: as long as the scheduler
// decided, or after a takeover as long as the template allows.
func (l *leader) holdLimit(p *program.Program, id structs.HoldID) time.Duration {
	if bound, decided := l.holdFor[id]; decided {
		return min(bound, l.holdTime(p))
	}
	return l.holdTime(p)
}

func sortedHolds(p *program.Program) []structs.Hold {
	holds := make([]structs.Hold, 0, len(p.Holds))
	for _, hold := range p.Holds {
		holds = append(holds, hold)
	}
	slices.SortFunc(holds, func(a, b structs.Hold) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return holds
}

// release asks the engine to release a hold, with retries.
func (l *leader) release(hold structs.Hold) {
	if _, releasing := l.releases[hold.ID]; releasing {
		return
	}
	task := &release{hold: hold}
	l.releases[hold.ID] = task
	l.tryRelease(task)
}

func (l *leader) tryRelease(task *release) {
	l.Drivers.Engines.Release(task.hold, func(err error) {
		l.post(func() {
			if err != nil && !l.Directory.IsDelisted(task.hold.Engine) {
				task.timer = l.after(l.Settings.ReleaseInterval, func() { l.tryRelease(task) })
				return
			}
			l.released(task.hold)
		})
	})
}

func (l *leader) forgetRelease(id structs.HoldID) {
	delete(l.releases, id)
	delete(l.holdFor, id)
}

func (l *leader) released(hold structs.Hold) {
	p := l.machine.Program(hold.Program)
	if p == nil {
		l.forgetRelease(hold.ID)
		return
	}
	if _, recorded := p.Holds[hold.ID]; !recorded {
		l.forgetRelease(hold.ID)
		return
	}
	record := structs.Record{At: l.Clock.Now(), HoldReleased: &structs.HoldReleased{Program: hold.Program, Hold: hold.ID}}
	l.propose([]structs.Record{record}, func() { l.forgetRelease(hold.ID) })
}

// checkHold releases a hold of a program that has ended, or one that this shard
// has no record of.
func (l *leader) checkHold(hold structs.Hold) {
	if l.stopped || l.Guards.SkipRelease {
		return
	}
	if p := l.machine.Program(hold.Program); p != nil {
		if _, recorded := p.Holds[hold.ID]; recorded {
			l.releaseStaleHolds(p)
			return
		}
	}
	l.release(hold)
}
