package fanout

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// waitersLimit bounds the daemons that wait for this one's answer: ten times as many as the tree
// has ask it, for views of the members differ for a while.
const waitersLimit = 10 * fanOut

// leastWait is how long a request waits at least for the answer that there is nothing new. A daemon
// whose callers make it confirm their keys reads ten times a second, and all that follow it
// would. It is below silence, so that the next answer comes in time.
const leastWait = 150 * time.Millisecond

// bundlesKept are the bundles that a daemon keeps: neighbours may be fetching one while the next
// versions come. Four of 1.2 MB of routes take 0.5 MB.
const bundlesKept = 4

// reading is what a reading brought: the records of a range of offsets, newest as of a time.
type reading struct {
	records    []store.Record
	from, next int64
	asOf       time.Time
}

// replica is what this daemon has read, as far as it can hand it on. It is safe for concurrent
// use.
type replica struct {
	mutex sync.Mutex
	// sizes are those of the newest values by key.
	sizes map[string]int
	// hasRead tells whether a reading was made; newest are the newest records, deletions too, of
	// the keys that changed in offsets from start to end, as of asOf.
	hasRead    bool
	start, end int64
	newest     map[string]store.Record
	asOf       time.Time
	// bundles are the last ones, received or made.
	bundles []*bundle
	waiters map[structs.DaemonID]waiter
}

// waiter is a daemon that waits for news.
type waiter struct {
	request *Request
	arrived time.Time
}

// noteSizes takes note of the sizes of listed records.
func (r *replica) noteSizes(records []store.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.setSizes(records)
}

func (r *replica) setSizes(records []store.Record) {
	for _, record := range records {
		r.sizes[record.Key] = len(record.Value)
	}
}

// size returns the bytes of the newest values.
func (r *replica) size() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	size := 0
	for _, one := range r.sizes {
		size += one
	}
	return size
}

// take takes what a reading brought, with the bundle that brought it, if one did, and returns
// who waited for it.
func (r *replica) take(got reading, packed *bundle) map[structs.DaemonID]waiter {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.hasRead || got.from > r.end { // what lies between is not known
		r.hasRead, r.start, r.end, r.newest, r.bundles = true, got.from, got.from, map[string]store.Record{}, nil
	}
	if got.next > r.end {
		r.setSizes(got.records)
		for _, record := range got.records {
			r.newest[record.Key] = record
		}
		r.end = got.next
		r.keep(packed)
	}
	if got.asOf.After(r.asOf) {
		r.asOf = got.asOf
	}
	return r.due(time.Now())
}

// due removes the requests that are to be answered now, and returns them by who sent them.
func (r *replica) due(now time.Time) map[structs.DaemonID]waiter {
	due := map[structs.DaemonID]waiter{}
	for from, w := range r.waiters {
		if r.end > w.request.From || now.Sub(w.arrived) >= leastWait {
			due[from] = w
			delete(r.waiters, from)
		}
	}
	return due
}

// await keeps a request until the next reading, unless newer records are there by now or too
// many wait.
func (r *replica) await(from structs.DaemonID, w waiter) (kept bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.hasRead || r.end > w.request.From || len(r.waiters) >= waitersLimit {
		return false
	}
	if r.waiters == nil {
		r.waiters = map[structs.DaemonID]waiter{}
	}
	r.waiters[from] = w
	return true
}

// since returns a bundle of what follows an offset, nil if nothing does; false if that is not
// known.
func (r *replica) since(from int64) (packed *bundle, asOf time.Time, known bool) {
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
	r.keep(packed)
	return packed, r.asOf, true
}

// keep keeps a bundle, nil for none, in the place of the oldest.
func (r *replica) keep(packed *bundle) {
	if packed == nil {
		return
	}
	r.bundles = append(r.bundles, packed)
	if len(r.bundles) > bundlesKept {
		r.bundles = slices.Delete(r.bundles, 0, 1)
	}
}

// bundleOf returns the bundle of a name; false if this daemon has it no more.
func (r *replica) bundleOf(name string) (*bundle, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := slices.IndexFunc(r.bundles, func(packed *bundle) bool { return packed.name == name })
	if i < 0 {
		return nil, false
	}
	return r.bundles[i], true
}
