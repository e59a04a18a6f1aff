package network

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
)

// Process is one run of a program on a simulated machine, and the clock of the
// code in it. Timers do not fire in a killed process; in a paused one they fire
// when it resumes.
type Process struct {
	clock   *clock.Virtual
	offset  time.Duration
	dead    bool
	paused  bool
	backlog []func()
}

// NewProcess starts a process on a machine whose wall clock differs from
// virtual time by offset.
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

// processTimer is a timer that can also be stopped while its call is in the
// backlog of a paused process.
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

// Run executes f in the process: immediately, on resume if the process is
// paused, or never if it was killed.
func (p *Process) Run(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.backlog = append(p.backlog, f)
	default:
		f()
	}
}

// Kill ends the process; no code runs in it any more.
func (p *Process) Kill() {
	p.dead = true
	p.backlog = nil
}

// Dead reports whether the process was killed.
func (p *Process) Dead() bool { return p.dead }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Pause suspends the process until Resume, like SIGSTOP.
func (p *Process) Pause() { p.paused = true }

// Resume continues the process and runs its backlog in order.
func (p *Process) Resume() {
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, f := range backlog {
		p.Run(f)
	}
}

// JumpClock moves the machine's wall clock forward or back.
func (p *Process) JumpClock(d time.Duration) { p.offset += d }
