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

// zonesOf lists the zones in force, with their orders' places.
func zonesOf(e *Evacuations) map[string]int64 {
	zones := map[string]int64{}
	for _, order := range e.InForce() {
		zones[order.Zone] = order.Offset
	}
	return zones
}

// operatorsLog is what operators wrote: at each place an order, its end, or something
// else. Its prefix up to an end is what a reading as of that end tells.
type operatorsLog []struct {
	zone      string
	evacuated bool
}

func (l operatorsLog) inForce(end int64) map[string]int64 {
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

func (l operatorsLog) reading(end int64) OrderSnapshot {
	reading := OrderSnapshot{End: end}
	for zone, offset := range l.inForce(end) {
		reading.Orders = append(reading.Orders, EvacuationOrder{Zone: zone, Offset: offset})
	}
	return reading
}

// TestAnyOrderOfNewsEndsInTheNewest: daemons read the log up to any place, again and
// again, and hear of each other; news of each other comes late and twice. At every
// moment each knows exactly what stood at the newest place that it heard of.
func TestAnyOrderOfNewsEndsInTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log operatorsLog
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
		var late []*EvacuationUpdate
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				end := int64(rapid.IntRange(0, len(log)).Draw(t, "end"))
				daemons[i].ApplySnapshot(log.reading(end), now)
				newest[i] = max(newest[i], end)
			case 1:
				if news := daemons[i].UpdateAfter(0, now); news != nil {
					late = append(late, news)
				}
			case 2:
				if len(late) > 0 {
					news := rapid.SampledFrom(late).Draw(t, "news")
					daemons[i].ApplyUpdate(news, now)
					newest[i] = max(newest[i], news.End)
				}
			}
			if diff := cmp.Diff(log.inForce(newest[i]), zonesOf(daemons[i])); diff != "" {
				t.Fatalf("daemon %d as of %d (-want +got):\n%s", i, newest[i], diff)
			}
		}
		// One reads all of it, and the others ask it.
		end := int64(len(log))
		daemons[0].ApplySnapshot(log.reading(end), now)
		for i, daemon := range daemons[1:] {
			daemon.ApplyUpdate(daemons[0].UpdateAfter(daemon.KnownEnd(), now), now)
			if len(zonesOf(daemons[0])) == 0 && len(zonesOf(daemon)) == 0 {
				continue // neither knows an order: nothing is told
			}
			if diff := cmp.Diff(zonesOf(daemons[0]), zonesOf(daemon)); diff != "" {
				t.Fatalf("daemon %d after asking (-want +got):\n%s", i+1, diff)
			}
		}
	})
}

func TestOrdersHaveAnAgeAndSayWhatChanged(t *testing.T) {
	var near, far Evacuations
	order := EvacuationOrder{Zone: "c", Offset: 4}
	changes := near.ApplySnapshot(OrderSnapshot{End: 5, Orders: []EvacuationOrder{order}}, start)
	if diff := cmp.Diff([]EvacuationChange{{EvacuationOrder: order, Evacuated: true}}, changes); diff != "" {
		t.Errorf("evacuated (-want +got):\n%s", diff)
	}
	later := start.Add(3 * time.Second)
	far.ApplyUpdate(near.UpdateAfter(0, later), later)
	if since, evacuated := far.EvacuatedSince("c"); !evacuated || !since.Equal(start) {
		t.Errorf("the other daemon has it since %s, want %s", since, start)
	}
	if near.UpdateAfter(far.KnownEnd(), later) != nil {
		t.Error("a daemon that knows as much is told again")
	}
	near.ApplySnapshot(OrderSnapshot{End: 6, Orders: []EvacuationOrder{{Zone: "c", Offset: 5}}}, later) // ordered anew
	if since, _ := near.EvacuatedSince("c"); !since.Equal(start) {
		t.Errorf("an order that is repeated counts since %s, want since it was first given", since)
	}
	changes = near.ApplySnapshot(OrderSnapshot{End: 7}, later)
	if diff := cmp.Diff([]EvacuationChange{{EvacuationOrder: EvacuationOrder{Zone: "c", Offset: 5}, Lasted: 3 * time.Second}}, changes); diff != "" {
		t.Errorf("taken back (-want +got):\n%s", diff)
	}
	far.ApplyUpdate(near.UpdateAfter(far.KnownEnd(), later), later)
	_, evacuated := far.EvacuatedSince("c")
	if at, returned := far.ReturnedAt("c"); evacuated || !returned || !at.Equal(later) {
		t.Error("the other daemon does not hear that the zone was taken back")
	}
}

// TestPartialReadingTakesNothingBack: a listing that lost the operators' records is no
// word of theirs. What it tells beside is in force.
func TestPartialReadingTakesNothingBack(t *testing.T) {
	var e Evacuations
	e.ApplySnapshot(OrderSnapshot{End: 5, Orders: []EvacuationOrder{{Zone: "c", Offset: 4}}}, start)
	e.ApplySnapshot(OrderSnapshot{End: 9, Partial: true, Orders: []EvacuationOrder{{Zone: "b", Offset: 8}}}, start)
	if diff := cmp.Diff(map[string]int64{"b": 8, "c": 4}, zonesOf(&e)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	e.ApplySnapshot(OrderSnapshot{End: 10, Orders: []EvacuationOrder{{Zone: "b", Offset: 8}}}, start)
	if diff := cmp.Diff(map[string]int64{"b": 8}, zonesOf(&e)); diff != "" {
		t.Errorf("after a whole reading (-want +got):\n%s", diff)
	}
}

func TestNewsIsBoundedAndCostsNothingWithoutOrders(t *testing.T) {
	var e Evacuations
	e.ApplySnapshot(OrderSnapshot{End: 100}, start)
	if e.KnownEnd() != 0 || e.UpdateAfter(0, start) != nil {
		t.Error("news is told where no zone was evacuated")
	}
	if news := e.UpdateAfter(50, start); news == nil || len(news.Orders) != 0 {
		t.Errorf("one that asks for news that is older gets %+v", news)
	}
	reading := OrderSnapshot{End: 200}
	for i := range maxNewsOrders + 1 {
		reading.Orders = append(reading.Orders, EvacuationOrder{Zone: fmt.Sprint("z", i), Offset: int64(i)})
	}
	e.ApplySnapshot(reading, start)
	if e.UpdateAfter(0, start) != nil {
		t.Error("a part of the orders is told: the others would count as taken back")
	}
	for i := range 10 {
		at := start.Add(time.Duration(i) * returnMemory)
		e.ApplySnapshot(OrderSnapshot{End: int64(300 + 2*i), Orders: []EvacuationOrder{{Zone: fmt.Sprint("y", i)}}}, at)
		e.ApplySnapshot(OrderSnapshot{End: int64(301 + 2*i)}, at)
	}
	if remembered := slices.Collect(maps.Keys(e.load().returned)); len(remembered) != 1 {
		t.Errorf("remembers the return of %v", remembered)
	}
}

// TestWholeReadingFollowsAPartialOne: a partial reading tells of orders, and is no version
// of the whole set: one up to the same offset that has all records still counts.
func TestWholeReadingFollowsAPartialOne(t *testing.T) {
	var e Evacuations
	start := time.Now()
	e.ApplySnapshot(OrderSnapshot{End: 5, Orders: []EvacuationOrder{{Zone: "c", Offset: 4}}}, start)
	e.ApplySnapshot(OrderSnapshot{End: 9, Partial: true}, start)
	changes := e.ApplySnapshot(OrderSnapshot{End: 9}, start)
	if _, evacuated := e.EvacuatedSince("c"); evacuated || len(changes) != 1 {
		t.Errorf("the zone that was taken back is evacuated: %v, changes %v", evacuated, changes)
	}
}
