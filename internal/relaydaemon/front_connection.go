package relaydaemon

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/memorybudget"
	"github.com/mintpulley/mintpulley/internal/route"
)

// writeStallTimeout is how long a caller may take nothing of its answer until its connection is
// closed: an answer is held in memory until it was taken. It exceeds the time that callers wait for
// an answer.
const writeStallTimeout = 30 * time.Second

// headMemoryFactor is how many bytes of memory a byte of a request's head takes once it is parsed.
const headMemoryFactor = 2

// phase is the state of a caller's connection.
type phase int

const (
	// phaseIdle lasts until the first byte of the next request.
	phaseIdle phase = iota
	// phaseHeader lasts until the request's header was read.
	phaseHeader
	// phaseServing lasts until the answer was written.
	phaseServing
)

// frontConnection is a caller's connection with a timeout for each phase. The timeouts of
// http.Server cannot be changed while it runs.
type frontConnection struct {
	net.Conn
	// release frees the connection's slot, nil for none.
	release func()
	// head holds the head of the request that arrives or is served; the mutex guards it.
	head *memorybudget.Holding

	mutex  sync.Mutex
	limits route.Limits
	phase  phase
	// since is when the phase began.
	since time.Time
	// reuse is how long the caller may reuse the connection after its latest answer, as announced
	// to it. Until reusableUntil, a request that the caller sends in time may still arrive.
	reuse         time.Duration
	reusableUntil time.Time
	// serverDeadline is the read deadline that the server has set itself, zero if none: it ends a
	// pending read by one in the past.
	serverDeadline time.Time
	// expired: the read deadline was set to the past, so that the server closes the connection.
	expired bool
}

// Close implements net.Conn.
func (c *frontConnection) Close() error {
	if c.release != nil {
		defer c.release()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head.Release()
	return c.Conn.Close()
}

// Read implements net.Conn. It fails with memorybudget.ErrFull if there is no memory for a request's head.
func (c *frontConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.onBytesArrived(n, time.Now()) {
		return 0, memorybudget.ErrFull
	}
	return n, err
}

// Write implements net.Conn. It fails once the caller has taken nothing for writeStallTimeout.
func (c *frontConnection) Write(buffer []byte) (written int, err error) {
	for {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // if that fails, so does the write
		n, err := c.Conn.Write(buffer[written:])
		written += n
		if written == len(buffer) {
			return written, nil
		}
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. When the server clears its deadline, that of the phase
// applies.
func (c *frontConnection) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.serverDeadline = at
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// readDeadline returns the deadline that applies. The caller must hold the mutex.
func (c *frontConnection) readDeadline() time.Time {
	if !c.serverDeadline.IsZero() {
		return c.serverDeadline
	}
	return c.phaseEnd()
}

// phaseEnd returns the deadline of the phase, zero if there is none. The caller must hold the
// mutex.
func (c *frontConnection) phaseEnd() time.Time {
	switch {
	case c.phase == phaseIdle && c.limits.IdleTimeout > 0:
		end := c.since.Add(c.limits.IdleTimeout)
		if end.Before(c.reusableUntil) {
			return c.reusableUntil // a longer time was announced under an earlier limit
		}
		return end
	case c.phase == phaseHeader && c.limits.HeaderTimeout > 0:
		return c.since.Add(c.limits.HeaderTimeout)
	}
	return time.Time{}
}

// enter starts a phase.
func (c *frontConnection) enter(next phase, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begin(next, now)
}

// begin is enter for callers that hold the mutex.
func (c *frontConnection) begin(next phase, now time.Time) {
	c.phase, c.since = next, now
	c.applyDeadline()
}

// setLimits applies limits, also to the current phase.
func (c *frontConnection) setLimits(limits route.Limits) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.limits = limits
	if !c.expired {
		c.applyDeadline()
	}
}

// applyDeadline sets the read deadline that applies. The caller must hold the mutex.
func (c *frontConnection) applyDeadline() {
	_ = c.Conn.SetReadDeadline(c.readDeadline()) // fails if the connection is closed
}

// grantReuse returns how long the caller may reuse the connection after the answer that begins now,
// and records it.
func (c *frontConnection) grantReuse() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reuse = reuseWithin(c.limits.IdleTimeout)
	return c.reuse
}

// idleAfterAnswer starts phaseIdle after an answer. It lasts at least as long as the caller may
// reuse the connection.
func (c *frontConnection) idleAfterAnswer(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	least := c.reuse
	if least > 0 {
		least += requestTransitTime
	}
	c.startIdle(least, now)
}

// idleFor starts phaseIdle with a minimum duration.
func (c *frontConnection) idleFor(least time.Duration, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.startIdle(least, now)
}

// startIdle is idleFor for callers that hold the mutex.
func (c *frontConnection) startIdle(least time.Duration, now time.Time) {
	c.head.Release()
	c.reusableUntil = now.Add(least)
	c.begin(phaseIdle, now)
}

// onBytesArrived starts phaseHeader when the first bytes of a request arrive, even if the
// connection has just expired. It returns false if there is no memory for the bytes of a head.
func (c *frontConnection) onBytesArrived(count int, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseIdle {
		c.expired = false
		c.begin(phaseHeader, now)
	}
	return c.phase != phaseHeader || c.head.Grow(headMemoryFactor*count)
}

// expire makes the server close the connection if it is idle and its caller may no longer reuse it.
// It sets a read deadline instead of closing, so that a request whose first byte has already
// arrived is still served.
func (c *frontConnection) expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseIdle && !now.Before(c.reusableUntil) {
		c.expireNow(now)
	}
}

// expireNow expires an idle connection. The caller must hold the mutex.
func (c *frontConnection) expireNow(now time.Time) {
	c.expired = true
	_ = c.Conn.SetReadDeadline(now) // fails if the connection is closed
}

// forceExpire expires the connection even if its caller may still reuse it; false if it is not
// idle.
func (c *frontConnection) forceExpire(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reusableUntil = now
	if c.phase != phaseIdle {
		return false
	}
	c.expireNow(now)
	return true
}

// resetOnClose sets whether closing the connection resets it, also if the process ends. A reset tells a caller
// that its answer is not whole.
func (c *frontConnection) resetOnClose(isSet bool) {
	const discardAtOnce, systemDefault = 0, -1
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	linger := systemDefault
	if isSet {
		linger = discardAtOnce
	}
	_ = tcp.SetLinger(linger) // fails if the connection is closed
}

// CloseWrite closes the write side. net/http looks for this method, and uses it where closing the
// connection at once would reset it.
func (c *frontConnection) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
