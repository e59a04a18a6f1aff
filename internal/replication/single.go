package replication

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// ShardOf returns the shard of a program, out of a fixed number of shards. A
// program and all its sub-agents share one.
func ShardOf(key structs.ProgramKey, shards int) structs.ShardNumber {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(key.Tenant))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(key.Program.Root()))
	return structs.ShardNumber(digest.Sum64() % uint64(shards))
}

// Single leads every shard with a single replica, in the memory of this
// process. It serves the tests of applications.
type Single struct {
	shards int
	leader structs.DaemonID
}

// singleEpoch is the only epoch of a Single.
const singleEpoch structs.Epoch = 1

// NewSingle returns a Single that leads all shards for an application.
func NewSingle(self structs.DaemonID, shards int, application Application) *Single {
	s := &Single{shards: shards, leader: self}
	for shard := range structs.ShardNumber(shards) {
		machine := application.NewStateMachine(shard)
		leadership := &singleLeadership{machine: machine, application: application}
		leadership.queue.Do(func() { application.Lead(shard, machine, leadership) })
	}
	return s
}

// Shard returns a program's shard.
func (s *Single) Shard(key structs.ProgramKey) structs.ShardNumber { return ShardOf(key, s.shards) }

// Route returns this process for every shard.
func (s *Single) Route(structs.ShardNumber) Route {
	return Route{Leader: s.leader, Epoch: singleEpoch}
}

// Learn ignores routes, since they never change.
func (s *Single) Learn(structs.ShardNumber, Route) {}

// Alive reports whether daemon is this process.
func (s *Single) Alive(daemon structs.DaemonID) bool { return daemon == s.leader }

type singleLeadership struct {
	queue       serial.Queue
	machine     StateMachine
	application Application
}

func (l *singleLeadership) Epoch() structs.Epoch { return singleEpoch }

func (l *singleLeadership) Queue() *serial.Queue { return &l.queue }

func (l *singleLeadership) Propose(records []structs.Record, done func(error)) {
	for _, record := range records {
		l.machine.Apply(record)
	}
	l.queue.Do(func() { done(nil) })
}

func (l *singleLeadership) Pressure() Pressure { return l.application.Pressure() }

func (l *singleLeadership) Confirm(done func(error)) {
	l.queue.Do(func() { done(nil) })
}
