package zone

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxUpdateOrders limits the orders in one update, to about 4 KB. While more zones are
	// evacuated, daemons send each other no updates and learn of orders from the store
	// alone.
	maxUpdateOrders = 64
	// returnTTL is for how long the end of an evacuation is remembered: longer than back
	// ends take to warm up.
	returnTTL = 10 * time.Minute
)

// EvacuationOrder is an operator's order to send no requests to the back ends of a zone. It
// is in force until an operator ends the evacuation.
type EvacuationOrder struct {
	Zone string
	// Offset is the offset of the order's record among the operators' records. A repeated
	// order has a higher one.
	Offset int64
}

// OrderSnapshot is the set of orders as of an offset in the operators' records.
type OrderSnapshot struct {
	// End is the offset after the last record that was read. Of two snapshots the one with
	// the higher End is newer.
	End int64
	// Orders are the orders in force.
	Orders []EvacuationOrder
	// Partial is set if orders in force may be missing from the snapshot.
	Partial bool
}

// EvacuationChange is the start or the end of a zone's evacuation.
type EvacuationChange struct {
	EvacuationOrder
	// Evacuated is set if the evacuation started; otherwise it ended.
	Evacuated bool
	// Lasted is how long an evacuation that ended was in force.
	Lasted time.Duration
}

// Evacuations tracks which zones are evacuated, from the newest of this daemon's own
// snapshots and other daemons' updates. It is a last-writer-wins register: the value is the
// whole set of orders, and the version the End of the snapshot. An older snapshot or update
// has no effect, and all daemons agree once each has the newest. The zero value is ready to
// use. It is safe for concurrent use.
type Evacuations struct {
	// writeMutex is held while the state is replaced. Reads take no lock, as they happen for
	// each choice of an instance.
	writeMutex sync.Mutex
	state      atomic.Pointer[evacuationState]
}

// evacuationState is immutable once stored.
type evacuationState struct {
	end int64
	// evacuated holds the orders in force, and returned when other zones' evacuations
	// ended, both by zone.
	evacuated map[string]timedOrder
	returned  map[string]time.Time
}

type timedOrder struct {
	EvacuationOrder
	since time.Time
}

var noEvacuations = &evacuationState{}

func (e *Evacuations) load() *evacuationState {
	if state := e.state.Load(); state != nil {
		return state
	}
	return noEvacuations
}

// EvacuatedSince returns since when a zone is known to be evacuated; false if it is not.
func (e *Evacuations) EvacuatedSince(zone string) (since time.Time, evacuated bool) {
	order, evacuated := e.load().evacuated[zone]
	return order.since, evacuated
}

// ReturnedAt returns when this daemon learned that a zone's evacuation ended; false if the
// zone is evacuated, or its evacuation ended longer ago than is remembered.
func (e *Evacuations) ReturnedAt(zone string) (at time.Time, returned bool) {
	at, returned = e.load().returned[zone]
	return at, returned
}

// LastOrderedAt returns when the latest of the orders in force became known; false if none
// is in force.
func (e *Evacuations) LastOrderedAt() (at time.Time, ordered bool) {
	for _, order := range e.load().evacuated {
		if order.since.After(at) {
			at = order.since
		}
		ordered = true
	}
	return at, ordered
}

// InForce returns the orders in force, sorted by zone.
func (e *Evacuations) InForce() []EvacuationOrder {
	var orders []EvacuationOrder
	for _, order := range e.load().evacuated {
		orders = append(orders, order.EvacuationOrder)
	}
	slices.SortFunc(orders, func(a, b EvacuationOrder) int { return cmp.Compare(a.Zone, b.Zone) })
	return orders
}

// ApplySnapshot applies a snapshot that this daemon read, and returns the changes. A
// snapshot that is not newer than the known state has no effect.
func (e *Evacuations) ApplySnapshot(snapshot OrderSnapshot, now time.Time) []EvacuationChange {
	orders := map[string]timedOrder{}
	for _, order := range snapshot.Orders {
		orders[order.Zone] = timedOrder{EvacuationOrder: order, since: now}
	}
	return e.replace(snapshot.End, orders, snapshot.Partial, now)
}

// replace stores a newer set of orders. An order for a zone that is already evacuated keeps
// the time at which the evacuation became known.
func (e *Evacuations) replace(end int64, orders map[string]timedOrder, partial bool, now time.Time) []EvacuationChange {
	e.writeMutex.Lock()
	defer e.writeMutex.Unlock()
	before := e.load()
	if end <= before.end {
		return nil
	}
	if partial {
		end = before.end // so that a complete snapshot with the same end still applies
	}
	after := &evacuationState{end: end, evacuated: orders, returned: map[string]time.Time{}}
	for zone, at := range before.returned {
		if now.Sub(at) < returnTTL {
			after.returned[zone] = at
		}
	}
	var changes []EvacuationChange
	for zone, order := range orders {
		if known, isKnown := before.evacuated[zone]; isKnown {
			order.since = known.since
			orders[zone] = order
			continue
		}
		delete(after.returned, zone)
		changes = append(changes, EvacuationChange{EvacuationOrder: order.EvacuationOrder, Evacuated: true})
	}
	for zone, order := range before.evacuated {
		if _, still := orders[zone]; still {
			continue
		}
		if partial {
			orders[zone] = order
			continue
		}
		after.returned[zone] = now
		changes = append(changes, EvacuationChange{EvacuationOrder: order.EvacuationOrder, Lasted: now.Sub(order.since)})
	}
	e.state.Store(after)
	slices.SortFunc(changes, func(a, b EvacuationChange) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}

// EvacuationUpdate carries the known orders to another daemon, as part of messages that are
// sent for other reasons.
type EvacuationUpdate struct {
	// End is the End of the snapshot that the orders come from.
	End    int64       `json:"end"`
	Orders []AgedOrder `json:"orders,omitempty"`
}

// AgedOrder is an order in force with its age.
type AgedOrder struct {
	Zone   string `json:"zone"`
	Offset int64  `json:"offset"`
	// AgeMS is for how many milliseconds the sender has known the order.
	AgeMS int64 `json:"age_ms"`
}

// KnownEnd returns the End to send along with a request to another daemon, which returns
// only a newer update: 0 while no zone is evacuated and none was lately.
func (e *Evacuations) KnownEnd() int64 {
	if state := e.load(); len(state.evacuated)+len(state.returned) > 0 {
		return state.end
	}
	return 0
}

// UpdateAfter returns the update for a daemon that sent its known End; nil if there is
// none.
func (e *Evacuations) UpdateAfter(knownEnd int64, now time.Time) *EvacuationUpdate {
	state := e.load()
	if knownEnd >= state.end || (knownEnd == 0 && e.KnownEnd() == 0) || len(state.evacuated) > maxUpdateOrders {
		return nil
	}
	update := &EvacuationUpdate{End: state.end}
	for _, zone := range slices.Sorted(maps.Keys(state.evacuated)) {
		order := state.evacuated[zone]
		update.Orders = append(update.Orders, AgedOrder{Zone: zone, Offset: order.Offset, AgeMS: now.Sub(order.since).Milliseconds()})
	}
	return update
}

// ApplyUpdate applies another daemon's update, and returns the changes.
func (e *Evacuations) ApplyUpdate(update *EvacuationUpdate, now time.Time) []EvacuationChange {
	if update == nil || update.End <= e.load().end {
		return nil
	}
	orders := map[string]timedOrder{}
	for _, aged := range update.Orders {
		age := time.Duration(max(aged.AgeMS, 0)) * time.Millisecond
		orders[aged.Zone] = timedOrder{EvacuationOrder: EvacuationOrder{Zone: aged.Zone, Offset: aged.Offset}, since: now.Add(-age)}
	}
	return e.replace(update.End, orders, false, now)
}
