package network

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

// Process is one run of one program on a virtual machine. It is the clock of
// what runs inside: a dead process runs no timer, a paused one runs all that
// is due when it resumes.
type Process struct {
	clock   *clock.Virtual
	offset  time.Duration
	dead    bool
	paused  bool
	backlog []func()
}

// NewProcess starts a process on a machine whose wall clock is offset from the
// virtual time.
func NewProcess(c *clock.Virtual, offset time.Duration) *Process {
	return &Process{clock: c, offset: offset}
}

// Now implements clock.Clock.
func (p *Process) Now() time.Time { return p.clock.Now().Add(p.offset) }

// AfterFunc implements clock.Clock.
func (p *Process) AfterFunc(d time.Duration, f func()) clock.Timer {
	timer := &processTimer{}
	timer.inner = p.clock.AfterFunc(d, func() {
		p.Run(func() {
			if !timer.stopped {
				timer.fired = true
				f()
			}
		})
	})
	return timer
}

// processTimer can be stopped while it waits in the backlog of a paused process.
type processTimer struct {
	inner   clock.Timer
	stopped bool
	fired   bool
}

// Stop implements clock.Timer.
func (t *processTimer) Stop() bool {
	if t.stopped || t.fired {
		return false
	}
	t.stopped = true
	t.inner.Stop()
	return true
}

// Run lets something happen to the process: at once, on resumption when it is
// paused, never when it is dead.
func (p *Process) Run(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.backlog = append(p.backlog, f)
	default:
		f()
	}
}

// Kill ends the process; nothing inside it runs any more.
func (p *Process) Kill() {
	p.dead = true
	p.backlog = nil
}

// Dead tells whether the process was killed.
func (p *Process) Dead() bool { return p.dead }

// Paused tells whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Pause stops the process until Resume, as SIGSTOP does.
func (p *Process) Pause() { p.paused = true }

// Resume lets the process go on: everything that came due meanwhile happens
// now, in order.
func (p *Process) Resume() {
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, f := range backlog {
		p.Run(f)
	}
}

// JumpClock sets the wall clock of the machine forward or back.
func (p *Process) JumpClock(d time.Duration) { p.offset += d }
