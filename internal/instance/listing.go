package instance

import (
	"time"
)

const (
	// vanishedLife is how long an instance is a last resort that is not on the
	// list any more, from when its entry was last confirmed. While the store is down
	// entries lapse of instances that are well, and they are written anew only after
	// it is back. It must stay below the time that instances serve on after they
	// were taken off: a reading that comes late must not add to it.
	vanishedLife = 1200 * time.Millisecond
	// lapsedLife is how long after the store's return instances are still tried
	// that are missing on the list: entries of those that are well lapse in an
	// outage and are written anew within about two seconds of its end.
	lapsedLife = 2200 * time.Millisecond
	// shortestLapse is the shortest time without a confirmed list in which an entry of
	// an instance that is well can lapse: entries are written every 1.2 s and go after
	// three of these without a write, of which the first may have been due when the
	// outage began. A shorter time is a late reading of our own, and what is missing
	// after it has left.
	shortestLapse = 2400 * time.Millisecond
)

// mayServe tells whether an instance may get requests.
func (p *Pool) mayServe(e *entry, now time.Time) bool {
	switch {
	case e.State != StateReady:
		return false
	case e.vanished.IsZero(), p.mayHaveLapsed(e, now):
		return true
	}
	return now.Sub(e.vanished) < vanishedLife
}

// mayHaveLapsed tells whether an instance that is missing on the list may be
// well: its entry may have lapsed in an outage. One that was taken off before is
// leaving.
func (p *Pool) mayHaveLapsed(e *entry, now time.Time) bool {
	return p.isListUncertain(now) && !e.vanished.Before(p.lapsedSince)
}

// isListUncertain tells whether instances that are well may be missing on the
// list: nobody can know while it cannot be read and shortly after.
func (p *Pool) isListUncertain(now time.Time) bool {
	return p.lost || now.Before(p.lapsedUntil)
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

// AnyIn returns an instance in a zone that may serve, chosen at random; false if there is
// none. It is of a service that is named: whoever lists others may be no back end of ours.
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

// IsUncertain tells whether instances may be running that this daemon does not
// know of: before the first list, while none can be read, and shortly after.
func (p *Pool) MayBeIncomplete() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	isNew := now.Sub(p.firstListedAt) < lapsedLife // the first list may have followed an outage
	return isNew || p.isListUncertain(now)
}

// NoteLost takes note that the list cannot be read any more. It may have changed ever since
// it was last confirmed.
func (p *Pool) MarkListUnavailable() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !time.Now().Before(p.lapsedUntil) {
		p.lapsedSince = p.listedAt
	}
	p.lost = true
}

// NoteReturned takes note that the list can be read again.
func (p *Pool) MarkListAvailable() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.lost = false
	if now.Sub(p.lapsedSince) >= shortestLapse {
		p.lapsedUntil = now.Add(lapsedLife)
	}
}

// Listed tells whether a list was ever taken.
func (p *Pool) HasList() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.firstListedAt.IsZero()
}

// Confirm takes note that the last list was the newest as of a time.
func (p *Pool) ConfirmList(asOf time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.firstListedAt.IsZero() || !asOf.After(p.listedAt) {
		return
	}
	p.listedAt = asOf
}

// Age tells how long ago the list was known to be the newest.
func (p *Pool) ListAge() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.firstListedAt.IsZero() {
		return 0
	}
	return time.Since(p.listedAt)
}
