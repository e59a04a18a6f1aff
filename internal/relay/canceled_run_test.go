package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/poison"
	"github.com/mintpulley/mintpulley/internal/route"
)

// leaveOnce sends a content that harms nothing, leaves before the answer, and returns the engine that
// ran it.
func (f *fragileFleet) leaveOnce(body string) string {
	caller := &contentCaller{fleet: f, body: body}
	caller.leave(f.daemonAt(0), usualRun/2)
	return f.fragile.ranLast(body)
}

// storedEnds returns how many ends of back ends the store holds.
func (f *fragileFleet) storedEnds() int {
	contents, err := poison.List(f.t.Context(), f.store, time.Now())
	if err != nil {
		f.t.Error(err)
	}
	ends := 0
	for _, content := range contents {
		ends += content.Ends
	}
	return ends
}

// load returns how many runs at how many instances are watched, and the bytes that are kept for them.
func (w *canceledRuns) load() (runs, instances int, bytes int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.count, len(w.byInstance), w.bytes
}

func TestEndAfterACanceledRunCounts(t *testing.T) {
	for name, c := range map[string]struct {
		// after happens once the run was canceled.
		after func(f *fragileFleet, engine string)
		want  int
	}{
		"the engine runs on": {after: func(*fragileFleet, string) {}},
		"the engine ends soon": {want: 1, after: func(f *fragileFleet, engine string) {
			time.Sleep(canceledRunWatch / 2)
			f.fragile.end(engine)
		}},
		"the engine ends long after": {after: func(f *fragileFleet, engine string) {
			time.Sleep(canceledRunWatch * 3 / 2)
			f.fragile.end(engine)
		}},
		"the engine closes its connections": {after: func(f *fragileFleet, engine string) {
			f.fragile.closeConnections(engine)
		}},
		"the engine shuts down as planned": {after: func(f *fragileFleet, engine string) {
			f.setState(engine, instance.StateDraining)
			f.fragile.end(engine)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFragileFleet(t, route.KindRepeatable, 1)
				engine := f.leaveOnce("harmless")
				c.after(f, engine)
				time.Sleep(2 * canceledRunWatch)
				if ends := f.storedEnds(); ends != c.want {
					t.Errorf("%d ends are stored, want %d", ends, c.want)
				}
				if left, _, _ := f.daemonAt(0).relay.canceled.load(); left != 0 {
					t.Errorf("%d canceled runs are still watched", left)
				}
			})
		})
	}
}

func TestWatchOfCanceledRunsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFragileFleet(t, route.KindRepeatable, 1)
		d := f.daemonAt(0)
		target := instance.Instance{ID: "f0", Service: "s", Address: "f0"}
		for number := range 2 * maxCanceledRuns {
			tracker := d.guard.NewTracker(poison.Content{Body: []byte(fmt.Sprint(number))}, poison.About{})
			d.relay.canceled.add(canceledRun{broken: brokenRun{target: target}, tracker: tracker, until: time.Now().Add(canceledRunWatch)})
		}
		if runs, _, _ := d.relay.canceled.load(); runs != maxCanceledRuns {
			t.Errorf("%d canceled runs are watched, want %d", runs, maxCanceledRuns)
		}
		time.Sleep(2 * canceledRunWatch)
		if runs, instances, bytes := d.relay.canceled.load(); runs != 0 || instances != 0 || bytes != 0 {
			t.Errorf("%d runs at %d instances and %d bytes are still watched", runs, instances, bytes)
		}
	})
}
