package httpconn

import "slices"

// LimitConnections bounds the connections to all addresses together; 0 for no limit. It must be called
// before the first exchange.
func (p *Pool) LimitConnections(limit int) { p.limit = limit }

// countClosed counts a connection that was closed. The caller must hold the mutex.
func (p *Pool) countClosed(a *address) {
	a.open--
	p.opened--
}

// hasRoom reports whether another connection may be open. At the limit it closes the one that has been idle
// for longest, if there is one. The caller must hold the mutex.
func (p *Pool) hasRoom() bool {
	return p.limit <= 0 || p.opened < p.limit || p.closeLongestIdle()
}

// closeLongestIdle closes the connection that has been idle for longest, and reports whether there was one.
// The caller must hold the mutex.
func (p *Pool) closeLongestIdle() bool {
	var longest *address
	var name string
	for n, a := range p.addresses {
		if len(a.idle) > 0 && (longest == nil || a.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest, name = a, n
		}
	}
	if longest == nil {
		return false
	}
	_ = longest.idle[0].Close() // nothing waits to be sent
	longest.idle = slices.Delete(longest.idle, 0, 1)
	p.countClosed(longest)
	if longest.open == 0 {
		delete(p.addresses, name)
	}
	return true
}
