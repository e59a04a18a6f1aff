package fanout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// maxWaiters limits the daemons that may wait for this one's answer: ten times the number of
// children in the tree, since views of the membership may differ for a while.
const maxWaiters = 10 * fanOut

// minHoldTime is the minimum time that a request is held before it is answered with "unchanged".
// Without it, a daemon that refreshes ten times a second would make all its descendants do the
// same. It is less than neighbourTimeout, so that the answer is in time.
const minHoldTime = 150 * time.Millisecond

// maxCachedBundles is the number of bundles that are cached, as neighbours may still fetch one
// while newer versions arrive.
const maxCachedBundles = 4

// readResult is the result of a read: the records of a range of offsets, current as of a time.
type readResult struct {
	records    []store.Record
	from, next int64
	asOf       time.Time
}

// replica caches what this daemon has read, so that it can serve its neighbours. It is safe for
// concurrent use.
type replica struct {
	mutex sync.Mutex
	// sizes are the sizes of the newest values by key.
	sizes map[string]int
	// hasRead is set after the first read. newest holds the newest record, or deletion, of each key
	// that changed in the offsets from start to end, current as of asOf.
	hasRead    bool
	start, end int64
	newest     map[string]store.Record
	asOf       time.Time
	// bundles are the last bundles received or packed, oldest first.
	bundles []*bundle
	waiters map[structs.DaemonID]waiter
}

// waiter is a request of another daemon that waits for newer records.
type waiter struct {
	request *Request
	arrived time.Time
}

// recordSizes updates the sizes with the records of a listing.
func (r *replica) recordSizes(records []store.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.setSizes(records)
}

func (r *replica) setSizes(records []store.Record) {
	for _, record := range records {
		r.sizes[record.Key] = len(record.Value)
	}
}

// size returns the total size of the newest values in bytes.
func (r *replica) size() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	size := 0
	for _, one := range r.sizes {
		size += one
	}
	return size
}

// apply adds the result of a read, with the bundle that contained it if there is one, and returns
// the requests that can now be answered.
func (r *replica) apply(got readResult, packed *bundle) map[structs.DaemonID]waiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.hasRead || got.from > r.end { // the records in between are not known
		r.hasRead, r.start, r.end, r.newest, r.bundles = true, got.from, got.from, map[string]store.Record{}, nil
	}
	if got.next > r.end {
		r.setSizes(got.records)
		for _, record := range got.records {
			r.newest[record.Key] = record
		}
		r.end = got.next
		r.cacheBundle(packed)
	}
	if got.asOf.After(r.asOf) {
		r.asOf = got.asOf
	}
	return r.takeDue(time.Now())
}

// takeDue removes and returns the requests that are to be answered now, by sender.
func (r *replica) takeDue(now time.Time) map[structs.DaemonID]waiter {
	due := map[structs.DaemonID]waiter{}
	for from, w := range r.waiters {
		if r.end > w.request.From || now.Sub(w.arrived) >= minHoldTime {
			due[from] = w
			delete(r.waiters, from)
		}
	}
	return due
}

// hold holds a request until the next read. It returns false if newer records are available by now
// or too many requests wait.
func (r *replica) hold(from structs.DaemonID, w waiter) (held bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.hasRead || r.end > w.request.From || len(r.waiters) >= maxWaiters {
		return false
	}
	if r.waiters == nil {
		r.waiters = map[structs.DaemonID]waiter{}
	}
	r.waiters[from] = w
	return true
}

// bundleSince returns a bundle of the records from an offset on, nil if there are none; known is
// false if this daemon does not know them.
func (r *replica) bundleSince(from int64) (packed *bundle, asOf time.Time, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case !r.hasRead:
		return nil, time.Time{}, false
	case from >= r.end:
		return nil, r.asOf, true
	}
	for _, packed := range r.bundles {
		if packed.end == r.end && packed.from <= from {
			return packed, r.asOf, true
		}
	}
	if from < r.start {
		return nil, time.Time{}, false
	}
	var records []store.Record
	for _, record := range r.newest {
		if record.Offset >= from {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	packed, err := packBundle(from, r.end, records)
	if err != nil {
		return nil, time.Time{}, false
	}
	r.cacheBundle(packed)
	return packed, r.asOf, true
}

// cacheBundle caches a bundle, if it is not nil, and drops the oldest if there are too many.
func (r *replica) cacheBundle(packed *bundle) {
	if packed == nil {
		return
	}
	r.bundles = append(r.bundles, packed)
	if len(r.bundles) > maxCachedBundles {
		r.bundles = slices.Delete(r.bundles, 0, 1)
	}
}

// bundleByHash returns the cached bundle with a hash; false if there is none.
func (r *replica) bundleByHash(hash string) (*bundle, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := slices.IndexFunc(r.bundles, func(packed *bundle) bool { return packed.hash == hash })
	if i < 0 {
		return nil, false
	}
	return r.bundles[i], true
}
