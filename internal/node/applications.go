package node

import (
	"github.com/mintpulley/mintpulley/internal/dispatch"
	"github.com/mintpulley/mintpulley/internal/placement"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// applications dispatches program shards to the dispatch package and control
// shards to the placement package. It implements replication.Application.
type applications struct {
	programs *dispatch.Coordinator
	control  *placement.Manager
}

func (a applications) applicationOf(shard structs.ShardNumber) replication.Application {
	if a.control.Owns(shard) {
		return a.control
	}
	return a.programs
}

// NewStateMachine implements replication.Application.
func (a applications) NewStateMachine(shard structs.ShardNumber) replication.StateMachine {
	return a.applicationOf(shard).NewStateMachine(shard)
}

// Lead implements replication.Application.
func (a applications) Lead(shard structs.ShardNumber, machine replication.StateMachine, leadership replication.Leadership) {
	a.applicationOf(shard).Lead(shard, machine, leadership)
}

// Follow implements replication.Application.
func (a applications) Follow(shard structs.ShardNumber) { a.applicationOf(shard).Follow(shard) }

// Pressure implements replication.Application. The memory of placement is small
// and not counted.
func (a applications) Pressure() replication.Pressure { return a.programs.Pressure() }

// schedulerQueues reports a scheduler's waiting calls to placement.
type schedulerQueues struct{ scheduler *schedule.Scheduler }

// WaitingByModel implements placement.Queues.
func (q schedulerQueues) WaitingByModel() []placement.ModelWaiting {
	counts := q.scheduler.WaitingByModel()
	waiting := make([]placement.ModelWaiting, len(counts))
	for i, count := range counts {
		waiting[i] = placement.ModelWaiting{ModelAdapter: count.ModelAdapter, Calls: count.Calls}
	}
	return waiting
}
