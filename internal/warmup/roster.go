package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// permitTTL is how long a request may take from the choice of its instance to its first
	// byte; after that another choice is made. Connecting takes 400 ms at most.
	permitTTL = 500 * time.Millisecond
	// window is the time in which a daemon sends a cold instance at most its share. It is
	// longer than a second by permitTTL, so that requests sent within any one second were
	// all chosen within one window.
	window = time.Second + permitTTL
	// maxRosterAge is the maximum age of a daemon's read of the registry at which it sends
	// requests to cold instances: enough for two early reads, each after minRefreshInterval
	// and with a slow answer.
	maxRosterAge = 3 * time.Second
	// refreshAge is the age from which a request triggers a read of the registry.
	refreshAge = maxRosterAge / 2
	// membershipDelay is how long a daemon must have been registered before it sends, and
	// for how long the others count one that is missing. It exceeds maxRosterAge +
	// permitTTL + 1 s, so that all daemons that send within one second count each other.
	membershipDelay = 5 * time.Second
)

// roster holds the daemons in the store's registry, as last read by one of them.
type roster struct {
	ownHash uint64
	// others holds the hashes of the other daemons' addresses, including missing ones that
	// still count.
	others []uint64
	// missingSince holds, by address, since when a daemon has been missing from the
	// registry; zero while it is there.
	missingSince map[string]time.Time
	// registeredSince is when this daemon was first found in the registry; zero if it is
	// not there.
	registeredSince time.Time
	// asOf is the time as of which the registry is known to have been read.
	asOf time.Time
	// revision is incremented with each change.
	revision uint64

	ownAddress string
}

// newRoster returns the roster of a daemon that has not read the registry yet.
func newRoster(ownAddress string) *roster {
	return &roster{ownAddress: ownAddress, ownHash: hashOf(ownAddress), missingSince: map[string]time.Time{}}
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// update sets the registered addresses.
func (r *roster) update(registered []string, now time.Time) {
	listed := make(map[string]bool, len(registered))
	for _, address := range registered {
		listed[address] = true
		r.missingSince[address] = time.Time{}
	}
	for address, since := range r.missingSince {
		if !listed[address] && since.IsZero() {
			r.missingSince[address] = now
		}
	}
	switch {
	case !listed[r.ownAddress]:
		r.registeredSince = time.Time{}
	case r.registeredSince.IsZero():
		r.registeredSince = now
	}
	r.rebuild(now)
}

// confirm records that the registered addresses were current as of the given time.
func (r *roster) confirm(asOf, now time.Time) {
	if asOf.After(r.asOf) {
		r.asOf = asOf
	}
	for _, since := range r.missingSince {
		if !since.IsZero() && now.Sub(since) > membershipDelay {
			r.rebuild(now)
			return
		}
	}
}

// rebuild removes the daemons that have been missing for longer than membershipDelay, and
// rebuilds others.
func (r *roster) rebuild(now time.Time) {
	r.revision++
	r.others = r.others[:0]
	for address, since := range r.missingSince {
		if !since.IsZero() && now.Sub(since) > membershipDelay {
			delete(r.missingSince, address)
			continue
		}
		if address != r.ownAddress {
			r.others = append(r.others, hashOf(address))
		}
	}
}

// isCounted reports whether the other daemons count this one.
func (r *roster) isCounted(now time.Time) bool {
	return !r.registeredSince.IsZero() && now.Sub(r.registeredSince) >= membershipDelay
}

// age returns the time since the roster was known to be current.
func (r *roster) age(now time.Time) time.Duration { return now.Sub(r.asOf) }

// share returns how many requests this daemon may send a cold instance in each window, so
// that all daemons together send at most rate; 0 if its rank is too low.
//
// The requests of a window, 0 to rate-1, are dealt out to the daemons in the order of their
// rank, round-robin. Further daemons in the roster that do not send can only lower this
// daemon's rank and its share.
func (r *roster) share(instance uint64, rate int) int {
	rank, daemons := 0, len(r.others)+1
	own := mix(r.ownHash ^ instance)
	for _, other := range r.others {
		if mix(other^instance) < own {
			continue
		}
		if rank++; rank >= rate {
			return 0
		}
	}
	return max(rate-rank+daemons-1, 0) / daemons
}

// mix spreads a hash over all bits; it is the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
