package zone

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, time.December, 2, 22, 0, 0, 0, time.UTC)

// fleet simulates what one daemon observes of a fleet of four zones.
type fleet struct {
	r   *Reachability
	now time.Time
	// answering is how many of the daemonsEach daemons of a zone answer probes, and active
	// whether its back ends send anything; both by zone.
	answering map[string]int
	active    map[string]bool
	// silentSince is since when the back ends of a zone have sent nothing, and hanging how
	// many of them hang while others send; both by zone.
	silentSince map[string]time.Time
	hanging     map[string]int
	// instances is the number of back ends of a zone at which this daemon has requests.
	instances map[string]int
	storeUp   bool
	// probed is the number of probes in a zone since one was last answered.
	probed map[string]int
	// totalProbes is the number of all probes.
	totalProbes int
	changes     []ReachabilityChange
}

const daemonsEach = 19

var zoneNames = []string{"a", "b", "c", "d"}

func newFleet(own string) *fleet {
	regions := map[string]string{}
	for _, name := range zoneNames {
		regions[name] = "r"
	}
	f := &fleet{
		r: NewReachability(NewTopology(own, "r", regions)), now: begin, storeUp: true,
		answering: map[string]int{}, active: map[string]bool{}, silentSince: map[string]time.Time{},
		hanging: map[string]int{}, instances: map[string]int{}, probed: map[string]int{},
	}
	for _, name := range zoneNames {
		f.answering[name], f.active[name], f.instances[name] = daemonsEach, true, 1
		f.r.SetDaemonCount(name, daemonsEach)
	}
	f.run(time.Second)
	return f
}

// silence makes all daemons and back ends of zones silent.
func (f *fleet) silence(names ...string) {
	for _, name := range names {
		f.answering[name], f.active[name] = 0, false
	}
}

func (f *fleet) restore(names ...string) {
	for _, name := range names {
		f.answering[name], f.active[name] = daemonsEach, true
	}
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(StepInterval) {
		f.step()
	}
}

// Times of silence after which back ends count as overdue and as silent.
const (
	overdueAfter = 150 * time.Millisecond
	silentAfter  = 350 * time.Millisecond
)

func (f *fleet) step() {
	unresponsive := map[string]UnresponsiveBackends{}
	for _, name := range zoneNames {
		if f.active[name] {
			delete(f.silentSince, name)
			f.r.RecordActivity(name, f.now)
			unresponsive[name] = UnresponsiveBackends{Overdue: f.hanging[name], Silent: f.hanging[name]}
			continue
		}
		if f.silentSince[name].IsZero() {
			f.silentSince[name] = f.now
		}
		silentFor := f.now.Sub(f.silentSince[name])
		backends := UnresponsiveBackends{}
		if silentFor >= overdueAfter {
			backends.Overdue = f.instances[name]
		}
		if silentFor >= silentAfter {
			backends.Silent = f.instances[name]
		}
		unresponsive[name] = backends
	}
	plan := f.r.Step(unresponsive, f.now)
	for name, count := range plan.Probe {
		f.totalProbes += count
		f.probed[name] += count
		// Probes reach failed daemons first, which is the worst case.
		if count > 0 && f.answering[name] > 0 && f.probed[name] > daemonsEach-f.answering[name] {
			f.r.RecordProbeReply(name, f.now.Add(5*time.Millisecond))
			f.probed[name] = 0
		}
	}
	if plan.ProbeStore {
		f.r.RecordStoreCall(f.storeUp, f.now, f.now.Add(10*time.Millisecond))
	}
	f.changes = append(f.changes, plan.Changes...)
}

// isolated reports whether the daemon considers itself isolated.
func (f *fleet) isolated() bool {
	_, isolated := f.r.IsolatedSince()
	return isolated
}

func (f *fleet) cutOffZones() []string {
	var cut []string
	for _, name := range zoneNames {
		if f.r.IsCutOff(name) {
			cut = append(cut, name)
		}
	}
	return cut
}

func TestZoneIsCutOffAndReachedAgain(t *testing.T) {
	f := newFleet("a")
	f.silence("d")
	f.run(600 * time.Millisecond)
	if got := f.cutOffZones(); len(got) != 1 || got[0] != "d" {
		t.Fatalf("zones cut off after 0.6 s: %v, want d", got)
	}
	if f.r.Weight("d", f.now) != 0 || f.r.Weight("b", f.now) != 1 {
		t.Error("wrong weights of the zones")
	}
	f.run(5 * time.Second)
	if len(f.changes) != 1 || f.isolated() {
		t.Fatalf("changes: %+v, want one, and no isolation", f.changes)
	}
	f.restore("d")
	f.run(300 * time.Millisecond)
	if len(f.cutOffZones()) != 0 {
		t.Fatal("zone is still cut off 0.3 s after its return")
	}
	if weight := f.r.Weight("d", f.now); weight <= 0 || weight >= 1 {
		t.Errorf("weight %v during the ramp, want between 0 and 1", weight)
	}
	f.run(RampTime)
	if f.r.Weight("d", f.now) != 1 {
		t.Error("weight is below 1 after the ramp")
	}
}

func TestReportIsAcceptedOnlyIfProbesFail(t *testing.T) {
	f := newFleet("a")
	f.instances["d"] = 0 // the daemon has no request there
	f.silence("d")
	f.run(300 * time.Millisecond)
	f.r.RecordCutOffReport("d", 0, f.now)
	f.run(350 * time.Millisecond)
	if !f.r.IsCutOff("d") {
		t.Error("a report was not accepted for a zone without probe replies")
	}
	g := newFleet("a")
	g.r.RecordCutOffReport("d", 0, g.now)
	g.run(2 * time.Second)
	if len(g.changes) != 0 {
		t.Errorf("a report was accepted for a zone whose daemons answer: %+v", g.changes)
	}
}

func TestDaemonInACutOffZoneIsIsolated(t *testing.T) {
	for name, silent := range map[string][]string{
		"its zone": {"a", "b", "c"}, "its zone and another": {"a", "b"}, "alone": {"a", "b", "c", "d"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("d")
			f.silence(silent...)
			f.active["d"] = true
			f.storeUp = false
			f.run(900 * time.Millisecond)
			if !f.isolated() {
				t.Fatalf("not isolated after 0.9 s; zones cut off: %v", f.cutOffZones())
			}
			f.run(5 * time.Second)
			if !f.isolated() {
				t.Fatal("no longer isolated while the partition lasts")
			}
			f.restore(zoneNames...)
			f.storeUp = true
			f.run(500 * time.Millisecond)
			if f.isolated() || len(f.cutOffZones()) != 0 {
				t.Errorf("0.5 s after the return: isolated %v, zones cut off %v", f.isolated(), f.cutOffZones())
			}
		})
	}
}

// A daemon that reaches back ends, but neither other daemons nor the store, is isolated: it
// cannot reach the programs' records.
func TestDaemonThatReachesOnlyBackEndsIsIsolated(t *testing.T) {
	f := newFleet("a")
	for _, name := range zoneNames {
		f.answering[name] = 0
	}
	f.storeUp = false
	f.r.Suspect("b", f.now)
	f.run(900 * time.Millisecond)
	if !f.isolated() || len(f.cutOffZones()) != 0 {
		t.Errorf("isolated %v, zones cut off %v", f.isolated(), f.cutOffZones())
	}
	f.run(3 * time.Second)
	f.restore(zoneNames...)
	f.storeUp = true
	f.run(500 * time.Millisecond)
	if f.isolated() {
		t.Error("still isolated 0.5 s after the return")
	}
}

// The test draws a sequence of faults in each of which some daemon or back end of each zone stays
// reachable, or the daemon itself is paused.
func TestOtherFaultsAreNotTakenForACutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.SampledFrom(zoneNames).Draw(t, "own"))
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			f.restore(zoneNames...)
			f.storeUp = rapid.Bool().Draw(t, "store_up")
			name := rapid.SampledFrom(zoneNames).Draw(t, "zone")
			f.instances[name] = rapid.IntRange(1, 11).Draw(t, "instances")
			switch rapid.SampledFrom([]string{"rack", "back ends hang", "daemons killed", "burst", "paused"}).Draw(t, "trouble") {
			case "rack": // a third of the daemons, and all back ends that this daemon uses
				f.answering[name], f.active[name] = daemonsEach-daemonsEach/3, false
			case "back ends hang":
				f.active[name] = false
			case "daemons killed":
				for _, each := range zoneNames {
					if each != f.r.own {
						f.answering[each] = 0
					}
				}
				f.hanging[name] = rapid.IntRange(0, 3).Draw(t, "hanging")
				f.storeUp = true // without the other daemons and the store it would be isolated
			case "burst":
				for _, each := range zoneNames {
					f.active[each] = false
				}
			case "paused": // all others seem silent to a paused daemon
				f.now = f.now.Add(time.Duration(rapid.IntRange(200, 5000).Draw(t, "pause")) * time.Millisecond)
			}
			f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "steps")) * StepInterval)
			if !f.storeUp { // the store's return must be noticed before all others fail
				f.storeUp = true
				f.run(storeProbeInterval)
			}
		}
		if len(f.changes) != 0 {
			t.Fatalf("changes: %+v", f.changes)
		}
	})
}

func TestOtherZonesFailingIsNotIsolation(t *testing.T) {
	f := newFleet("d")
	f.silence("a", "b", "c") // a power failure there; the store answers
	f.run(3 * time.Second)
	if f.isolated() {
		t.Error("a daemon of the only running zone is isolated")
	}
}

func TestStoreOutageIsNotIsolation(t *testing.T) {
	f := newFleet("d")
	f.silence("a") // one zone of four is cut off as well
	for range 60 {
		f.r.RecordStoreCall(false, f.now, f.now)
		f.run(StepInterval)
		if f.isolated() {
			t.Fatal("an outage of the store isolates the daemon")
		}
	}
}

// All daemons of a zone restart before its back ends become silent for another reason.
func TestReplyOfARestartedDaemonCounts(t *testing.T) {
	f := newFleet("a")
	f.answering["d"], f.hanging["d"] = 0, 1
	f.run(400 * time.Millisecond)
	f.answering["d"], f.active["d"] = daemonsEach, false
	f.run(2 * time.Second)
	if len(f.changes) != 0 {
		t.Errorf("changes: %+v", f.changes)
	}
}

// After a pause of this daemon, probes seem unanswered although the replies are waiting in
// its receive buffers.
func TestLateStepChangesNothing(t *testing.T) {
	f := newFleet("a")
	unresponsive := map[string]UnresponsiveBackends{"b": {Overdue: 5, Silent: 5}}
	f.r.Step(unresponsive, f.now)
	f.now = f.now.Add(2 * probeTimeout)
	f.r.RecordProbeReply("c", f.now) // the first reply to be read
	if plan := f.r.Step(unresponsive, f.now); len(plan.Changes) != 0 {
		t.Errorf("changes: %+v", plan.Changes)
	}
}

// If nothing is received from any zone, this daemon's own link may be down.
func TestNoZoneIsCutOffWhenNobodyIsHeard(t *testing.T) {
	f := newFleet("a")
	f.silence(zoneNames...)
	f.run(3 * time.Second)
	if len(f.changes) != 0 {
		t.Errorf("changes: %+v", f.changes)
	}
}

func TestSingleZoneIsNeverCutOff(t *testing.T) {
	r := NewReachability(NewTopology("z", "r", nil))
	r.SetDaemonCount("z", daemonsEach)
	for step := range 100 {
		now := begin.Add(time.Duration(step) * StepInterval)
		r.RecordStoreCall(false, now, now)
		if plan := r.Step(map[string]UnresponsiveBackends{"z": {Overdue: 3, Silent: 3}}, now); len(plan.Changes) != 0 || plan.Probe != nil || plan.ProbeStore {
			t.Fatalf("plan: %+v", plan)
		}
	}
}

func TestZoneWithUnknownDaemonsIsNotCutOff(t *testing.T) {
	regions := map[string]string{"a": "r", "b": "r"}
	r := NewReachability(NewTopology("a", "r", regions))
	r.SetDaemonCount("a", 1)
	for step := range 100 {
		now := begin.Add(time.Duration(step) * StepInterval)
		r.Suspect("b", now)
		r.RecordStoreCall(false, now, now)
		if plan := r.Step(map[string]UnresponsiveBackends{"b": {Overdue: 1, Silent: 1}}, now); len(plan.Changes) != 0 {
			t.Fatalf("changes: %+v", plan.Changes)
		}
	}
}

func TestProbesAreBoundedInABurst(t *testing.T) {
	f := newFleet("a")
	for _, name := range zoneNames {
		f.active[name] = false
	}
	before := f.totalProbes
	f.run(10 * time.Second)
	// In each probePause at most one round of probes: firstProbes in each other zone, and
	// controlProbes in its own.
	if probes := f.totalProbes - before; probes > 20*(3*firstProbes+controlProbes) {
		t.Errorf("%d probes in 10 s", probes)
	}
}

// Once no daemon of a zone runs, only a connection to a back end shows that it can be
// reached.
func TestZoneWithoutDaemonsIsReachedThroughItsBackEnds(t *testing.T) {
	f := newFleet("a")
	f.silence("d")
	f.run(time.Second)
	connects := 0
	for range 60 {
		for _, name := range f.r.Step(map[string]UnresponsiveBackends{}, f.now).Connect {
			connects++
			if connects == 3 {
				f.r.RecordActivity(name, f.now.Add(1))
			}
		}
		f.now = f.now.Add(StepInterval)
	}
	if connects != 3 || f.r.IsCutOff("d") {
		t.Errorf("%d connects, cut off %v; want 3, false", connects, f.r.IsCutOff("d"))
	}
}

// BenchmarkReachability measures the calls for a choice among 50 instances, in a fleet of
// 300 daemons in 8 zones, one of which is cut off.
func BenchmarkReachability(b *testing.B) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	regions := map[string]string{}
	for _, name := range names {
		regions[name] = "r"
	}
	r, now := NewReachability(NewTopology("a", "r", regions)), begin
	for _, name := range names {
		r.SetDaemonCount(name, 38)
	}
	for range 10 {
		r.Step(map[string]UnresponsiveBackends{"d": {Overdue: 2, Silent: 2}}, now)
		r.RecordProbeReply("b", now.Add(1))
		now = now.Add(StepInterval)
	}
	if !r.IsCutOff("d") {
		b.Fatal("not cut off")
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range 50 {
			name := names[i%len(names)]
			if !r.IsCutOff(name) {
				r.Weight(name, now)
			}
		}
	}
}
