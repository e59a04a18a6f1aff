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
	// freshFor is how old a daemon's reading of the record may be for it to send a cold
	// instance anything: time for two early readings, each with refreshPause and a slow
	// answer.
	freshFor = 3 * time.Second
	// renewAfter is the age from which a request makes the record be read again.
	renewAfter = freshFor / 2
	// countedAfter is how long a daemon must have been on the record until it sends, and
	// for how long the others count one that is missing there. It is above freshFor +
	// permitLife + 1 s, so that all who send within one second count each other.
	countedAfter = 5 * time.Second
)

// roster is which daemons are on record in the store, as one of them has read.
type roster struct {
	own uint64
	// others are the hashes of the other daemons' addresses, those included that are
	// not on record any more and still count.
	others []uint64
	// missingSince is, by address, since when a daemon is missing on the record; zero
	// while it is there.
	missingSince map[string]time.Time
	// listedSince is when this daemon was first found on the record, zero if it is not
	// there.
	listedSince time.Time
	// asOf is when the record is known to have been the newest.
	asOf time.Time
	// revision counts changes.
	revision uint64

	ownAddress string
}

// newRoster returns the roster of a daemon that has read nothing yet.
func newRoster(ownAddress string) *roster {
	return &roster{ownAddress: ownAddress, own: hashOf(ownAddress), missingSince: map[string]time.Time{}}
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// take takes the addresses on record.
func (r *roster) take(onRecord []string, now time.Time) {
	listed := make(map[string]bool, len(onRecord))
	for _, address := range onRecord {
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
		r.listedSince = time.Time{}
	case r.listedSince.IsZero():
		r.listedSince = now
	}
	r.rebuild(now)
}

// confirm takes note that the record taken last was the newest as of a time.
func (r *roster) confirm(asOf, now time.Time) {
	if asOf.After(r.asOf) {
		r.asOf = asOf
	}
	for _, since := range r.missingSince {
		if !since.IsZero() && now.Sub(since) > countedAfter {
			r.rebuild(now)
			return
		}
	}
}

// rebuild drops the daemons that have been missing for longer than countedAfter, and
// lists the others anew.
func (r *roster) rebuild(now time.Time) {
	r.revision++
	r.others = r.others[:0]
	for address, since := range r.missingSince {
		if !since.IsZero() && now.Sub(since) > countedAfter {
			delete(r.missingSince, address)
			continue
		}
		if address != r.ownAddress {
			r.others = append(r.others, hashOf(address))
		}
	}
}

// isCounted tells whether the other daemons count this one.
func (r *roster) isCounted(now time.Time) bool {
	return !r.listedSince.IsZero() && now.Sub(r.listedSince) >= countedAfter
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
