package dispatch

import (
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// release is a hold that an engine is being asked to free. It is asked until
// it acknowledges or has left the fleet.
type release struct {
	hold  structs.Hold
	timer clock.Timer
}

// holdTime is how long a program's engine memory may be kept over a pause.
func (l *leader) holdTime(p *program.Program) time.Duration {
	if p.Limits.HoldTime > 0 {
		return p.Limits.HoldTime
	}
	return l.Settings.DefaultHoldTime
}

// releaseStaleHolds frees engine memory that the program no longer needs:
// everything once it ended or paused too long, and else all but its latest.
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

// holdWanted tells whether a hold belongs to an open call, or to the program's
// latest model call: one that waits will use it, and over a pause it is kept
// for as long as that is worth it. A tool that
// hangs thus costs the program its cache first.
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

// holdBound is how long a hold is kept over a pause: what the scheduler found
// worth it, or after a takeover what the template allows.
func (l *leader) holdLimit(p *program.Program, id structs.HoldID) time.Duration {
	if bound, chosen := l.holdFor[id]; chosen {
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

// release asks the engine to free a hold, again and again until it is free.
func (l *leader) release(hold structs.Hold) {
	if _, underWay := l.releases[hold.ID]; underWay {
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

// checkHold frees memory that an engine pins for a program which has ended, or
// which this shard does not account for.
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
