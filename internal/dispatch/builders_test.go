package dispatch_test

import (
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// assignmentOf assigns the held item to the engine.
func assignmentOf(f *fixture) schedule.Assignment {
	f.scheduler.assigned++
	return schedule.Assignment{Item: f.scheduler.held[0], Engine: engineID, EngineRun: 1, Hold: true}
}

func holdSeen(id structs.HoldID) *dispatch.HoldSeen {
	return &dispatch.HoldSeen{Hold: structs.Hold{ID: id, Engine: engineID, Program: structs.ProgramKey{Tenant: "bakery", Program: "gone"}}}
}
