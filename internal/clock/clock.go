// Package clock abstracts time, so that the same code runs on the machine's
// clock in a daemon and on a virtual clock in a simulation.
package clock

import "time"

// Clock returns the current time and schedules functions.
type Clock interface {
	// Now returns the current time. The system clock carries a monotonic
	// reading, so differences are not disturbed when the wall clock is set.
	Now() time.Time
	// AfterFunc runs f once, d from now, on a goroutine of its own (system)
	// or in the event loop (virtual). A negative d counts as zero.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call scheduled by AfterFunc.
type Timer interface {
	// Stop prevents the call. It returns false if the call has already started
	// or was already stopped.
	Stop() bool
}

// System returns the machine's clock.
func System() Clock { return systemClock{} }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) Timer {
	return time.AfterFunc(max(d, 0), f)
}
