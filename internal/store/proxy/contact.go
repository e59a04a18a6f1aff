package proxy

import (
	"sync"
	"time"
)

const (
	// probePause separates direct calls while they fail: each daemon makes so
	// few that an outage costs little, and notices the return by itself.
	probePause = 200 * time.Millisecond
	// isolatedAfter is how long neither the store nor a helper must have
	// answered until a daemon takes itself to be cut off.
	isolatedAfter = 1500 * time.Millisecond
)

// contact is what direct calls tell of the store.
type contact struct {
	mutex sync.Mutex
	// failingSince is when the first call failed since one was answered; zero
	// if none did.
	failingSince time.Time
	probeAt      time.Time
	// answeredAt is when a direct call was last answered.
	answeredAt time.Time
	// returned is closed when the store answers again after noticeAfter or more,
	// or is said to.
	returned chan struct{}
	// noticeAt is when the last notice of a return was sent or heard.
	noticeAt time.Time
}

func newContact() contact { return contact{returned: make(chan struct{})} }

// mayCall tells whether a direct call may be made: always while the store
// answers, and every probePause while it does not.
func (c *contact) mayCall(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failingSince.IsZero() {
		return true
	}
	if now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(probePause)
	return true
}

// fail notes a call that was not answered, and tells whether it is the first.
func (c *contact) fail(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.failingSince.IsZero() {
		return false
	}
	c.failingSince = now
	c.probeAt = now.Add(probePause)
	return true
}

// hasAnsweredSince tells whether the store has answered a direct call since a time: a
// call that was made then and hangs is late at a store that is busy, or its answer was
// lost, but the store is not.
func (c *contact) hasAnsweredSince(at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answeredAt.After(at)
}

// answer notes a call that was answered, and returns for how long none was; 0
// if none had failed.
func (c *contact) answer(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answeredAt = now
	if c.failingSince.IsZero() {
		return 0
	}
	out := max(now.Sub(c.failingSince), 1)
	c.failingSince = time.Time{}
	if out >= noticeAfter {
		c.wake()
	}
	return out
}

// mayNotify tells whether a notice of the return may be sent.
func (c *contact) mayNotify(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.noticeAt) < noticePause {
		return false
	}
	c.noticeAt = now
	return true
}

// hearOfReturn takes another daemon's word that the store answers, and tells
// whether that is news: whoever waits for the store tries again at once.
func (c *contact) hearOfReturn(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noticeAt = now
	if c.failingSince.IsZero() {
		return false
	}
	c.probeAt = now
	c.wake()
	return true
}

func (c *contact) wake() {
	close(c.returned)
	c.returned = make(chan struct{})
}

func (c *contact) signal() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.returned
}

func (c *contact) failingFor(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failingSince.IsZero() {
		return 0
	}
	return now.Sub(c.failingSince)
}
