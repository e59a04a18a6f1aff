// Package replication keeps the replicated log of each shard of programs, in
// the manner of Raft. A shard's group is three daemons, in different zones
// where the fleet has them, with one leader in an epoch. A record is committed
// once a majority of the group holds it in that epoch, and is acknowledged once
// all reachable members hold it.
package replication

import (
	"github.com/rotisserie/eris"

	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// StateMachine is the state that results from applying a shard's log. All
// methods are called on the shard's serial queue.
type StateMachine interface {
	// Apply applies one committed record. The result must depend on nothing but
	// the state and the record.
	Apply(record structs.Record)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Freeze captures the present state and returns a function that encodes it
	// as Snapshot would. The function may be called later and on any goroutine.
	Freeze() func() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
	// Discard reports that the state is no longer used, so that the daemon
	// stops counting its memory.
	Discard()
}

// Leadership is the handle that the leader of a shard has for one epoch. Its
// methods are called on the shard's serial queue.
type Leadership interface {
	// Epoch returns the epoch of this leadership.
	Epoch() structs.Epoch
	// Queue returns the shard's serial queue, for callbacks of drivers.
	Queue() *serial.Queue
	// Propose appends records as one unit. done is called on the shard's queue:
	// with nil after all of them were applied and acknowledged by every
	// reachable member; with ErrLost when this daemon stopped leading first, in
	// which case a successor may still commit them.
	Propose(records []structs.Record, done func(error))
	// Confirm asks a majority whether this epoch is still the latest. A leader
	// that may have been paused calls it before it acts on its state. done gets
	// nil or ErrLost.
	Confirm(done func(error))
	// Pressure returns the highest memory pressure among this daemon and the
	// other members of the group, as they last reported it.
	Pressure() Pressure
}

// Application is the service that runs on the shards. All methods are called on
// the shard's serial queue.
type Application interface {
	// NewStateMachine returns an empty state machine for a shard.
	NewStateMachine(shard structs.ShardNumber) StateMachine
	// Lead is called once this daemon leads the shard and has applied every
	// record of former epochs.
	Lead(shard structs.ShardNumber, machine StateMachine, leadership Leadership)
	// Follow is called when this daemon no longer leads the shard.
	Follow(shard structs.ShardNumber)
	// Pressure returns how full this daemon's memory is. It is safe for
	// concurrent use.
	Pressure() Pressure
}

// Route is the leader of a shard, as far as this daemon knows it.
type Route struct {
	Leader structs.DaemonID
	// Epoch is the epoch in which the leader was known; 0 when nothing is
	// known.
	Epoch structs.Epoch
	// NoMajority is set when the group is known to have lost its majority.
	NoMajority bool
}

// Errors of this package.
var (
	// ErrLost is returned when leadership was lost; the records may or may not
	// be committed.
	ErrLost = eris.New("replication: leadership lost")
	// ErrNotLeader is returned when this daemon does not lead the shard;
	// nothing was done.
	ErrNotLeader = eris.New("replication: not the leader")
)
