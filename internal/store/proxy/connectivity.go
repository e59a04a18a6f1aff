package proxy

import (
	"sync"
	"time"
)

const (
	// probeInterval is the time between direct calls during an outage: few enough calls to cost
	// little, and often enough for each daemon to notice the recovery by itself.
	probeInterval = 200 * time.Millisecond
	// isolatedAfter is how long neither the store nor a helper may have answered until a daemon
	// considers itself isolated.
	isolatedAfter = 1500 * time.Millisecond
	// refusedAppendGrace is how long after its last answer the store still counts as reachable
	// although it refuses an append. The queue of one partition may be full while the store serves
	// all others. It covers the time between two answers to a daemon that only follows changes.
	refusedAppendGrace = 1500 * time.Millisecond
)

// connectivity tracks whether the store answers direct calls.
type connectivity struct {
	mutex sync.Mutex
	// failingSince is when the first call since the last answered one failed; zero if none did.
	failingSince time.Time
	// probeAt is when the next direct call may be made during an outage.
	probeAt time.Time
	// answeredAt is when a direct call was last answered.
	answeredAt time.Time
	// recovered is closed when the store answers again after an outage of at least
	// minOutageForNotice, or when another daemon reports that it does.
	recovered chan struct{}
	// noticeAt is when a notice of a recovery was last sent or received.
	noticeAt time.Time
}

func newConnectivity() connectivity { return connectivity{recovered: make(chan struct{})} }

// mayCall reports whether a direct call may be made: always while the store answers, and once per
// probeInterval while it does not.
func (c *connectivity) mayCall(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failingSince.IsZero() {
		return true
	}
	if now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(probeInterval)
	return true
}

// recordFailure records a call that was not answered, and reports whether it is the first of an
// outage.
func (c *connectivity) recordFailure(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.failingSince.IsZero() {
		return false
	}
	c.failingSince = now
	c.probeAt = now.Add(probeInterval)
	return true
}

// isPartitionBusy reports whether an append that the store refused is no sign of an outage, as the
// store has answered another call lately.
func (c *connectivity) isPartitionBusy(now time.Time) bool {
	return c.hasAnsweredSince(now.Add(-refusedAppendGrace))
}

// hasAnsweredSince reports whether the store has answered a direct call since a time. If so, a call
// made then that hangs is late or its answer was lost, but the store is reachable.
func (c *connectivity) hasAnsweredSince(at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answeredAt.After(at)
}

// recordAnswer records an answered call, and returns how long the outage lasted that it ends; 0 if
// there was none.
func (c *connectivity) recordAnswer(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answeredAt = now
	if c.failingSince.IsZero() {
		return 0
	}
	out := max(now.Sub(c.failingSince), 1)
	c.failingSince = time.Time{}
	if out >= minOutageForNotice {
		c.signalRecovery()
	}
	return out
}

// mayNotify reports whether a notice of the recovery may be sent now.
func (c *connectivity) mayNotify(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.noticeAt) < noticeInterval {
		return false
	}
	c.noticeAt = now
	return true
}

// recordRecoveryNotice handles another daemon's notice that the store answers. wasOut reports
// whether this daemon was in an outage; if so, the callers that wait for the store retry at once.
// passOn reports whether it is to tell others: it was in the outage, too, and has not told or heard
// of its end yet.
func (c *connectivity) recordRecoveryNotice(now time.Time) (wasOut, passOn bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isFirst := now.Sub(c.noticeAt) >= noticeInterval
	c.noticeAt = now
	if c.failingSince.IsZero() {
		return false, false
	}
	c.probeAt = now
	c.signalRecovery()
	return true, isFirst
}

func (c *connectivity) signalRecovery() {
	close(c.recovered)
	c.recovered = make(chan struct{})
}

func (c *connectivity) recoverySignal() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.recovered
}

func (c *connectivity) failingFor(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failingSince.IsZero() {
		return 0
	}
	return now.Sub(c.failingSince)
}
