package instance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// runOf returns a run's entry as a back end writes it.
func runOf(name string, incarnation, sequence int64) Instance {
	run := listOf(StateReady, RunID(name, incarnation))[0]
	run.Address, run.Sequence = "a-"+name, sequence
	return run
}

// TestBackEndThatStartsAgainIsAnother: what users saw was that a back end which had started again
// under its name got no requests for minutes, or not those that it could serve: its sequence
// begins anew, so that its entries were taken for old ones, and all that was known of the run
// before was believed of this one.
func TestBackEndThatStartsAgainIsAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool()
		p.Replace([]Instance{runOf("b", 100, 900)})
		first, _ := p.Take(Query{Service: "s"})
		p.Release(first.ID, OutcomeFailed)
		p.Take(Query{Service: "s"})
		leaving := runOf("b", 100, 901)
		leaving.State = StateDraining
		p.Replace([]Instance{leaving})
		time.Sleep(time.Minute)
		gone := p.Replace([]Instance{runOf("b", 200, 1)})
		second, found := p.Take(Query{Service: "s"})
		if !found || second.ID == first.ID || second.Name() != first.Name() {
			t.Fatalf("got %q, found %t, after %q", second.ID, found, first.ID)
		}
		if !second.FirstSeenAt.Equal(time.Now()) {
			t.Errorf("first heard of %s ago, want now: it may be cold", time.Since(second.FirstSeenAt))
		}
		if loads := p.Loads(); loads[second.ID] != 1 || len(loads) != 1 {
			t.Errorf("requests in flight: %v", loads)
		}
		if e := p.byID[second.ID]; e.health.failures > 0 || !e.paused.IsZero() {
			t.Error("failures of the run before count against this one")
		}
		if diff := cmp.Diff([]string{"a-b"}, gone); diff != "" {
			t.Errorf("connections to the run before are kept (-want +got): %s", diff)
		}
		if !p.IsSuperseded(first.ID) || p.IsSuperseded(second.ID) || p.IsSuperseded("unknown") {
			t.Error("it is not known which run is over")
		}
		p.Release(first.ID, OutcomeAnswered) // its last answer comes late
		if loads := p.Loads(); loads[second.ID] != 1 {
			t.Errorf("an answer of the run before counts for this one: %v", loads)
		}
	})
}

// TestEntryOfAnEarlierRun: one that is done late changes nothing; a run whose clock went back
// writes again, and is believed then.
func TestEntryOfAnEarlierRun(t *testing.T) {
	for name, test := range map[string]struct {
		entries []Instance
		want    string
	}{
		"done late":                       {[]Instance{runOf("b", 100, 950), runOf("b", 200, 2)}, "b#200"},
		"read twice":                      {[]Instance{runOf("b", 100, 950), runOf("b", 100, 950)}, "b#200"},
		"of a clock that went back":       {[]Instance{runOf("b", 50, 1), runOf("b", 50, 2)}, "b#50"},
		"that does not tell its run":      {[]Instance{runOf("b", 0, 5)}, "b#200"},
		"of software that does not tell":  {[]Instance{runOf("b", 0, 5), runOf("b", 0, 6)}, "b"},
		"of the same run, an older state": {[]Instance{runOf("b", 200, 0)}, "b#200"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool()
			p.Replace([]Instance{runOf("b", 200, 1)})
			for _, entry := range test.entries {
				p.Replace([]Instance{entry})
			}
			if got, found := p.Take(Query{Service: "s"}); !found || got.ID != test.want {
				t.Errorf("found %t: %q, want %q", found, got.ID, test.want)
			}
		})
	}
}

// TestRunIsOverOnceALaterOneHasItsAddress: of any other, an entry is no proof.
func TestRunIsOverOnceALaterOneHasItsAddress(t *testing.T) {
	elsewhere := runOf("b", 300, 1)
	elsewhere.Address = "elsewhere"
	for name, test := range map[string]struct {
		entries    []Instance
		isReplaced bool
	}{
		"a later run":                   {[]Instance{runOf("b", 300, 1)}, true},
		"a later run, another address":  {[]Instance{elsewhere}, false},
		"an earlier run that writes on": {[]Instance{runOf("b", 100, 1), runOf("b", 100, 2)}, false},
		"itself":                        {[]Instance{runOf("b", 200, 2)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool()
			run := runOf("b", 200, 1)
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

// TestConnectionsToAFormerAddressAreForgotten: the run goes on elsewhere.
func TestConnectionsToAFormerAddressAreForgotten(t *testing.T) {
	p := newTestPool()
	p.Replace([]Instance{runOf("b", 100, 1)})
	moved := runOf("b", 100, 2)
	moved.Address = "elsewhere"
	if diff := cmp.Diff([]string{"a-b"}, p.Replace([]Instance{moved})); diff != "" {
		t.Errorf("(-want +got): %s", diff)
	}
}
