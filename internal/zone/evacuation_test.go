package zone

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2026, time.December, 2, 22, 0, 0, 0, time.UTC)

// evacuatedZones returns the offsets of the orders in force, by zone.
func evacuatedZones(e *Evacuations) map[string]int64 {
	zones := map[string]int64{}
	for _, order := range e.InForce() {
		zones[order.Zone] = order.Offset
	}
	return zones
}

// orderLog is the operators' log: at each offset an order, the end of an evacuation, or
// another record. A snapshot with a given end reflects the records before it.
type orderLog []struct {
	zone      string
	evacuated bool
}

func (l orderLog) inForce(end int64) map[string]int64 {
	zones := map[string]int64{}
	for offset, record := range l[:end] {
		switch {
		case record.zone == "":
		case record.evacuated:
			zones[record.zone] = int64(offset)
		default:
			delete(zones, record.zone)
		}
	}
	return zones
}

func (l orderLog) snapshot(end int64) OrderSnapshot {
	snapshot := OrderSnapshot{End: end}
	for zone, offset := range l.inForce(end) {
		snapshot.Orders = append(snapshot.Orders, EvacuationOrder{Zone: zone, Offset: offset})
	}
	return snapshot
}

// Daemons read the log up to arbitrary ends, repeatedly, and send each other updates that
// arrive late, out of order and more than once. At any time each daemon must hold exactly
// the orders as of the newest end that it has received.
func TestUpdatesInAnyOrderConvergeToTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log orderLog
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			log = append(log, struct {
				zone      string
				evacuated bool
			}{rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "zone"), rapid.Bool().Draw(t, "evacuated")})
		}
		daemons := make([]*Evacuations, 3)
		newest := make([]int64, len(daemons))
		for i := range daemons {
			daemons[i] = &Evacuations{}
		}
		var sent []*EvacuationUpdate
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				end := int64(rapid.IntRange(0, len(log)).Draw(t, "end"))
				daemons[i].ApplySnapshot(log.snapshot(end), now)
				newest[i] = max(newest[i], end)
			case 1:
				if update := daemons[i].UpdateAfter(0, now); update != nil {
					sent = append(sent, update)
				}
			case 2:
				if len(sent) > 0 {
					update := rapid.SampledFrom(sent).Draw(t, "news")
					daemons[i].ApplyUpdate(update, now)
					newest[i] = max(newest[i], update.End)
				}
			}
			if diff := cmp.Diff(log.inForce(newest[i]), evacuatedZones(daemons[i])); diff != "" {
				t.Fatalf("daemon %d as of %d (-want +got):\n%s", i, newest[i], diff)
			}
		}
		// One daemon reads the whole log, and the others request updates from it.
		end := int64(len(log))
		daemons[0].ApplySnapshot(log.snapshot(end), now)
		for i, daemon := range daemons[1:] {
			daemon.ApplyUpdate(daemons[0].UpdateAfter(daemon.KnownEnd(), now), now)
			if len(evacuatedZones(daemons[0])) == 0 && len(evacuatedZones(daemon)) == 0 {
				continue // no order is known, so no update is sent
			}
			if diff := cmp.Diff(evacuatedZones(daemons[0]), evacuatedZones(daemon)); diff != "" {
				t.Fatalf("daemon %d after asking (-want +got):\n%s", i+1, diff)
			}
		}
	})
}

func TestOrdersKeepTheirAgeAndReportChanges(t *testing.T) {
	var near, far Evacuations
	order := EvacuationOrder{Zone: "c", Offset: 4}
	changes := near.ApplySnapshot(OrderSnapshot{End: 5, Orders: []EvacuationOrder{order}}, start)
	if diff := cmp.Diff([]EvacuationChange{{EvacuationOrder: order, Evacuated: true}}, changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	later := start.Add(3 * time.Second)
	far.ApplyUpdate(near.UpdateAfter(0, later), later)
	if since, evacuated := far.EvacuatedSince("c"); !evacuated || !since.Equal(start) {
		t.Errorf("the other daemon knows it since %s, want %s", since, start)
	}
	if near.UpdateAfter(far.KnownEnd(), later) != nil {
		t.Error("an update is returned to a daemon that knows as much")
	}
	near.ApplySnapshot(OrderSnapshot{End: 6, Orders: []EvacuationOrder{{Zone: "c", Offset: 5}}}, later) // repeated order
	if since, _ := near.EvacuatedSince("c"); !since.Equal(start) {
		t.Errorf("a repeated order counts since %s, want the first order's time", since)
	}
	changes = near.ApplySnapshot(OrderSnapshot{End: 7}, later)
	if diff := cmp.Diff([]EvacuationChange{{EvacuationOrder: EvacuationOrder{Zone: "c", Offset: 5}, Lasted: 3 * time.Second}}, changes); diff != "" {
		t.Errorf("changes at the end (-want +got):\n%s", diff)
	}
	far.ApplyUpdate(near.UpdateAfter(far.KnownEnd(), later), later)
	_, evacuated := far.EvacuatedSince("c")
	if at, returned := far.ReturnedAt("c"); evacuated || !returned || !at.Equal(later) {
		t.Error("the other daemon was not updated that the evacuation ended")
	}
}

// A snapshot that lacks some of the operators' records must not end an evacuation. Its
// orders still apply.
func TestPartialSnapshotEndsNoEvacuation(t *testing.T) {
	var e Evacuations
	e.ApplySnapshot(OrderSnapshot{End: 5, Orders: []EvacuationOrder{{Zone: "c", Offset: 4}}}, start)
	e.ApplySnapshot(OrderSnapshot{End: 9, Partial: true, Orders: []EvacuationOrder{{Zone: "b", Offset: 8}}}, start)
	if diff := cmp.Diff(map[string]int64{"b": 8, "c": 4}, evacuatedZones(&e)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	e.ApplySnapshot(OrderSnapshot{End: 10, Orders: []EvacuationOrder{{Zone: "b", Offset: 8}}}, start)
	if diff := cmp.Diff(map[string]int64{"b": 8}, evacuatedZones(&e)); diff != "" {
		t.Errorf("after a full snapshot (-want +got):\n%s", diff)
	}
}

func TestUpdatesAreBoundedAndEmptyWithoutOrders(t *testing.T) {
	var e Evacuations
	e.ApplySnapshot(OrderSnapshot{End: 100}, start)
	if e.KnownEnd() != 0 || e.UpdateAfter(0, start) != nil {
		t.Error("an update is sent though no zone was ever evacuated")
	}
	if update := e.UpdateAfter(50, start); update == nil || len(update.Orders) != 0 {
		t.Errorf("update for an older known end: %+v, want one without orders", update)
	}
	snapshot := OrderSnapshot{End: 200}
	for i := range maxUpdateOrders + 1 {
		snapshot.Orders = append(snapshot.Orders, EvacuationOrder{Zone: fmt.Sprint("z", i), Offset: int64(i)})
	}
	e.ApplySnapshot(snapshot, start)
	if e.UpdateAfter(0, start) != nil {
		t.Error("an update is sent that cannot hold all orders; the others would count as ended")
	}
	for i := range 10 {
		at := start.Add(time.Duration(i) * returnTTL)
		e.ApplySnapshot(OrderSnapshot{End: int64(300 + 2*i), Orders: []EvacuationOrder{{Zone: fmt.Sprint("y", i)}}}, at)
		e.ApplySnapshot(OrderSnapshot{End: int64(301 + 2*i)}, at)
	}
	if remembered := slices.Collect(maps.Keys(e.load().returned)); len(remembered) != 1 {
		t.Errorf("returns are kept of %v, want one zone", remembered)
	}
}

// A partial snapshot does not advance the known end, so that a full snapshot with the same
// end still ends an evacuation.
func TestFullSnapshotAppliesAfterAPartialOneWithTheSameEnd(t *testing.T) {
	var e Evacuations
	start := time.Now()
	e.ApplySnapshot(OrderSnapshot{End: 5, Orders: []EvacuationOrder{{Zone: "c", Offset: 4}}}, start)
	e.ApplySnapshot(OrderSnapshot{End: 9, Partial: true}, start)
	changes := e.ApplySnapshot(OrderSnapshot{End: 9}, start)
	if _, evacuated := e.EvacuatedSince("c"); evacuated || len(changes) != 1 {
		t.Errorf("zone c is evacuated: %v, changes %v", evacuated, changes)
	}
}
