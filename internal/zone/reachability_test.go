package zone

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, time.December, 2, 22, 0, 0, 0, time.UTC)

// fleet plays what one daemon sees of a fleet of four zones, in steps.
type fleet struct {
	r   *Reachability
	now time.Time
	// daemons that answer, of daemonsEach, and back ends that send something: what
	// each is in each zone.
	answering map[string]int
	sending   map[string]bool
	// silentSince is since when back ends of a zone send nothing, and hanging counts
	// those that hang while others send.
	silentSince map[string]time.Time
	hanging     map[string]int
	// instances is how many back ends this daemon has requests at, in each zone.
	instances map[string]int
	storeUp   bool
	// asked counts the questions in each zone since its daemons were last left alone.
	asked map[string]int
	// questions counts all.
	questions int
	changes   []ReachabilityChange
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
		answering: map[string]int{}, sending: map[string]bool{}, silentSince: map[string]time.Time{},
		hanging: map[string]int{}, instances: map[string]int{}, asked: map[string]int{},
	}
	for _, name := range zoneNames {
		f.answering[name], f.sending[name], f.instances[name] = daemonsEach, true, 1
		f.r.SetDaemonCount(name, daemonsEach)
	}
	f.run(time.Second)
	return f
}

// silence ends all that comes from a zone.
func (f *fleet) silence(names ...string) {
	for _, name := range names {
		f.answering[name], f.sending[name] = 0, false
	}
}

func (f *fleet) restore(names ...string) {
	for _, name := range names {
		f.answering[name], f.sending[name] = daemonsEach, true
	}
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(StepInterval) {
		f.step()
	}
}

// Overdue and silent from when a daemon's requests count as such in this test.
const (
	overdueAfter = 150 * time.Millisecond
	silentAfter  = 350 * time.Millisecond
)

func (f *fleet) step() {
	waiting := map[string]UnresponsiveBackends{}
	for _, name := range zoneNames {
		if f.sending[name] {
			delete(f.silentSince, name)
			f.r.RecordActivity(name, f.now)
			waiting[name] = UnresponsiveBackends{Overdue: f.hanging[name], Silent: f.hanging[name]}
			continue
		}
		if f.silentSince[name].IsZero() {
			f.silentSince[name] = f.now
		}
		length := f.now.Sub(f.silentSince[name])
		w := UnresponsiveBackends{}
		if length >= overdueAfter {
			w.Overdue = f.instances[name]
		}
		if length >= silentAfter {
			w.Silent = f.instances[name]
		}
		waiting[name] = w
	}
	plan := f.r.Step(waiting, f.now)
	for name, count := range plan.Probe {
		f.questions += count
		f.asked[name] += count
		// Those that died are asked first: the worst case.
		if count > 0 && f.answering[name] > 0 && f.asked[name] > daemonsEach-f.answering[name] {
			f.r.RecordProbeReply(name, f.now.Add(5*time.Millisecond))
			f.asked[name] = 0
		}
	}
	if plan.ProbeStore {
		f.r.RecordStoreCall(f.storeUp, f.now, f.now.Add(10*time.Millisecond))
	}
	f.changes = append(f.changes, plan.Changes...)
}

// isolated tells whether the daemon takes itself to be cut off.
func (f *fleet) isolated() bool {
	_, isolated := f.r.IsolatedSince()
	return isolated
}

func (f *fleet) cut() []string {
	var cut []string
	for _, name := range zoneNames {
		if f.r.IsCutOff(name) {
			cut = append(cut, name)
		}
	}
	return cut
}

func TestZoneIsFoundCutOffAndBack(t *testing.T) {
	f := newFleet("a")
	f.silence("d")
	f.run(600 * time.Millisecond)
	if got := f.cut(); len(got) != 1 || got[0] != "d" {
		t.Fatalf("cut off after 0.6 s: %v", got)
	}
	if f.r.Weight("d", f.now) != 0 || f.r.Weight("b", f.now) != 1 {
		t.Error("shares do not follow")
	}
	f.run(5 * time.Second)
	if len(f.changes) != 1 || f.isolated() {
		t.Fatalf("changes: %+v", f.changes)
	}
	f.restore("d")
	f.run(300 * time.Millisecond)
	if len(f.cut()) != 0 {
		t.Fatal("still cut off 0.3 s after the end")
	}
	if share := f.r.Weight("d", f.now); share <= 0 || share >= 1 {
		t.Errorf("share %v on the ramp", share)
	}
	f.run(RampTime)
	if f.r.Weight("d", f.now) != 1 {
		t.Error("the ramp does not end")
	}
}

func TestQuietDaemonBelievesWhatItIsToldAndFindsItself(t *testing.T) {
	f := newFleet("a")
	f.instances["d"] = 0 // it has no request there
	f.silence("d")
	f.run(300 * time.Millisecond)
	f.r.RecordCutOffReport("d", 0, f.now)
	f.run(350 * time.Millisecond)
	if !f.r.IsCutOff("d") {
		t.Error("not believed")
	}
	g := newFleet("a")
	g.r.RecordCutOffReport("d", 0, g.now)
	g.run(2 * time.Second)
	if len(g.changes) != 0 {
		t.Errorf("believed of a zone whose daemons answer: %+v", g.changes)
	}
}

func TestDaemonInsideFindsItselfCutOff(t *testing.T) {
	for name, silent := range map[string][]string{
		"its zone": {"a", "b", "c"}, "its zone and another": {"a", "b"}, "alone": {"a", "b", "c", "d"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("d")
			f.silence(silent...)
			f.sending["d"] = true
			f.storeUp = false
			f.run(900 * time.Millisecond)
			if !f.isolated() {
				t.Fatalf("not after 0.9 s; cut off: %v", f.cut())
			}
			f.run(5 * time.Second)
			if !f.isolated() {
				t.Fatal("believed no longer")
			}
			f.restore(zoneNames...)
			f.storeUp = true
			f.run(500 * time.Millisecond)
			if f.isolated() || len(f.cut()) != 0 {
				t.Errorf("0.5 s after the end: isolated %v, cut off %v", f.isolated(), f.cut())
			}
		})
	}
}

// TestMachineThatReachesOnlyBackEndsIsCutOff: it has no programs' records, but it may
// serve what needs none.
func TestMachineThatReachesOnlyBackEndsIsCutOff(t *testing.T) {
	f := newFleet("a")
	for _, name := range zoneNames {
		f.answering[name] = 0
	}
	f.storeUp = false
	f.r.Suspect("b", f.now)
	f.run(900 * time.Millisecond)
	if !f.isolated() || len(f.cut()) != 0 {
		t.Errorf("isolated %v, zones cut off %v", f.isolated(), f.cut())
	}
	f.run(3 * time.Second)
	f.restore(zoneNames...)
	f.storeUp = true
	f.run(500 * time.Millisecond)
	if f.isolated() {
		t.Error("0.5 s after the end still")
	}
}

// TestWhatOnlyLooksLikeACut draws troubles in which somebody of each zone shows
// himself, one after another.
func TestWhatOnlyLooksLikeACut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.SampledFrom(zoneNames).Draw(t, "own"))
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			f.restore(zoneNames...)
			f.storeUp = rapid.Bool().Draw(t, "store_up")
			name := rapid.SampledFrom(zoneNames).Draw(t, "zone")
			f.instances[name] = rapid.IntRange(1, 11).Draw(t, "instances")
			switch rapid.SampledFrom([]string{"rack", "back ends hang", "daemons killed", "burst", "paused"}).Draw(t, "trouble") {
			case "rack": // a third of the daemons, and all back ends that this daemon uses
				f.answering[name], f.sending[name] = daemonsEach-daemonsEach/3, false
			case "back ends hang":
				f.sending[name] = false
			case "daemons killed":
				for _, each := range zoneNames {
					if each != f.r.own {
						f.answering[each] = 0
					}
				}
				f.hanging[name] = rapid.IntRange(0, 3).Draw(t, "hanging")
				f.storeUp = true // with neither the others nor the store it is cut off
			case "burst":
				for _, each := range zoneNames {
					f.sending[each] = false
				}
			case "paused": // all others are silent to one that does not run
				f.now = f.now.Add(time.Duration(rapid.IntRange(200, 5000).Draw(t, "pause")) * time.Millisecond)
			}
			f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "steps")) * StepInterval)
			if !f.storeUp { // its return is noticed before all others die
				f.storeUp = true
				f.run(storeProbeInterval)
			}
		}
		if len(f.changes) != 0 {
			t.Fatalf("changes: %+v", f.changes)
		}
	})
}

func TestOthersThatDiedAreNoIsolation(t *testing.T) {
	f := newFleet("d")
	f.silence("a", "b", "c") // all power is lost there; the store answers
	f.run(3 * time.Second)
	if f.isolated() {
		t.Error("the only zone that runs takes itself to be cut off")
	}
}

func TestStoreOutageIsNoIsolation(t *testing.T) {
	f := newFleet("d")
	f.silence("a") // one zone of four is cut off, too
	for range 60 {
		f.r.RecordStoreCall(false, f.now, f.now)
		f.run(StepInterval)
		if f.isolated() {
			t.Fatal("an outage of the store for all is taken for a cut of this daemon")
		}
	}
}

// TestDaemonsThatRestartAreHeard: all of a zone are killed, and back by the time at which
// its back ends turn silent for another reason.
func TestDaemonsThatRestartAreHeard(t *testing.T) {
	f := newFleet("a")
	f.answering["d"], f.hanging["d"] = 0, 1
	f.run(400 * time.Millisecond)
	f.answering["d"], f.sending["d"] = daemonsEach, false
	f.run(2 * time.Second)
	if len(f.changes) != 0 {
		t.Errorf("changes: %+v", f.changes)
	}
}

// TestPausedDaemonMissesNobody: a daemon that stood still finds questions unanswered
// whose answers wait at its door.
func TestPausedDaemonMissesNobody(t *testing.T) {
	f := newFleet("a")
	waiting := map[string]UnresponsiveBackends{"b": {Overdue: 5, Silent: 5}}
	f.r.Step(waiting, f.now)
	f.now = f.now.Add(2 * probeTimeout)
	f.r.RecordProbeReply("c", f.now) // the first of them was read
	if plan := f.r.Step(waiting, f.now); len(plan.Changes) != 0 {
		t.Errorf("changes: %+v", plan.Changes)
	}
}

// TestDaemonThatHearsNobodyBlamesNoZone: it may be its own link.
func TestDaemonThatHearsNobodyBlamesNoZone(t *testing.T) {
	f := newFleet("a")
	f.silence(zoneNames...)
	f.run(3 * time.Second)
	if len(f.changes) != 0 {
		t.Errorf("changes: %+v", f.changes)
	}
}

func TestOneZoneAloneIsNeverCutOff(t *testing.T) {
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

func TestNobodyIsMissedAtTheStart(t *testing.T) {
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

func TestQuestionsAreFewInABurst(t *testing.T) {
	f := newFleet("a")
	for _, name := range zoneNames {
		f.sending[name] = false
	}
	before := f.questions
	f.run(10 * time.Second)
	// Each askRest at most all zones once, with three or one daemon asked.
	if asked := f.questions - before; asked > 20*(3*firstProbes+controlProbes) {
		t.Errorf("%d questions in 10 s", asked)
	}
}

// TestZoneWithoutDaemonsComesBackByItsBackEnds: none of its daemons runs any more.
func TestZoneWithoutDaemonsComesBackByItsBackEnds(t *testing.T) {
	f := newFleet("a")
	f.silence("d")
	f.run(time.Second)
	tries := 0
	for range 60 {
		for _, name := range f.r.Step(map[string]UnresponsiveBackends{}, f.now).Connect {
			tries++
			if tries == 3 {
				f.r.RecordActivity(name, f.now.Add(1))
			}
		}
		f.now = f.now.Add(StepInterval)
	}
	if tries != 3 || f.r.IsCutOff("d") {
		t.Errorf("%d tries, cut off %v", tries, f.r.IsCutOff("d"))
	}
}

// BenchmarkBelief asks what a choice among 50 instances does, in a fleet of 300 daemons
// in 8 zones, one of which is cut off.
func BenchmarkBelief(b *testing.B) {
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
