package relay

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// evacuationTest is a harness with two instances in each of two zones.
type evacuationTest struct {
	*harness
	evacuations zone.Evacuations
	end         int64
}

func newEvacuationTest(t *testing.T, steps ...step) *evacuationTest {
	e := &evacuationTest{harness: newHarness(t, steps...)}
	e.pool = instance.NewPool(rand.New(rand.NewPCG(1, 1)), instance.Plugins{
		Filters: []instance.Filter{zone.EvacuationFilter{Evacuations: &e.evacuations}},
	})
	var list []instance.Instance
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		list = append(list, instance.Instance{ID: id, Service: "s", Address: id + ":1", Zone: id[:1], Slots: 4, State: instance.StateReady})
	}
	e.pool.Replace(list)
	e.relay.Pool = e.pool
	e.relay.Evacuations = &e.evacuations
	return e
}

// evacuate sets the evacuated zones.
func (e *evacuationTest) evacuate(names ...string) {
	e.end++
	reading := zone.OrderSnapshot{End: e.end}
	for _, name := range names {
		reading.Orders = append(reading.Orders, zone.EvacuationOrder{Zone: name, Offset: e.end - 1})
	}
	e.evacuations.ApplySnapshot(reading, time.Now())
}

// evacuateAfterFirstSend evacuates the zone of the instance that gets the first offer while
// the offer is in progress.
func (e *evacuationTest) evacuateAfterFirstSend() {
	e.driver.onSend = func() {
		if len(e.driver.to) == 1 {
			e.evacuate(e.driver.to[0].Zone)
		}
	}
}

// expectLaterOffersElsewhere checks that only the first offer went to its zone.
func (e *evacuationTest) expectLaterOffersElsewhere() {
	e.t.Helper()
	if len(e.driver.to) < 2 {
		e.t.Fatalf("sent to %v only", e.sentTo())
	}
	left := e.driver.to[0].Zone
	if slices.ContainsFunc(e.driver.to[1:], func(to instance.Instance) bool { return to.Zone == left }) {
		e.t.Errorf("sent to %v after zone %s was evacuated", e.sentTo(), left)
	}
}

func TestRetryAvoidsEvacuatedZone(t *testing.T) {
	for name, first := range map[string]step{
		"not run":   {status: 503, notRun: true},
		"broke off": {body: "half", cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvacuationTest(t, first, step{status: 503, notRun: true}, step{body: "ok"})
			e.evacuateAfterFirstSend()
			if got := e.serve(newCall(newRoute(route.KindRepeatable))); got.body.String() != "ok" {
				t.Errorf("got %d %q %+v", got.status, got.body.String(), got.refusal)
			}
			e.expectLaterOffersElsewhere()
		})
	}
}

func TestBrokenStreamResumesOutsideEvacuatedZone(t *testing.T) {
	e := newEvacuationTest(t,
		step{body: "id: 1\ndata: one\n\n", cut: true}, step{body: "id: 2\ndata: two\n\n", cut: true}, step{body: "id: 3\ndata: three\n\n"})
	e.evacuateAfterFirstSend()
	got := e.serve(newTurn(newRoute(route.KindStream)))
	if !got.ended || got.body.String() != "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n" {
		t.Errorf("got %q, ended: %v", got.body.String(), got.ended)
	}
	e.expectLaterOffersElsewhere()
}

func TestSessionMovesOutOfEvacuatedZone(t *testing.T) {
	e := newEvacuationTest(t, step{body: "id: 1\ndata: one\n\n"})
	e.serve(newTurn(newRoute(route.KindStream)))
	e.evacuate(e.driver.to[0].Zone)
	e.ledger.instance = e.driver.to[0].ID // as if the program's record named it
	for range 3 {
		e.serve(newTurn(newRoute(route.KindStream)))
	}
	e.expectLaterOffersElsewhere()
}

// A call bound to one instance must not be sent there again after its zone was evacuated,
// nor be reported as not run.
func TestBoundCallIsNotRetriedInEvacuatedZone(t *testing.T) {
	for name, second := range map[string]step{"evacuated before the retry": {body: "id: 1\ndata: again\n\n"}, "evacuated while the instance is full": {status: 503, notRun: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEvacuationTest(t, step{err: errCut}, second)
				sends := 0
				e.driver.onSend = func() {
					if sends++; sends == 1 && !second.notRun || sends == 2 {
						e.evacuate(e.driver.to[0].Zone)
					}
				}
				r := newRoute(route.KindStream)
				r.MaxAttempts = 1 // a stream that broke may only be resumed at the same instance
				got := e.serve(newCall(r))
				if got.refusal == nil || got.refusal.Reason != ReasonBroken {
					t.Errorf("got %d %q %+v", got.status, got.body.String(), got.refusal)
				}
				want := 1
				if second.notRun {
					want = 2
				}
				if len(e.driver.sent) != want {
					t.Errorf("sent %d times, want %d", len(e.driver.sent), want)
				}
			})
		})
	}
}

// The refusal guarantees that the request has not run, and its Retry-After grows with the
// duration of the evacuation. That holds while the list may be incomplete, and after an
// offer that was turned down.
func TestServiceInEvacuatedZonesOnlyRefusesAtOnce(t *testing.T) {
	for name, offers := range map[string]int{"before any offer": 0, "after one that was turned down": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEvacuationTest(t, step{status: 503, notRun: true})
				e.driver.onSend = func() { e.evacuate("a", "b") }
				if offers == 0 {
					e.evacuate("a", "b")
				}
				call := newCall(newRoute(route.KindOnce))
				got := e.serve(call)
				if got.refusal == nil || got.refusal.Reason != ReasonEvacuated || !got.refusal.Reason.PromisesNotRun() {
					t.Fatalf("refused with %+v", got.refusal)
				}
				if held := time.Since(call.Received); held > 0 || len(e.driver.sent) != offers {
					t.Errorf("held for %s, sent %d times", held, len(e.driver.sent))
				}
				time.Sleep(time.Minute)
				if later := e.serve(newCall(newRoute(route.KindOnce))).refusal; later.RetryAfter <= got.refusal.RetryAfter || got.refusal.RetryAfter <= 0 {
					t.Errorf("Retry-After %s, and a minute later %s", got.refusal.RetryAfter, later.RetryAfter)
				}
				if _, full := e.relay.full.noteNotFull("s", time.Now()); full {
					t.Error("the service counts as full")
				}
				e.driver.onSend = nil
				e.driver.steps = []step{{body: "ok"}}
				e.evacuate()
				if back := e.serve(newCall(newRoute(route.KindOnce))); back.body.String() != "ok" {
					t.Errorf("after the evacuation ended: %+v", back.refusal)
				}
			})
		})
	}
}
