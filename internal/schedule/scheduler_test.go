package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/plugins/queuepolicy/program"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

func TestNobodyStarvesBehindLaterArrivals(t *testing.T) {
	h := newHarness(10_000, schedule.DefaultProfile(), nil)
	h.addEngines(1, 1)
	h.scheduler.Enqueue(h.item("a", "first", 1, blocks(1, 2)))
	patient := h.item("a", "patient", 1, blocks(2, 60))
	h.scheduler.Enqueue(patient)
	arrived := h.clock.Now()
	var overtakers []time.Duration
	for second := 1; h.scheduler.Waiting() > 0 && second < 1000; second++ {
		h.clock.RunUntil(arrived.Add(time.Duration(second) * time.Second))
		favoured := h.item("a", fmt.Sprintf("late-%d", second), 2, blocks(second+10, 2))
		favoured.Priority = 9
		favoured.ProgramStartedAt = h.clock.Now().Add(-time.Hour)
		h.scheduler.Enqueue(favoured)
		h.finish(0)
		served := h.assigned[0].Item
		if served == patient {
			break
		}
		overtakers = append(overtakers, served.EnqueuedAt.Sub(arrived))
	}
	if h.assigned[0].Item != patient {
		t.Fatalf("the call was never served; %d overtook it", len(overtakers))
	}
	if len(overtakers) < 2 {
		t.Fatal("fewer than two calls overtook this one: the test is not effective")
	}
	last := overtakers[len(overtakers)-1]
	if last > program.StarvationBound*time.Second {
		t.Errorf("a call that arrived %s later overtook it, the bound is %d s", last, program.StarvationBound)
	}
}

func TestLargeCallIsNotStarvedBySmallOnes(t *testing.T) {
	const small, large = 200_000, 900_000
	profile := schedule.DefaultProfile()
	profile.PrefillBacklog = 0
	h := newHarness(10_000, profile, nil)
	h.addEngines(1, 8)
	call := func(name string, tokens int64) *schedule.Item {
		item := h.item("a", name, 1, nil)
		item.PromptTokens = tokens
		return item
	}
	h.scheduler.Enqueue(call("first", small))
	patient := call("patient", large)
	h.scheduler.Enqueue(patient)
	for second := range 300 {
		h.clock.RunUntil(patient.EnqueuedAt.Add(time.Duration(second) * time.Second))
		h.scheduler.Enqueue(call(fmt.Sprintf("late-%d", second), small))
		h.scheduler.Enqueue(call(fmt.Sprintf("later-%d", second), small))
		h.finish(0)
		if len(h.assigned) > 0 && h.assigned[0].Item == patient {
			return
		}
	}
	t.Error("a large call was starved by small ones that arrived later")
}

func TestCallIsNotAssignedToLeavingEngine(t *testing.T) {
	h := newHarness(10, schedule.DefaultProfile(), nil)
	h.addEngines(1, 1)
	h.scheduler.Enqueue(h.item("a", "first", 1, blocks(1, 2)))
	h.scheduler.Enqueue(h.item("a", "waits", 1, blocks(2, 2)))
	h.scheduler.UpdateEngine(structs.Engine{ID: engineID(0), Zone: "a", Leaving: true})
	h.finish(0)
	if len(h.assigned) > 0 {
		t.Errorf("%s was assigned to a leaving engine", h.assigned[0].Item.Request)
	}
}

func TestTenantsGetTheirShares(t *testing.T) {
	configuration := &structs.Configuration{Tenants: map[structs.TenantName]structs.Tenant{"big": {Share: 3}, "small": {Share: 1}}}
	h := newHarness(10_000, schedule.DefaultProfile(), configuration)
	h.addEngines(2, 1)
	for i := range 1500 {
		for _, tenant := range []string{"big", "small"} {
			h.scheduler.Enqueue(h.item(tenant, fmt.Sprintf("%s-%d", tenant, i), 1, blocks(2*i+len(tenant), 200)))
		}
	}
	served := map[structs.TenantName]int{}
	for i := range 1600 {
		if i >= 400 {
			served[h.assigned[0].Item.Key.Tenant]++
		}
		h.finish(0)
	}
	ratio := float64(served["big"]) / float64(max(served["small"], 1))
	if ratio < 2.5 || ratio > 3.5 {
		t.Errorf("big was served %.2f times as often as small, its share is 3 times as large", ratio)
	}
}

func TestDecisionsAreDeterministic(t *testing.T) {
	first, second := randomRun(7), randomRun(7)
	if len(first) < 500 {
		t.Fatalf("only %d decisions", len(first))
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("two runs of the same events differ:\n%s", diff)
	}
}

// randomRun drives a scheduler with random events and returns its decisions.
func randomRun(seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 0))
	h := newHarness(300, schedule.DefaultProfile(), nil)
	h.addEngines(8, 4)
	var decisions []string
	recorded := 0
	for step := range 4000 {
		switch random.IntN(5) {
		case 0, 1:
			number := random.IntN(400)
			h.scheduler.Enqueue(h.item(fmt.Sprintf("t%d", number%5), fmt.Sprintf("p%d", number), 1+step/1000, blocks(number, 1+number%30)))
		case 2, 3:
			if len(h.assigned) > 0 {
				h.finish(0)
				recorded = max(recorded-1, 0)
			}
		case 4:
			h.clock.RunUntil(h.clock.Now().Add(time.Duration(random.IntN(300)) * time.Millisecond))
			h.scheduler.UpdateLoad(report(engineID(random.IntN(8)), 4))
		}
		for ; recorded < len(h.assigned); recorded++ {
			assignment := h.assigned[recorded]
			decisions = append(decisions, fmt.Sprintf("%s on %s: %s", assignment.Item.Request, assignment.Engine, assignment.Reason))
		}
	}
	return decisions
}

func TestDeadlinePassedInTheQueueIsRefused(t *testing.T) {
	h := newHarness(10, schedule.DefaultProfile(), nil)
	item := h.item("a", "p", 1, blocks(1, 2))
	item.Deadline = h.clock.Now().Add(time.Second)
	h.scheduler.Enqueue(item)
	h.clock.RunUntil(item.Deadline.Add(-time.Millisecond))
	if len(h.refused) != 0 {
		t.Fatal("refused before the deadline")
	}
	h.clock.RunUntil(item.Deadline)
	if got := h.refused[item.Request].Reason; got != structs.ReasonDeadline {
		t.Errorf("refused with %q at the deadline, want %q", got, structs.ReasonDeadline)
	}
}

// All engines have failed the call: it must wait at first, but not for ever.
func TestCallThatAvoidsEveryEngineIsNotLeftWaiting(t *testing.T) {
	h := newHarness(10, schedule.DefaultProfile(), nil)
	h.addEngines(2, 4)
	item := h.item("tenant", "program", 1, blocks(1, 4))
	item.EnqueuedAt = h.clock.Now()
	item.Avoid = []structs.EngineID{engineID(0), engineID(1)}
	h.scheduler.Enqueue(item)
	for second := range 20 {
		if len(h.assigned) > 0 && second <= 5 {
			t.Fatalf("the call went back to %s after %d s", h.assigned[0].Engine, second)
		}
		h.clock.RunUntil(h.clock.Now().Add(time.Second))
		h.scheduler.UpdateLoad(report(engineID(0), 4))
	}
	if len(h.assigned) != 1 {
		t.Fatalf("%d assignments after 20 s, want 1: the call waits for an engine that does not exist", len(h.assigned))
	}
}

func TestFullQueueRefusesTheTenantOverItsShare(t *testing.T) {
	h := newHarness(100, schedule.DefaultProfile(), nil)
	for i := range 300 {
		h.scheduler.Enqueue(h.item("flood", fmt.Sprintf("f%d", i), 1, blocks(i, 2)))
	}
	for i := range 10 {
		h.scheduler.Enqueue(h.item("modest", fmt.Sprintf("m%d", i), 1, blocks(i, 2)))
		h.scheduler.Enqueue(h.item("flood", fmt.Sprintf("under-way-%d", i), 3, blocks(i, 2)))
	}
	for request, outcome := range h.refused {
		if outcome.Reason != structs.ReasonOverloaded || outcome.RetryAfter <= 0 || outcome.Status != structs.OutcomeNotRun {
			t.Errorf("%s: outcome %+v, want overloaded, not run, with a retry-after time", request, outcome)
		}
		if request[0] == 'm' {
			t.Errorf("%s of the modest tenant was refused", request)
		}
		if len(request) > 6 && string(request[6:7]) == "u" {
			t.Errorf("%s of a program in progress was refused while new ones waited", request)
		}
	}
	if h.scheduler.Waiting() > 100 {
		t.Errorf("%d calls wait, the limit is 100", h.scheduler.Waiting())
	}
}

func TestProgramReturnsToEngineWithItsCache(t *testing.T) {
	h := newHarness(100, schedule.DefaultProfile(), nil)
	h.addEngines(8, 4)
	h.scheduler.Enqueue(h.item("a", "p", 1, blocks(1, 50)))
	firstEngine := h.assigned[0].Engine
	h.finish(0)
	for i := range 5 {
		h.scheduler.Enqueue(h.item("a", fmt.Sprintf("other-%d", i), 1, blocks(100+i, 50)))
	}
	h.scheduler.Enqueue(h.item("a", "p", 2, blocks(1, 52)))
	last := h.assigned[len(h.assigned)-1]
	if last.Engine != firstEngine {
		t.Errorf("the second call went to %s, its history is at %s", last.Engine, firstEngine)
	}
	if len(last.Scores) == 0 || last.Reason == "" {
		t.Error("the decision has no scores or no reason")
	}
}

func TestAnswerRestoresPrefixAfterCacheClear(t *testing.T) {
	h := newHarness(100, schedule.DefaultProfile(), nil)
	h.addEngines(2, 4)
	h.scheduler.CacheEvents([]structs.CacheEvent{{Engine: engineID(1), Sequence: 1, Kind: structs.CacheStored, Blocks: blocks(1, 50)}})
	h.scheduler.Enqueue(h.item("a", "p", 1, blocks(1, 50)))
	if h.assigned[0].Engine != engineID(1) {
		t.Fatalf("went to %s, the event says %s holds the prompt", h.assigned[0].Engine, engineID(1))
	}
	h.scheduler.CacheEvents([]structs.CacheEvent{{Engine: engineID(1), Sequence: 2, Kind: structs.CacheCleared}})
	h.finish(0)
	h.scheduler.Enqueue(h.item("a", "p", 2, blocks(1, 50)))
	if h.assigned[0].Engine != engineID(1) {
		t.Errorf("went to %s; the answer showed that %s holds the prompt again", h.assigned[0].Engine, engineID(1))
	}
}
