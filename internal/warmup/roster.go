package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// permitLife is how long a request may take from its choice to its first byte; one
	// that takes longer is chosen anew. A connection takes 400 ms at most.
	permitLife = 500 * time.Millisecond
	// window is the time in which a daemon sends a cold instance no more than its
	// share: any second of sendings was chosen within it.
	window = time.Second + permitLife
	// freshFor is how old a daemon's reading of the record may be for it to send a
	// cold instance anything: two hurried readings, each with a pause and the time of
	// a slow answer.
	freshFor = 3 * time.Second
	// renewAfter is the age at which it is read again, if a request asks for it.
	renewAfter = freshFor / 2
	// countedAfter is how long a daemon must have been on record until it counts itself,
	// and for how long the others count one that is not any more. It is above freshFor
	// + permitLife + 1 s, so that whoever sends in a second is counted by all who do.
	countedAfter = 5 * time.Second
)

// roster is which daemons are on record in the store, as one of them has read.
type roster struct {
	own uint64
	// others are the hashes of the other daemons' addresses, those included that are
	// not on record any more and still count.
	others []uint64
	// gone tells since when a daemon is not on record any more, zero while it is.
	gone map[string]time.Time
	// since is when this daemon's own record was first read, zero if it is not there.
	since time.Time
	// asOf is the time as of which all this is the newest.
	asOf time.Time
	// revision counts changes.
	revision uint64

	ownAddress string
}

// newRoster returns the roster of a daemon that has read nothing yet.
func newRoster(ownAddress string) *roster {
	return &roster{ownAddress: ownAddress, own: hashOf(ownAddress), gone: map[string]time.Time{}}
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// take takes the addresses on record.
func (r *roster) take(onRecord []string, now time.Time) {
	listed := make(map[string]bool, len(onRecord))
	for _, address := range onRecord {
		listed[address] = true
		r.gone[address] = time.Time{}
	}
	for address, since := range r.gone {
		if !listed[address] && since.IsZero() {
			r.gone[address] = now
		}
	}
	switch {
	case !listed[r.ownAddress]:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
	r.count(now)
}

// confirm takes note that what was taken last is the newest as of a time.
func (r *roster) confirm(asOf, now time.Time) {
	if asOf.After(r.asOf) {
		r.asOf = asOf
	}
	for _, since := range r.gone {
		if !since.IsZero() && now.Sub(since) > countedAfter {
			r.count(now)
			return
		}
	}
}

// count forgets daemons that are gone for long, and lists the others anew.
func (r *roster) count(now time.Time) {
	r.revision++
	r.others = r.others[:0]
	for address, since := range r.gone {
		if !since.IsZero() && now.Sub(since) > countedAfter {
			delete(r.gone, address)
			continue
		}
		if address != r.ownAddress {
			r.others = append(r.others, hashOf(address))
		}
	}
}

// isCounted tells whether the other daemons count this one.
func (r *roster) isCounted(now time.Time) bool {
	return !r.since.IsZero() && now.Sub(r.since) >= countedAfter
}

func (r *roster) age(now time.Time) time.Duration { return now.Sub(r.asOf) }

// share returns how many requests this daemon may send a cold instance in each window,
// so that all daemons together send no more than rate. 0: others do.
//
// The requests of a window, 0 to rate-1, are dealt out to the daemons in the order of
// their rank, in turns. A daemon that knows others which do not send ranks itself no
// higher among more, and counts on fewer than are dealt to it.
func (r *roster) share(instance uint64, rate int) int {
	rank, daemons := 0, len(r.others)+1
	own := mix(r.own ^ instance)
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

// mix spreads a hash over all bits; it is the last step of SplitMix64.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
