package schedule_test

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	_ "github.com/mintpulley/mintpulley/internal/plugins/queuepolicy"
	_ "github.com/mintpulley/mintpulley/internal/plugins/scorer"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const testModel structs.ModelName = "small"

// fixedConfiguration is a configuration that never changes.
type fixedConfiguration struct{ value *structs.Configuration }

func (f fixedConfiguration) Current() *structs.Configuration { return f.value }

// harness drives a scheduler and records its decisions.
type harness struct {
	clock     *clock.Virtual
	scheduler *schedule.Scheduler
	assigned  []schedule.Assignment
	refused   map[structs.RequestID]structs.Outcome
}

func newHarness(limit int, profile schedule.Profile, configuration *structs.Configuration) *harness {
	h := &harness{
		clock:   clock.NewVirtual(time.Unix(1_000_000, 0)),
		refused: map[structs.RequestID]structs.Outcome{},
	}
	h.scheduler = schedule.NewWithOptions(schedule.Options{
		Clock:          h.clock,
		QueueLimit:     limit,
		Profile:        profile,
		Configurations: fixedConfiguration{configuration},
	})
	return h
}

func engineID(number int) structs.EngineID {
	return structs.EngineID(fmt.Sprintf("10.0.0.%d:80", number))
}

func (h *harness) addEngines(count, running int) {
	for number := range count {
		id := engineID(number)
		h.scheduler.UpdateEngine(structs.Engine{ID: id, Zone: "a"})
		h.scheduler.UpdateLoad(report(id, running))
	}
}

func report(id structs.EngineID, running int) structs.LoadReport {
	return structs.LoadReport{
		Engine:              id,
		Models:              []structs.ModelName{testModel},
		Role:                structs.RoleBoth,
		MaximumRunning:      running,
		CacheCapacityTokens: 1 << 20,
		StartedUnixNano:     1,
	}
}

// blocks returns a chain of block hashes derived from a seed.
func blocks(seed, count int) []structs.BlockHash {
	chain := make([]structs.BlockHash, count)
	for i := range chain {
		chain[i] = structs.BlockHash(uint64(seed+1)*0x9e3779b97f4a7c15 + uint64(i)*0xbf58476d1ce4e5b9)
	}
	return chain
}

func (h *harness) item(tenant, program string, turn int, chain []structs.BlockHash) *schedule.Item {
	item := &schedule.Item{
		Key:              structs.ProgramKey{Tenant: structs.TenantName(tenant), Program: structs.ProgramID(program)},
		Request:          structs.RequestID(fmt.Sprintf("%s/%s/%d", tenant, program, turn)),
		Template:         "summary",
		Model:            testModel,
		PromptTokens:     int64(len(chain)) * prefix.BlockTokens,
		Blocks:           chain,
		MaximumTokens:    100,
		Turn:             turn,
		ProgramStartedAt: h.clock.Now(),
		EnqueuedAt:       h.clock.Now(),
	}
	item.Assign = func(assignment schedule.Assignment) { h.assigned = append(h.assigned, assignment) }
	item.Refuse = func(outcome structs.Outcome) { h.refused[item.Request] = outcome }
	return item
}

// finish finishes the oldest open assignment.
func (h *harness) finish(cached int64) {
	assignment := h.assigned[0]
	h.assigned = h.assigned[1:]
	h.scheduler.Finished(assignment, schedule.Result{
		Started: true,
		Usage: structs.Usage{
			PromptTokens:     assignment.Item.PromptTokens,
			CachedTokens:     cached,
			CompletionTokens: 50,
		},
		TimeToFirstToken: 100 * time.Millisecond,
		Duration:         time.Second,
	})
}
