package relaydaemon

import (
	"net"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// frontListener accepts connections as frontConnections.
type frontListener struct{ net.Listener }

// Accept implements net.Listener.
func (l frontListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &frontConnection{Conn: connection}, nil
}

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
	// sparedUntil is until when a drain does not end the connection's rest.
	sparedUntil time.Time
	// expired: the wait for the next request was ended.
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
	longest := time.Duration(0)
	switch c.phase {
	case phaseResting:
		longest = c.limits.IdleTime
	case phaseHead:
		longest = c.limits.HeadTime
	case phaseServing:
	}
	if longest <= 0 {
		return time.Time{}
	}
	return c.since.Add(longest)
}

// enter begins a phase.
func (c *frontConnection) enter(next phase, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
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

// spareUntil keeps a drain from ending the connection's rest until then.
func (c *frontConnection) spareUntil(until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sparedUntil = until
}

// noteArrived begins phaseHead when the first bytes of a request arrive, also if the wait
// for them was just ended.
func (c *frontConnection) noteArrived(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != phaseResting {
		return
	}
	c.phase, c.since, c.expired = phaseHead, now, false
	c.bound()
}

// expire makes the server close the connection if it rests. The server closes it
// itself when its reading fails: it then has no byte of a request.
func (c *frontConnection) expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != phaseResting || now.Before(c.sparedUntil) {
		return
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(now) // fails on a connection that is closed
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
