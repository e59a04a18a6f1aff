package ledger

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/zone"
)

// testEvacuations is a daemon's knowledge, with the changes that it learned from others.
type testEvacuations struct {
	zone.Evacuations
	mutex   sync.Mutex
	learned []zone.EvacuationChange
}

func (e *testEvacuations) KnownEvacuationsEnd() int64 { return e.KnownEnd() }

func (e *testEvacuations) EvacuationUpdateAfter(asked int64, now time.Time) *zone.EvacuationUpdate {
	return e.UpdateAfter(asked, now)
}

func (e *testEvacuations) ApplyEvacuationUpdate(news *zone.EvacuationUpdate, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.learned = append(e.learned, e.ApplyUpdate(news, now)...)
}

// TestDaemonThatDoesNotReachTheStoreLearnsOfEvacuations: it learns of them, with their age,
// from the holders it sends requests to, and also that a zone was taken back.
func TestDaemonThatDoesNotReachTheStoreLearnsOfEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		cut := f.ids()[0]
		news := map[string]*testEvacuations{}
		for _, id := range f.ids() {
			news[string(id)] = &testEvacuations{}
			f.service(id).Evacuations = news[string(id)]
		}
		synctest.Wait()
		tell := func(snapshot zone.OrderSnapshot) { // what all others read from the store
			for id, e := range news {
				if id != string(cut) {
					e.ApplySnapshot(snapshot, time.Now())
				}
			}
		}
		ask := func(name string) {
			for i := range 20 {
				turn := Turn{ID: fmt.Sprint(name, i), Program: fmt.Sprint(name, i), BudgetTokens: 100, MaxTokens: 1, Retention: time.Minute}
				if _, err := f.service(cut).Begin(testContext(t), turn); err != nil {
					t.Fatal(err)
				}
			}
		}
		tell(zone.OrderSnapshot{End: 8, Orders: []zone.EvacuationOrder{{Zone: "c", Offset: 7}}})
		orderedAt := time.Now()
		time.Sleep(10 * time.Second)
		ask("first")
		own := news[string(cut)]
		if since, evacuated := own.EvacuatedSince("c"); !evacuated || since.Sub(orderedAt).Abs() > 100*time.Millisecond {
			t.Fatalf("evacuated: %v, since %s after the order", evacuated, since.Sub(orderedAt))
		}
		tell(zone.OrderSnapshot{End: 9})
		ask("second")
		if _, evacuated := own.EvacuatedSince("c"); evacuated || len(own.learned) != 2 {
			t.Errorf("evacuated: %v, after it was taken back; learned %+v", evacuated, own.learned)
		}
	})
}
