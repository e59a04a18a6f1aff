package relaydaemon

import (
	"net"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// phase is the state of a caller's connection.
type phase int

const (
	// phaseResting lasts until the first byte of the next request.
	phaseResting phase = iota
	// phaseHead lasts until the request's head was read.
	phaseHead
	// phaseServing lasts until its answer ended.
	phaseServing
)

// frontConnection is a caller's connection. It bounds how long each phase may take:
// net/http's own bounds can not be changed once a server runs.
type frontConnection struct {
	net.Conn

	mutex  sync.Mutex
	limits route.Limits
	phase  phase
	// since is when the phase began.
	since time.Time
	// reuse is for how long the caller may use the connection again after its latest answer,
	// and reusableUntil when a request that it sends in time has arrived.
	reuse         time.Duration
	reusableUntil time.Time
	// expired: the wait for the next request was ended, to make the server close the connection.
	expired bool
}

// Read implements net.Conn.
func (c *frontConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.noteArrived(time.Now())
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server sets none between its own uses: then
// that of the phase holds.
func (c *frontConnection) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.IsZero() {
		at = c.phaseEnd()
	}
	return c.Conn.SetReadDeadline(at)
}

// phaseEnd is when the phase must have ended; zero if nothing bounds it. The mutex must
// be held.
func (c *frontConnection) phaseEnd() time.Time {
	switch {
	case c.phase == phaseResting && c.limits.IdleTimeout > 0:
		end := c.since.Add(c.limits.IdleTimeout)
		if end.Before(c.reusableUntil) {
			return c.reusableUntil // the caller was told a longer time, by an earlier limit
		}
		return end
	case c.phase == phaseHead && c.limits.HeaderTimeout > 0:
		return c.since.Add(c.limits.HeaderTimeout)
	}
	return time.Time{}
}

// enter begins a phase.
func (c *frontConnection) enter(next phase, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begin(next, now)
}

// begin is enter. The mutex must be held.
func (c *frontConnection) begin(next phase, now time.Time) {
	c.phase, c.since = next, now
	c.bound()
}

// setLimits puts limits in force, for the current phase, too.
func (c *frontConnection) setLimits(limits route.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.limits = limits
	if !c.expired {
		c.bound()
	}
}

// bound makes reads fail from the end of the phase on. The mutex must be held.
func (c *frontConnection) bound() {
	_ = c.Conn.SetReadDeadline(c.phaseEnd()) // fails on a connection that is closed
}

// grantReuse returns for how long the caller may use the connection again after the answer
// that begins now.
func (c *frontConnection) grantReuse() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reuse = reuseWithin(c.limits.IdleTimeout)
	return c.reuse
}

// restAfterAnswer begins phaseResting after an answer: it lasts at least for as long as that
// lets the caller use the connection again.
func (c *frontConnection) restAfterAnswer(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	least := c.reuse
	if least > 0 {
		least += requestTravel
	}
	c.rest(least, now)
}

// restFor begins phaseResting, which lasts at least for a while.
func (c *frontConnection) restFor(least time.Duration, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rest(least, now)
}

// rest is restFor. The mutex must be held.
func (c *frontConnection) rest(least time.Duration, now time.Time) {
	c.reusableUntil = now.Add(least)
	c.begin(phaseResting, now)
}

// noteArrived begins phaseHead when the first bytes of a request arrive, also if the wait
// for them was just ended.
func (c *frontConnection) noteArrived(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != phaseResting {
		return
	}
	c.expired = false
	c.begin(phaseHead, now)
}

// expire makes the server close the connection if it rests and its caller may not use it
// again. The server closes it itself when its reading fails: it then has no byte of a
// request.
func (c *frontConnection) expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseResting && !now.Before(c.reusableUntil) {
		c.expireNow(now)
	}
}

// expireNow is expire for a connection that rests. The mutex must be held.
func (c *frontConnection) expireNow(now time.Time) {
	c.expired = true
	_ = c.Conn.SetReadDeadline(now) // fails on a connection that is closed
}

// endRest is expire, whatever the caller was told; false if the connection does not rest.
func (c *frontConnection) endRest(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reusableUntil = now
	if c.phase != phaseResting {
		return false
	}
	c.expireNow(now)
	return true
}

// CloseWrite closes the writing side only: net/http looks for this method and uses it
// where closing at once would reset the connection.
func (c *frontConnection) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
