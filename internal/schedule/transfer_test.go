package schedule_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const historyBlocks = 64

// secondTurn returns the assignment of a program's second call, after the
// engine that served the first has become full.
func secondTurn(t *testing.T, change func(*schedule.Profile), prepare func(*harness)) schedule.Assignment {
	t.Helper()
	profile := schedule.DefaultProfile()
	profile.WaitForBetterEngine = false
	if change != nil {
		change(&profile)
	}
	h := newHarness(100, profile, nil)
	h.addEngines(2, 2)
	chain := blocks(1, historyBlocks)
	h.scheduler.Enqueue(h.item("t", "p", 1, chain))
	first := h.assigned[0].Engine
	h.finish(0)
	full := report(first, 2)
	full.Running = 3
	h.scheduler.UpdateLoad(full)
	if prepare != nil {
		prepare(h)
	}
	second := h.item("t", "p", 2, append(chain, blocks(2, 2)...))
	second.LastEngine = first
	h.scheduler.Enqueue(second)
	if len(h.assigned) != 1 || h.assigned[0].Engine == first {
		t.Fatalf("assigned %+v, want the other engine", h.assigned)
	}
	return h.assigned[0]
}

func TestCacheIsTransferredToNewEngine(t *testing.T) {
	assignment := secondTurn(t, nil, nil)
	got := assignment.Transfer
	if !strings.HasSuffix(assignment.Reason, got.String()) || !hasScore(assignment, "transfer", got.Seconds) {
		t.Errorf("reason %q and scores %+v do not describe transfer %+v", assignment.Reason, assignment.Scores, got)
	}
	if got.From == "" || got.Tokens != historyBlocks*prefix.BlockTokens || got.Seconds <= 0 {
		t.Errorf("transfer %+v, want the history of %d tokens", got, historyBlocks*prefix.BlockTokens)
	}
}

func hasScore(assignment schedule.Assignment, scorer string, score float64) bool {
	return slices.Contains(assignment.Scores, structs.CandidateScore{Engine: assignment.Engine, Scorer: scorer, Score: score})
}

func TestNoTransferWhenItDoesNotPay(t *testing.T) {
	slow := func(h *harness) {
		for range 20 {
			h.scheduler.RecordTransfer(1000, 10*time.Second)
		}
	}
	small := func(h *harness) {
		for number := range 2 {
			tight := report(engineID(number), 2)
			tight.CacheCapacityTokens = historyBlocks * prefix.BlockTokens * 3 / 2
			tight.Running = 3 - 3*number
			h.scheduler.UpdateLoad(tight)
		}
	}
	for name, test := range map[string]struct {
		change  func(*schedule.Profile)
		prepare func(*harness)
	}{
		"switched off":          {func(p *schedule.Profile) { p.Transfers = false }, nil},
		"slow links":            {nil, slow},
		"memory is short":       {nil, small},
		"the engine has left":   {nil, func(h *harness) { h.scheduler.UpdateEngine(structs.Engine{ID: engineID(0), Leaving: true}) }},
		"the engine is removed": {nil, func(h *harness) { h.scheduler.RemoveEngine(engineID(0)) }},
		"the cache was cleared": {nil, func(h *harness) {
			h.scheduler.CacheEvents([]structs.CacheEvent{{Engine: engineID(0), Sequence: 1, Kind: structs.CacheCleared}})
		}},
	} {
		if got := secondTurn(t, test.change, test.prepare).Transfer; got.From != "" {
			t.Errorf("%s: transfer %+v", name, got)
		}
	}
}

func TestCacheIsTransferredFromDrainingEngine(t *testing.T) {
	got := secondTurn(t, nil, func(h *harness) {
		draining := report(engineID(0), 2)
		draining.Draining = true
		h.scheduler.UpdateLoad(draining)
		h.scheduler.UpdateEngine(structs.Engine{ID: engineID(0), Leaving: true})
	}).Transfer
	if got.From != engineID(0) {
		t.Errorf("transfer %+v, want one from the draining engine", got)
	}
}

func TestSlowLinksAreRetried(t *testing.T) {
	got := secondTurn(t, nil, func(h *harness) {
		for range 20 {
			h.scheduler.RecordTransfer(1000, 10*time.Second)
		}
		h.clock.RunUntil(h.clock.Now().Add(2 * time.Minute))
	}).Transfer
	if got.From == "" {
		t.Error("no transfer over links that were slow two minutes ago")
	}
}
