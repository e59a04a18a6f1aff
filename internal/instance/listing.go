package instance

import (
	"time"
)

const (
	// unlistedTTL is for how long an instance that is missing from the list is still a last
	// resort, counted from when its entry was last confirmed. Entries of running instances
	// expire while the store is unavailable and are written again only after it is back. It
	// must stay below the time for which instances keep serving after their entries were
	// removed: a late read must not extend it.
	unlistedTTL = 1200 * time.Millisecond
	// recoveryTime is for how long after the store's return missing instances are still
	// used: entries of running instances expire in an outage and are written again within
	// about two seconds of its end.
	recoveryTime = 2200 * time.Millisecond
	// outageHeartbeats is the number of heartbeats of the instances in the shortest time
	// without a confirmed list in which the entry of a running instance can expire: entries
	// expire after three missed writes, the first of which may have been due when the
	// outage began. After a shorter time the daemon's own read was late, and an instance
	// that is missing has left.
	outageHeartbeats = 2
)

// mayServe reports whether an instance may get requests.
func (p *Pool) mayServe(e *entry, now time.Time) bool {
	switch {
	case e.State != StateReady, e.presumedGone:
		return false
	case e.unlistedSince.IsZero(), p.mayHaveExpired(e, now):
		return true
	}
	return now.Sub(e.unlistedSince) < unlistedTTL
}

// mayHaveExpired reports whether a missing instance may still be running, as its entry may
// have expired in an outage. One that was removed from the list before the outage is
// leaving.
func (p *Pool) mayHaveExpired(e *entry, now time.Time) bool {
	return p.listMayBeIncomplete(now) && !e.unlistedSince.Before(p.outageSince)
}

// listMayBeIncomplete reports whether running instances may be missing from the list: while
// it cannot be read, and for recoveryTime after an outage.
func (p *Pool) listMayBeIncomplete(now time.Time) bool {
	return p.listUnavailable || now.Before(p.recoveryUntil)
}

// AddressesIn returns the addresses of the instances in a zone.
func (p *Pool) AddressesIn(zone string) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var addresses []string
	for _, e := range p.byID {
		if e.Zone == zone {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// AnyIn returns a random instance in a zone that may serve; false if there is none. Only
// services for which isNamed returns true count: the store may list instances that do not
// belong to this fleet.
func (p *Pool) AnyIn(zone string, isNamed func(service string) bool) (Instance, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	var chosen Instance
	found := 0
	for _, e := range p.byID {
		if e.Zone != zone || !p.mayServe(e, now) || !isNamed(e.Service) {
			continue
		}
		found++
		if p.random.IntN(found) == 0 {
			chosen = e.Instance
		}
	}
	return chosen, found > 0
}

// MayBeIncomplete reports whether instances may be running that this daemon does not know
// of: before the first list and shortly after it, while the list cannot be read, and
// shortly after an outage.
func (p *Pool) MayBeIncomplete() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	// The first list may have followed an outage.
	isNew := p.firstListedAt.IsZero() || now.Sub(p.firstListedAt) < recoveryTime
	return isNew || p.listMayBeIncomplete(now)
}

// MarkListUnavailable records that the list can no longer be read. It may have changed at
// any time since it was last confirmed.
func (p *Pool) MarkListUnavailable() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !time.Now().Before(p.recoveryUntil) {
		p.outageSince = p.listedAt
	}
	p.listUnavailable = true
}

// MarkListAvailable records that the list can be read again.
func (p *Pool) MarkListAvailable() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.listUnavailable = false
	if now.Sub(p.outageSince) >= outageHeartbeats*p.options.Heartbeat {
		p.recoveryUntil = now.Add(recoveryTime)
	}
}

// HasList reports whether a list was ever received.
func (p *Pool) HasList() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.firstListedAt.IsZero()
}

// ConfirmList records that the last list was current as of the given time.
func (p *Pool) ConfirmList(asOf time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.firstListedAt.IsZero() || !asOf.After(p.listedAt) {
		return
	}
	p.listedAt = asOf
}

// ListAge returns the time since the list was last known to be current.
func (p *Pool) ListAge() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.firstListedAt.IsZero() {
		return 0
	}
	return time.Since(p.listedAt)
}
