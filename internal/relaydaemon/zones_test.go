package relaydaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/instance"
	"github.com/mintpulley/mintpulley/internal/outputtest"
	"github.com/mintpulley/mintpulley/internal/route"
	"github.com/mintpulley/mintpulley/internal/store"
	"github.com/mintpulley/mintpulley/internal/store/memory"
	"github.com/mintpulley/mintpulley/internal/warmup"
	"github.com/mintpulley/mintpulley/internal/zone"
)

// testAdapter parses records whose keys are "routes" or the name of a zone.
type testAdapter struct {
	Adapter
	onRoutes func()
}

func (a *testAdapter) RoutesPartition() store.Partition { return store.Partition{Space: "operators"} }

func (a *testAdapter) Routes(records map[string]store.Record) (*route.Table, error) {
	record, known := records["routes"]
	if !known {
		return nil, nil
	}
	if a.onRoutes != nil {
		a.onRoutes()
	}
	return route.NewTable(record.Offset, nil, nil), nil
}

func (a *testAdapter) Evacuations(records map[string]store.Record, end int64) zone.OrderSnapshot {
	snapshot := zone.OrderSnapshot{End: end}
	for key, record := range records {
		if key != "routes" {
			snapshot.Orders = append(snapshot.Orders, zone.EvacuationOrder{Zone: key, Offset: record.Offset})
		}
	}
	return snapshot
}

// trimmingStore reports trimmed records on demand, so that the watcher lists all keys again.
type trimmingStore struct {
	*memory.Store
	trimmed chan struct{}
	// hangs makes one read hang until it is canceled.
	hangs chan struct{}
}

func (s *trimmingStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	select {
	case <-s.trimmed:
		return nil, from, store.ErrTrimmed
	case <-s.hangs:
		<-ctx.Done()
		return nil, from, store.ErrOutcomeUnknown
	default:
		return s.Store.Read(ctx, p, from, wait)
	}
}

// operatorsTest is a daemon that only follows the operators' records.
type operatorsTest struct {
	*Daemon
	t     *testing.T
	store *trimmingStore
	lines *outputtest.Buffer
}

func newOperatorsTest(t *testing.T) *operatorsTest {
	o := &operatorsTest{t: t, store: &trimmingStore{Store: memory.New(), trimmed: make(chan struct{}, 1)}, lines: &outputtest.Buffer{}}
	o.Daemon = &Daemon{
		settings: DefaultSettings(), routesConfirmation: newConfirmation(), admission: &admission.Controller{}, logger: zerolog.New(o.lines),
		adapter: &testAdapter{}, tableReady: make(chan struct{}), front: &frontServer{server: &http.Server{}},
	}
	o.coldLimiter = warmup.NewLimiter(warmup.Options{ZoneReturns: &o.evacuations, Logger: zerolog.Nop()})
	o.pool = instance.NewPool(rand.New(rand.NewPCG(1, 1)), o.placementPlugins())
	o.pool.Replace([]instance.Instance{
		{ID: "a1", Service: "s", Zone: "a", State: instance.StateReady}, {ID: "c1", Service: "s", Zone: "c", State: instance.StateReady},
	})
	return o
}

func (o *operatorsTest) write(key, value string) {
	o.t.Helper()
	err := o.store.Append(o.t.Context(), o.adapter.RoutesPartition(), store.Writer{}, []store.Record{{Key: key, Value: []byte(value)}})
	if err != nil {
		o.t.Fatal(err)
	}
	synctest.Wait()
}

// follow watches the records until stop is called.
func (o *operatorsTest) follow() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher := store.Watcher{
			Store: o.store, Partition: o.adapter.RoutesPartition(), Settings: routesWatch,
			OnAdvance: o.applyOperatorRecords, OnConnectivity: func(error) {},
		}
		watcher.Run(ctx)
	}()
	synctest.Wait()
	return func() {
		cancel()
		<-done
	}
}

// admitted returns the instances that may get requests.
func (o *operatorsTest) admitted() string {
	var ids []string
	for {
		taken, found := o.pool.Take(instance.Query{Service: "s", Excluded: ids})
		if !found {
			slices.Sort(ids)
			return strings.Join(ids, " ")
		}
		o.pool.Release(taken.ID, instance.OutcomeAnswered)
		ids = append(ids, taken.ID)
	}
}

// TestStartingDaemonKnowsEvacuationsBeforeItHasRoutes checks that a starting daemon applies
// evacuations before routes, as it sends requests once it has routes.
func TestStartingDaemonKnowsEvacuationsBeforeItHasRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperatorsTest(t)
		o.write("routes", "1")
		o.write("c", "{}")
		known := false
		o.adapter.(*testAdapter).onRoutes = func() { _, known = o.evacuations.EvacuatedSince("c") }
		defer o.follow()()
		if o.table.Load() == nil || !known {
			t.Errorf("routes: %v; the evacuated zone was known before them: %v", o.table.Load() != nil, known)
		}
	})
}

// TestEvacuationThroughTheOperatorsRecords checks an order, a trimmed history, the end of the
// order, late news of it, another order whose end was missed, and an order that arrives past the
// operators' limit.
func TestEvacuationThroughTheOperatorsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperatorsTest(t)
		o.write("routes", "1")
		stop := o.follow()
		expect := func(when, want string) {
			t.Helper()
			if got := o.admitted(); got != want {
				t.Errorf("%s: sends to %q, want %q", when, got, want)
			}
		}
		expect("at first", "a1 c1")
		o.write("c", "{}")
		expect("evacuated", "a1")
		o.store.trimmed <- struct{}{}
		time.Sleep(2 * routesWatch.Wait)
		expect("after the history was dropped", "a1")
		o.write("c", "")
		expect("taken back", "a1 c1")
		o.ApplyEvacuationUpdate(&zone.EvacuationUpdate{End: 2, Orders: []zone.AgedOrder{{Zone: "c", Offset: 1}}}, time.Now())
		expect("after late news of the first order", "a1 c1")
		o.write("c", "{}")
		stop()
		o.write("c", "") // only a new listing, in which the key is missing, shows this
		expect("evacuated anew", "a1")
		stop = o.follow()
		defer func() { stop() }()
		expect("taken back while nobody listened", "a1 c1")
		o.ApplyEvacuationUpdate(&zone.EvacuationUpdate{End: 100, Orders: []zone.AgedOrder{{Zone: "late", Offset: 99, AgeMS: 5001}}}, time.Now())
		if lines := o.lines.String(); !strings.Contains(lines, `"level":"warn"`) || !strings.Contains(lines, `"heard_from":"daemon"`) {
			t.Errorf("no warning about a late order:\n%s", lines)
		}
	})
}

// TestOrderComesIntoForceWhileAReadHangs checks that an order is applied within the operators'
// limit although one read hangs for good, as on a connection cut silently.
func TestOrderComesIntoForceWhileAReadHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperatorsTest(t)
		o.write("routes", "1")
		o.store.hangs = make(chan struct{}, 1)
		o.store.hangs <- struct{}{}
		defer o.follow()()
		time.Sleep(time.Millisecond)
		o.write("c", "{}")
		ordered := time.Now()
		for o.admitted() != "a1" {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(ordered); took == 0 || took > o.settings.evacuationTime()-time.Second {
			t.Errorf("in force after %s", took)
		}
	})
}

// TestSeveralZonesCanBeEvacuated evacuates several zones, one of which the settings do not name.
func TestSeveralZonesCanBeEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperatorsTest(t)
		o.write("routes", "1")
		defer o.follow()()
		o.write("nowhere", "{}")
		o.write("a", "{}")
		if got := o.admitted(); got != "c1" {
			t.Errorf("sends to %q", got)
		}
		for _, want := range []string{`"zone":"nowhere"`, `"message":"Zone evacuated."`, `"order":1`, `"heard_from":"store"`} {
			if !strings.Contains(o.lines.String(), want) {
				t.Errorf("no %s in:\n%s", want, o.lines.String())
			}
		}
		if o.countUnknownEvacuated() != 2 { // these settings name no zones
			t.Errorf("%d evacuated zones that the settings do not name", o.countUnknownEvacuated())
		}
	})
}
