package instance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// runEntry returns the entry of a run as a back end writes it.
func runEntry(name string, incarnation, sequence int64) Instance {
	run := listOf(StateReady, RunID(name, incarnation))[0]
	run.Address, run.Sequence = "a-"+name, sequence
	return run
}

// TestRestartedInstanceInheritsNoState guards against a restarted back end that gets no
// requests for minutes: its sequence starts again, so its entries would be taken for old
// ones, and failures of the former run would count against it.
func TestRestartedInstanceInheritsNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		p.Replace([]Instance{runEntry("b", 100, 900)})
		first, _ := p.Take(Query{Service: "s"})
		p.Release(first.ID, OutcomeFailed)
		p.Take(Query{Service: "s"})
		draining := runEntry("b", 100, 901)
		draining.State = StateDraining
		p.Replace([]Instance{draining})
		time.Sleep(time.Minute)
		gone := p.Replace([]Instance{runEntry("b", 200, 1)})
		second, found := p.Take(Query{Service: "s"})
		if !found || second.ID == first.ID || second.Name() != first.Name() {
			t.Fatalf("got %q, found %t, after %q", second.ID, found, first.ID)
		}
		if !second.FirstSeenAt.Equal(time.Now()) {
			t.Errorf("first seen %s ago, want now, as it may be cold", time.Since(second.FirstSeenAt))
		}
		if loads := p.Loads(); loads[second.ID] != 1 || len(loads) != 1 {
			t.Errorf("requests in flight: %v", loads)
		}
		if e := p.byID[second.ID]; e.health.failures > 0 || !e.backoffUntil.IsZero() {
			t.Error("failures of the former run count against the new one")
		}
		if diff := cmp.Diff([]string{"a-b"}, gone); diff != "" {
			t.Errorf("addresses with stale connections (-want +got): %s", diff)
		}
		if !p.IsSuperseded(first.ID) || p.IsSuperseded(second.ID) || p.IsSuperseded("unknown") {
			t.Error("wrong run is reported as superseded")
		}
		p.Release(first.ID, OutcomeAnswered) // a late answer of the former run
		if loads := p.Loads(); loads[second.ID] != 1 {
			t.Errorf("an answer of the former run counts for the new one: %v", loads)
		}
	})
}

// A delayed write of a former run is ignored; an entry of a run on a host whose clock was
// set back is accepted once it is written again.
func TestEntriesWithALowerIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		entries []Instance
		want    string
	}{
		"delayed write":                 {[]Instance{runEntry("b", 100, 950), runEntry("b", 200, 2)}, "b#200"},
		"same entry read twice":         {[]Instance{runEntry("b", 100, 950), runEntry("b", 100, 950)}, "b#200"},
		"clock set back":                {[]Instance{runEntry("b", 50, 1), runEntry("b", 50, 2)}, "b#50"},
		"no incarnation":                {[]Instance{runEntry("b", 0, 5)}, "b#200"},
		"no incarnation, written again": {[]Instance{runEntry("b", 0, 5), runEntry("b", 0, 6)}, "b"},
		"same run, older sequence":      {[]Instance{runEntry("b", 200, 0)}, "b#200"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool()
			p.Replace([]Instance{runEntry("b", 200, 1)})
			for _, entry := range test.entries {
				p.Replace([]Instance{entry})
			}
			if got, found := p.Take(Query{Service: "s"}); !found || got.ID != test.want {
				t.Errorf("found %t: %q, want %q", found, got.ID, test.want)
			}
		})
	}
}

// An entry of a later run is no proof that the former run is over unless it has the same
// address.
func TestRunIsReplacedOnceALaterOneHasItsAddress(t *testing.T) {
	elsewhere := runEntry("b", 300, 1)
	elsewhere.Address = "elsewhere"
	for name, test := range map[string]struct {
		entries    []Instance
		isReplaced bool
	}{
		"a later run":                       {[]Instance{runEntry("b", 300, 1)}, true},
		"a later run, another address":      {[]Instance{elsewhere}, false},
		"an earlier run that keeps writing": {[]Instance{runEntry("b", 100, 1), runEntry("b", 100, 2)}, false},
		"itself":                            {[]Instance{runEntry("b", 200, 2)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool()
			run := runEntry("b", 200, 1)
			p.Replace([]Instance{run})
			for _, entry := range test.entries {
				p.Replace([]Instance{entry})
			}
			if got := p.IsReplaced(run); got != test.isReplaced {
				t.Errorf("got %t, want %t", got, test.isReplaced)
			}
		})
	}
}

func TestReplaceReturnsTheFormerAddressOfAMovedRun(t *testing.T) {
	p := newTestPool()
	p.Replace([]Instance{runEntry("b", 100, 1)})
	moved := runEntry("b", 100, 2)
	moved.Address = "elsewhere"
	if diff := cmp.Diff([]string{"a-b"}, p.Replace([]Instance{moved})); diff != "" {
		t.Errorf("(-want +got): %s", diff)
	}
}
