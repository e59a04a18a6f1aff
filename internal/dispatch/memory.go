package dispatch

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// retryAfterMemory is the retry delay when a daemon of the shard's group has no
// memory left. Memory is freed as ended programs are removed.
const retryAfterMemory = 10 * time.Second

// Pressure implements replication.Application.
func (c *Coordinator) Pressure() replication.Pressure {
	kept, limits := c.Memory.ProgramBytes(), c.Memory.Limits()
	switch {
	case kept >= limits.Calls:
		return replication.PressureRefuseAll
	case kept >= limits.NewPrograms:
		return replication.PressureRefuseNew
	default:
		return replication.PressureNone
	}
}

// shedForMemory refuses a call when a daemon of the shard's group is short of
// memory: a new program at the lower limit, any call at the higher one. A
// sub-agent counts as part of a program in progress. It reports whether the
// call was refused; no record is proposed.
func (l *leader) shedForMemory(follower attachment, call structs.Call, admission program.Admission) bool {
	pressure := l.leadership.Pressure()
	starts := admission.Records[0].ProgramStarted != nil && call.Key.Parent().Program == ""
	if pressure == replication.PressureNone || (pressure == replication.PressureRefuseNew && !starts) {
		return false
	}
	refusal := structs.Refused(structs.ReasonMemoryFull, "",
		fmt.Sprintf("A daemon that holds the program has no memory for %s.", refusedKind(pressure)), retryAfterMemory)
	if l.machine.Program(call.Key) != nil {
		l.recordStep(call.Key, call.RequestID, "refuse", refusal.Message)
	}
	l.refuseTemporarily(follower, call, refusal)
	return true
}

func refusedKind(pressure replication.Pressure) string {
	if pressure == replication.PressureRefuseNew {
		return "new programs"
	}
	return "more calls"
}
