package ledger_test

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mintpulley/mintpulley/internal/ledger"
	"github.com/mintpulley/mintpulley/internal/store"
)

// The simulation runs turns of programs at a fleet of ledgers while daemons, the network
// and the store fail, on a virtual clock. A seed determines the sequence of faults; the
// order of goroutines at the same instant is up to the runtime.
//
//	go test ./internal/ledger -run TestPromisesUnderFaults -seeds 200
var simulationSeeds = flag.Int("seeds", 12, "how many courses of faults the simulation plays")

const (
	// courseLength is how long faults occur, and recoveryTime how long the fleet then has
	// to recover.
	courseLength = 20 * time.Second
	recoveryTime = 6 * time.Second
	// provocationSeeds is the number of courses in which a disabled protection must be
	// detected at least once.
	provocationSeeds = 150
	// rollingPause is the pause between the planned shutdowns of daemons.
	rollingPause = 270 * time.Millisecond
)

// fault starts one kind of fault; it returns the function that ends it.
type fault func(w *world) (end func())

// courseKind determines what may happen in a course of faults.
type courseKind struct {
	breakage breakage
	faults   []fault
	// excess is by how much programs may exceed their budgets.
	excess int64
	// bounds are what the store takes in one append; the zero value sets none.
	bounds store.Bounds
}

// anyFaults returns a course with all kinds of faults and with a protection disabled.
func anyFaults(breakage breakage) courseKind {
	return courseKind{breakage: breakage, faults: simulationFaults, excess: budgetExcess}
}

// simulationFaults are all kinds, in a fixed order, so that a seed determines the course.
var simulationFaults = slices.Concat(lossFaults, outageFaults)

// lossFaults stop daemons or cut them off, so that shards may be lost with what their
// holders had not recorded.
var lossFaults = []fault{
	// kill one
	func(w *world) func() {
		d := w.daemons[w.intN(simulatedDaemons)]
		w.kill(d)
		return w.restartDead
	},
	// kill all
	func(w *world) func() {
		for _, d := range w.daemons {
			w.kill(d)
		}
		return w.restartDead
	},
	// leave
	func(w *world) func() {
		w.leave(w.daemons[w.intN(simulatedDaemons)], 2*time.Second)
		return w.restartDead
	},
	// leave one after the other, two fifths at a time
	func(w *world) func() {
		first := w.intN(simulatedDaemons)
		var stops sync.WaitGroup
		for i := range simulatedDaemons * 2 / 5 {
			stops.Go(func() { w.leave(w.daemons[(first+i)%simulatedDaemons], 2500*time.Millisecond) })
			time.Sleep(rollingPause)
		}
		stops.Wait()
		return w.restartDead
	},
	// freeze
	func(w *world) func() {
		d := w.daemons[w.intN(simulatedDaemons)]
		w.change(func() { d.frozen = true })
		return func() { w.change(func() { d.frozen = false }) }
	},
	// cut off from the store
	func(w *world) func() {
		d := w.daemons[w.intN(simulatedDaemons)]
		w.change(func() { d.cut = true })
		return func() { w.change(func() { d.cut = false }) }
	},
	// messages lost
	setFaults(func(f *faults) { f.loseMessage = 0.2 }, func(f *faults) { f.loseMessage = 0 }),
}

// outageFaults are faults of the store that affect all daemons.
var outageFaults = []fault{
	// store refuses calls
	setFaults(func(f *faults) { f.storeDown = true }, func(f *faults) { f.storeDown = false }),
	// store does not answer
	setFaults(func(f *faults) { f.storeDown, f.storeSilent = true, true },
		func(f *faults) { f.storeDown, f.storeSilent = false, false }),
	// store slow
	setFaults(func(f *faults) { f.slowness = 60 }, func(f *faults) { f.slowness = 1 }),
	// answers lost
	setFaults(func(f *faults) { f.loseAnswers = 0.35 }, func(f *faults) { f.loseAnswers = 0 }),
	// appends applied late
	setFaults(func(f *faults) { f.doLate = 0.35 }, func(f *faults) { f.doLate = 0 }),
}

func setFaults(begin, end func(*faults)) fault {
	return func(w *world) func() {
		w.change(func() { begin(&w.faults) })
		return func() { w.change(func() { end(&w.faults) }) }
	}
}

func (w *world) restartDead() {
	for _, d := range w.daemons {
		if look(w, func() bool { return !d.diedAt.IsZero() }) {
			w.start(d)
		}
	}
}

// play plays one course and returns what was observed.
func play(t *testing.T, seed uint64, kind courseKind) (seen *checker) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, kind)
		seen = newChecker(kind.excess)
		var callers, faultRuns sync.WaitGroup
		faultRuns.Go(func() { playFaults(w, kind.faults, &faultRuns) })
		callers.Go(func() { startPrograms(w, seen, &callers) })
		faultRuns.Wait()
		w.restartDead()
		callers.Wait()
		time.Sleep(recoveryTime)
		checkRecovered(w, seen)
		for _, d := range w.daemons {
			w.kill(d)
		}
		time.Sleep(time.Minute) // lets background work end
	})
	return seen
}

// playFaults starts and ends faults, some of them at the same time.
func playFaults(w *world, kinds []fault, all *sync.WaitGroup) {
	for start := time.Now(); time.Since(start) < courseLength; {
		begin := kinds[w.intN(len(kinds))]
		length := w.between(200*time.Millisecond, 5*time.Second)
		all.Go(func() {
			end := begin(w)
			time.Sleep(length)
			end()
		})
		time.Sleep(w.between(500*time.Millisecond, 3*time.Second))
	}
}

// startPrograms starts programs for courseLength.
func startPrograms(w *world, c *checker, callers *sync.WaitGroup) {
	start := time.Now()
	for number := 0; time.Since(start) < courseLength; number++ {
		startProgram(w, c, callers, number)
		time.Sleep(w.between(20*time.Millisecond, 250*time.Millisecond))
	}
}

// startProgram starts one program. Some continue from another's turn, some run until they
// are stopped, and some have a sub-agent.
func startProgram(w *world, c *checker, callers *sync.WaitGroup, number int) {
	p := &program{world: w, checker: c, id: fmt.Sprint("p", number), budget: int64(3+w.intN(8)) * maxTokens}
	turns := 1 + w.intN(6)
	switch {
	case w.chance(0.2):
		p.last = c.anyTurn(w.intN)
	case w.chance(0.2):
		turns = 100
	case w.chance(0.05):
		callers.Go(func() { forge(w, c, number) })
	}
	callers.Go(func() { p.run(turns) })
	if w.chance(0.2) {
		sub := &program{world: w, checker: c, id: p.id, budget: p.budget, sent: 1000}
		callers.Go(func() { sub.run(turns) })
	}
}

// checkRecovered lets a new program continue from every turn that must be kept.
func checkRecovered(w *world, c *checker) {
	for i, id := range c.ids {
		_, _, service := w.anyDaemon()
		turn := ledger.Turn{ID: fmt.Sprint("again-", i), Program: fmt.Sprint("again-", i), Previous: id, Retention: retention}
		grant, err := beginUntil(service, turn)
		switch {
		case err != nil && c.mustBeKept(id):
			c.violated("recovery: no turn continues from %s: %v", id, err)
		case err == nil && string(grant.History) != c.history(id):
			c.violated("recovery: turn %s has history %q", id, grant.History)
		}
	}
}

func TestPromisesUnderFaults(t *testing.T) {
	for seed := range uint64(*simulationSeeds) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			seen := play(t, seed+1, anyFaults(breakNothing))
			if len(seen.violations) > 0 {
				t.Errorf("guarantees violated:\n%s", seen)
			}
			if len(seen.ids) < 20 {
				t.Errorf("only %d turns were completed", len(seen.ids))
			}
			t.Logf("%d turns completed, %d refused as spent", len(seen.ids), seen.refused)
		})
	}
}

// Guards against promises that hold only while all changes of a shard are appended at once: turns go to
// the store in pieces, and few records fit into a call.
func TestPromisesWhereAppendsTakeSeveralCalls(t *testing.T) {
	course := anyFaults(breakNothing)
	course.bounds = store.Bounds{RecordBytes: 2056, CallBytes: 2056}
	for seed := range uint64(*simulationSeeds) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			seen := play(t, seed+1, course)
			if len(seen.violations) > 0 {
				t.Errorf("guarantees violated:\n%s", seen)
			}
			if len(seen.ids) < 20 {
				t.Errorf("only %d turns were completed", len(seen.ids))
			}
		})
	}
}

// Where no holder is lost, no budget is exceeded by a single token.
func TestBudgetsAreExactWhileTheStoreFails(t *testing.T) {
	for seed := range uint64(*simulationSeeds) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			seen := play(t, seed+1, courseKind{faults: outageFaults})
			if len(seen.violations) > 0 {
				t.Errorf("guarantees violated:\n%s", seen)
			}
		})
	}
}

func TestEachBrokenProtectionIsNoticed(t *testing.T) {
	for _, breakage := range []breakage{breakFencing, breakDurability, breakHeadroom, breakAllowance, breakReservations, breakEarlyEnd} {
		t.Run(string(breakage), func(t *testing.T) {
			for seed := range uint64(provocationSeeds) {
				if seen := play(t, seed+1, anyFaults(breakage)); len(seen.violations) > 0 {
					t.Logf("seed %d: %s", seed+1, seen.violations[0])
					return
				}
			}
			t.Errorf("%d courses violated no guarantee", provocationSeeds)
		})
	}
}
