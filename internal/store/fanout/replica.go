package fanout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// maxWaiters limits the daemons that may wait for this one's answer: ten times the number of
	// children in the tree, since views of the membership may differ for a while.
	maxWaiters = 10 * fanOut
	// minHoldTime is the minimum time that a request is held before it is answered with "unchanged".
	// Without it, a daemon that refreshes ten times a second would make all its descendants do the
	// same. It is less than neighbourTimeout, so that the answer is in time.
	minHoldTime = 150 * time.Millisecond
	// maxCachedBundles is the number of bundles of changes that are cached, as neighbours may still
	// fetch one while newer versions arrive.
	maxCachedBundles = 4
	// maxRecentChanges is the number of changes that are kept for daemons that are behind.
	maxRecentChanges = 4096
	// wholeLagShare is the share of the keys that may have changed since the cached bundle of all
	// records was packed, until another is packed. Who gets an older one reads the changes after it.
	wholeLagShare = 0.1
)

// readResult is the result of a read: the records of a range of offsets, current as of a time.
type readResult struct {
	records    []store.Record
	from, next int64
	asOf       time.Time
}

// replica caches what this daemon has read of a partition, so that it can serve its neighbours. It
// is safe for concurrent use.
type replica struct {
	mutex sync.Mutex
	// newest holds the newest record of each key that is known, and size the size of their values
	// in bytes. isComplete is set if these are all keys.
	newest     map[string]store.Record
	size       int
	isComplete bool
	// hasRead is set after the first read. changes holds the newest record, or deletion, of each key
	// that changed in the offsets from start to end, ordered by offset and current as of asOf. One
	// that a later change superseded has no key.
	hasRead    bool
	start, end int64
	changes    []store.Record
	asOf       time.Time
	// bundles are the last bundles of changes received or packed, oldest first, and whole is the
	// last bundle of all records, nil if there is none.
	bundles []*bundle
	whole   *bundle
	waiters map[structs.DaemonID]waiter
}

// waiter is a request of another daemon that waits for newer records, or for all of them.
type waiter struct {
	request *Request
	arrived time.Time
}

func newReplica() *replica { return &replica{newest: map[string]store.Record{}} }

// totalSize returns the total size of the newest values in bytes.
func (r *replica) totalSize() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.size
}

// setListing replaces everything by a listing, with the bundle that contained it if there is one,
// and returns the requests that can now be answered.
func (r *replica) setListing(listing store.Listing, packed *bundle) map[structs.DaemonID]waiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.newest, r.size, r.isComplete = make(map[string]store.Record, len(listing.Records)), 0, true
	for _, record := range listing.Records {
		r.setNewest(record)
	}
	r.hasRead, r.start, r.end, r.changes, r.bundles = true, listing.End, listing.End, nil, nil
	r.whole = packed
	r.asOf = listing.AsOf
	return r.takeDue(time.Now())
}

// setNewest applies the newest record of a key; one without a value deletes the key.
func (r *replica) setNewest(record store.Record) {
	r.size += len(record.Value) - len(r.newest[record.Key].Value)
	if len(record.Value) == 0 {
		delete(r.newest, record.Key)
		return
	}
	r.newest[record.Key] = record
}

// apply adds the result of a read, with the bundle that contained it if there is one, and returns
// the requests that can now be answered.
func (r *replica) apply(got readResult, packed *bundle) map[structs.DaemonID]waiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.hasRead || got.from > r.end { // the records in between are not known
		r.hasRead, r.isComplete = true, false
		r.start, r.end, r.changes, r.bundles, r.whole = got.from, got.from, nil, nil, nil
	}
	if got.next > r.end {
		for _, record := range got.records {
			if record.Offset >= r.end {
				r.addChange(record)
			}
		}
		r.end = got.next
		r.forgetOldChanges()
		r.cacheBundle(packed)
	}
	if got.asOf.After(r.asOf) {
		r.asOf = got.asOf
	}
	return r.takeDue(time.Now())
}

// addChange appends a change, which supersedes an earlier one of the same key.
func (r *replica) addChange(record store.Record) {
	if former, known := r.newest[record.Key]; known && former.Offset >= r.start {
		if place, found := r.changeAt(former.Offset); found {
			r.changes[place] = store.Record{Offset: former.Offset}
		}
	}
	r.changes = append(r.changes, record)
	r.setNewest(record)
}

// changeAt returns the place of the first change at or after an offset.
func (r *replica) changeAt(offset int64) (place int, found bool) {
	return slices.BinarySearchFunc(r.changes, offset, func(change store.Record, at int64) int { return cmp.Compare(change.Offset, at) })
}

// forgetOldChanges keeps between maxRecentChanges and twice as many changes.
func (r *replica) forgetOldChanges() {
	if len(r.changes) <= 2*maxRecentChanges {
		return
	}
	r.changes = slices.Clone(r.changes[len(r.changes)-maxRecentChanges:])
	r.start = r.changes[0].Offset
}

// takeDue removes and returns the requests that are to be answered now, by sender.
func (r *replica) takeDue(now time.Time) map[structs.DaemonID]waiter {
	due := map[structs.DaemonID]waiter{}
	for from, w := range r.waiters {
		if r.isDue(w, now) {
			due[from] = w
			delete(r.waiters, from)
		}
	}
	return due
}

// isDue reports whether a request can be answered.
func (r *replica) isDue(w waiter, now time.Time) bool {
	if w.request.wantsAll() {
		return r.isComplete
	}
	return r.end > w.request.From || now.Sub(w.arrived) >= minHoldTime
}

// takeHeld removes a request that is still held; false if it was answered.
func (r *replica) takeHeld(from structs.DaemonID, request *Request) (w waiter, held bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if w = r.waiters[from]; w.request != request {
		return waiter{}, false
	}
	delete(r.waiters, from)
	return w, true
}

// confirmedAt returns the time as of which the records are known to be the newest.
func (r *replica) confirmedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.asOf
}

// hold holds a request until the next read. It returns false if it can be answered by now or too
// many requests wait.
func (r *replica) hold(from structs.DaemonID, w waiter) (held bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	mustWait := r.hasRead && r.end <= w.request.From
	if w.request.wantsAll() {
		mustWait = !r.isComplete
	}
	if !mustWait || len(r.waiters) >= maxWaiters {
		return false
	}
	if r.waiters == nil {
		r.waiters = map[structs.DaemonID]waiter{}
	}
	r.waiters[from] = w
	return true
}

// bundleSince returns a bundle of the changes from an offset on, nil if there are none; known is
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
	place, _ := r.changeAt(from)
	var records []store.Record
	for _, change := range r.changes[place:] {
		if change.Key != "" {
			records = append(records, change)
		}
	}
	packed, err := packBundle(from, r.end, records)
	if err != nil {
		return nil, time.Time{}, false
	}
	r.cacheBundle(packed)
	return packed, r.asOf, true
}

// bundleOfAll returns a bundle of the newest records of all keys; known is false if this daemon does
// not know them.
func (r *replica) bundleOfAll() (packed *bundle, asOf time.Time, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.isComplete {
		return nil, time.Time{}, false
	}
	if r.whole == nil || r.whole.end < r.start || float64(r.end-r.whole.end) > wholeLagShare*float64(len(r.newest)) {
		records := make([]store.Record, 0, len(r.newest))
		for _, record := range r.newest {
			records = append(records, record)
		}
		slices.SortFunc(records, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
		packed, err := packBundle(fromAll, r.end, records)
		if err != nil {
			return nil, time.Time{}, false
		}
		r.whole = packed
	}
	return r.whole, r.asOf, true
}

// cacheBundle caches a bundle of changes, if it is not nil, and drops the oldest if there are too
// many.
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
	if r.whole != nil && r.whole.hash == hash {
		return r.whole, true
	}
	i := slices.IndexFunc(r.bundles, func(packed *bundle) bool { return packed.hash == hash })
	if i < 0 {
		return nil, false
	}
	return r.bundles[i], true
}
