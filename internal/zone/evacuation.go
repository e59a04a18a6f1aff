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
	// maxNewsOrders bounds the orders in one message, to some 4 KB. While more zones are
	// evacuated, daemons send each other no news, and learn of orders from the store alone.
	maxNewsOrders = 64
	// returnMemory is for how long it is kept that a zone was taken back: longer than back
	// ends take to warm up.
	returnMemory = 10 * time.Minute
)

// Order is the operators' order to send nothing to the back ends of a zone. It is in
// force until they take the zone back.
type EvacuationOrder struct {
	Zone string
	// Offset is that of the order's record among the operators' records. A repeated order
	// has a higher one.
	Offset int64
}

// Reading is the orders that were read from the operators' records.
type OrderSnapshot struct {
	// End is the offset after the last record that was read. The reading with the higher
	// End is the newer of two.
	End int64
	// Orders are those in force.
	Orders []EvacuationOrder
	// Partial: the reading may lack orders that are in force.
	Partial bool
}

// Change is a zone that was evacuated or taken back.
type EvacuationChange struct {
	EvacuationOrder
	// Evacuated: the zone was evacuated; otherwise it was taken back.
	Evacuated bool
	// Lasted is for how long an order that was taken back was in force.
	Lasted time.Duration
}

// Evacuations keeps which zones the operators evacuated, by the newest reading of this
// daemon's own or of another's news. It is a last-writer-wins register: its value is the
// whole set of orders, and its version the End of the reading. So an older reading or news
// changes nothing, and all daemons agree once each has the newest. The zero value is ready
// to use. It is safe for concurrent use.
type Evacuations struct {
	// writing is held while the state is replaced. It is read without a lock, as that is
	// done for each choice of an instance.
	writing sync.Mutex
	state   atomic.Pointer[evacuationState]
}

// evacuationState is immutable once it is in place.
type evacuationState struct {
	end int64
	// evacuated are the orders in force, and returned is when zones were last taken
	// back.
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

// Since tells whether a zone is evacuated, and since when as far as is known here.
func (e *Evacuations) EvacuatedSince(zone string) (since time.Time, evacuated bool) {
	order, evacuated := e.load().evacuated[zone]
	return order.since, evacuated
}

// ReturnedAt returns when this daemon heard that a zone was taken back; false if the zone
// is evacuated, or was not taken back within some returnMemory.
func (e *Evacuations) ReturnedAt(zone string) (at time.Time, returned bool) {
	at, returned = e.load().returned[zone]
	return at, returned
}

// LastOrderedAt returns when the latest of the orders in force was first known; false if
// none is in force.
func (e *Evacuations) LastOrderedAt() (at time.Time, ordered bool) {
	for _, order := range e.load().evacuated {
		if order.since.After(at) {
			at = order.since
		}
		ordered = true
	}
	return at, ordered
}

// InForce returns the orders in force, by zone.
func (e *Evacuations) InForce() []EvacuationOrder {
	var orders []EvacuationOrder
	for _, order := range e.load().evacuated {
		orders = append(orders, order.EvacuationOrder)
	}
	slices.SortFunc(orders, func(a, b EvacuationOrder) int { return cmp.Compare(a.Zone, b.Zone) })
	return orders
}

// Take takes this daemon's own reading, and returns what it changed. A reading that is not
// newer than what is known changes nothing.
func (e *Evacuations) ApplySnapshot(reading OrderSnapshot, now time.Time) []EvacuationChange {
	orders := map[string]timedOrder{}
	for _, order := range reading.Orders {
		orders[order.Zone] = timedOrder{EvacuationOrder: order, since: now}
	}
	return e.replace(reading.End, orders, reading.Partial, now)
}

// replace puts a newer set of orders in place. An order that was in force before keeps the
// time since when it is known.
func (e *Evacuations) replace(end int64, orders map[string]timedOrder, partial bool, now time.Time) []EvacuationChange {
	e.writing.Lock()
	defer e.writing.Unlock()
	before := e.load()
	if end <= before.end {
		return nil
	}
	if partial {
		end = before.end // a whole reading up to the same offset is newer
	}
	after := &evacuationState{end: end, evacuated: orders, returned: map[string]time.Time{}}
	for zone, at := range before.returned {
		if now.Sub(at) < returnMemory {
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

// News is what daemons tell each other of evacuations. It is part of messages that are
// sent for other reasons.
type EvacuationUpdate struct {
	// End is that of the reading which the orders come from.
	End    int64       `json:"end"`
	Orders []AgedOrder `json:"orders,omitempty"`
}

// ToldOrder is one order in force.
type AgedOrder struct {
	Zone   string `json:"zone"`
	Offset int64  `json:"offset"`
	// AgeMS is for how many milliseconds the order has been known to the teller.
	AgeMS int64 `json:"age_ms"`
}

// Asking returns the End that is sent along with a request to another daemon, so that only
// newer news comes back: 0 while no zone is evacuated or was taken back lately.
func (e *Evacuations) KnownEnd() int64 {
	if state := e.load(); len(state.evacuated)+len(state.returned) > 0 {
		return state.end
	}
	return 0
}

// Tell returns the news for a daemon that asked with an End; nil if there is none.
func (e *Evacuations) UpdateAfter(asked int64, now time.Time) *EvacuationUpdate {
	state := e.load()
	if asked >= state.end || (asked == 0 && e.KnownEnd() == 0) || len(state.evacuated) > maxNewsOrders {
		return nil
	}
	news := &EvacuationUpdate{End: state.end}
	for _, zone := range slices.Sorted(maps.Keys(state.evacuated)) {
		order := state.evacuated[zone]
		news.Orders = append(news.Orders, AgedOrder{Zone: zone, Offset: order.Offset, AgeMS: now.Sub(order.since).Milliseconds()})
	}
	return news
}

// Hear takes another daemon's news, and returns what it changed.
func (e *Evacuations) ApplyUpdate(news *EvacuationUpdate, now time.Time) []EvacuationChange {
	if news == nil || news.End <= e.load().end {
		return nil
	}
	orders := map[string]timedOrder{}
	for _, told := range news.Orders {
		age := time.Duration(max(told.AgeMS, 0)) * time.Millisecond
		orders[told.Zone] = timedOrder{EvacuationOrder: EvacuationOrder{Zone: told.Zone, Offset: told.Offset}, since: now.Add(-age)}
	}
	return e.replace(news.End, orders, false, now)
}
