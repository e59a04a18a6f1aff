// Package dispatch carries calls from acceptance to outcome at the leader of
// each shard. It keeps the order of a program's calls, records every intent
// before it takes effect, sends calls to back ends, retries and resumes them,
// and finds out what became of calls that a former leader sent.
package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/peer"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Scheduler chooses engines for model calls. It is called from shard queues and
// must not call back synchronously.
type Scheduler interface {
	// Enqueue takes an item; its Assign or Refuse is called later, once.
	Enqueue(item *schedule.Item)
	// NewProgramRefusal returns the refusal that the first call of a tenant's
	// next program would get now, and false when there is room.
	NewProgramRefusal(tenant structs.TenantName) (structs.Outcome, bool)
	// Remove removes an item that was neither assigned nor refused, and
	// reports whether it did.
	Remove(item *schedule.Item) bool
	// Finished returns the slot of an assignment.
	Finished(assignment schedule.Assignment, result schedule.Result)
	// RecordTransfer reports the duration of a cache transfer.
	RecordTransfer(tokens int64, took time.Duration)
	// ProgramEnded reports that a program makes no more calls.
	ProgramEnded(key structs.ProgramKey)
}

// Configurations provides the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// Directory finds back ends and collects reports of their state.
type Directory interface {
	// Application returns a back end for a target that is not in avoid, and
	// whether there is one.
	Application(target string, avoid []structs.EngineID) (structs.EngineID, bool)
	// IsDelisted reports whether a back end has left the fleet for good.
	IsDelisted(backEnd structs.EngineID) bool
	// MarkDraining records that a back end reported that it is draining.
	MarkDraining(backEnd structs.EngineID)
	// MarkUnreachable records that a connection to a back end broke.
	MarkUnreachable(backEnd structs.EngineID)
}

// Router provides the shard of a program and the route to its leader.
type Router interface {
	Shard(key structs.ProgramKey) structs.ShardNumber
	Route(shard structs.ShardNumber) replication.Route
}

// Settings bounds waiting and retrying. All durations are positive.
type Settings struct {
	// Retention is how long an ended program is kept.
	Retention time.Duration
	// SequenceWait is how long a call waits for calls with lower sequence
	// numbers.
	SequenceWait time.Duration
	// ConfirmAfter is the age of an intent beyond which the leadership is
	// confirmed before the call is sent.
	ConfirmAfter time.Duration
	// InspectInterval is the first interval between inspections of a back end
	// whose answer was lost; it doubles up to InspectMaximum.
	InspectInterval time.Duration
	InspectMaximum  time.Duration
	// RerunAfter is how long an unreachable back end is inspected before a
	// repeatable call is run elsewhere.
	RerunAfter time.Duration
	// UnknownAfter is how long a back end is inspected before the caller is
	// told that the outcome is unknown for now.
	UnknownAfter time.Duration
	// StallAfter is how long a back end may make no progress.
	StallAfter time.Duration
	// GiveUpAfter is how long a back end is inspected before the outcome is
	// recorded as unknown.
	GiveUpAfter time.Duration
	// MaximumAttempts bounds the attempts of one call.
	MaximumAttempts int
	// RetryFraction and RetryBurst bound retries to a fraction of first
	// attempts.
	RetryFraction float64
	RetryBurst    float64
	// ExpireInterval is the interval between checks for expired programs and
	// calls.
	ExpireInterval time.Duration
	// DetachGrace is how long a call continues without any caller attached.
	DetachGrace time.Duration
	// ReleaseInterval is the interval between attempts to release a hold.
	ReleaseInterval time.Duration
	// DefaultHoldTime bounds holds when the template does not.
	DefaultHoldTime time.Duration
}

// DefaultSettings returns settings for the fleet sizes of docs/CAPACITY.md.
func DefaultSettings() Settings {
	return Settings{
		Retention:       10 * time.Minute,
		SequenceWait:    10 * time.Second,
		ConfirmAfter:    500 * time.Millisecond,
		InspectInterval: 200 * time.Millisecond,
		InspectMaximum:  5 * time.Second,
		RerunAfter:      2 * time.Second,
		UnknownAfter:    10 * time.Second,
		StallAfter:      30 * time.Second,
		GiveUpAfter:     5 * time.Minute,
		MaximumAttempts: 5,
		RetryFraction:   0.1,
		RetryBurst:      20,
		ExpireInterval:  time.Second,
		DetachGrace:     30 * time.Second,
		ReleaseInterval: time.Second,
		DefaultHoldTime: 30 * time.Second,
	}
}

// Options configures a Coordinator.
type Options struct {
	Self           structs.DaemonID
	Clock          clock.Clock
	Transport      peer.Transport
	Drivers        framework.Drivers
	Scheduler      Scheduler
	Configurations Configurations
	Directory      Directory
	Router         Router
	Settings       Settings
	// Memory accounts for the memory of this daemon's programs; nil means the
	// default limits.
	Memory *program.Memory
	Logger zerolog.Logger
	// Guards is the zero value in production.
	Guards Guards
}

// Guards lets a simulation disable a safeguard, to show that its checker
// detects the consequences. The zero value has every guard on.
type Guards struct {
	// SkipOrder sends calls of a program without waiting for the previous one.
	SkipOrder bool
	// SkipIntent sends before the intent is acknowledged.
	SkipIntent bool
	// SkipBudget ignores budgets and tenants' spending quotas.
	SkipBudget bool
	// SkipRelease never releases holds.
	SkipRelease bool
	// SkipInspect reruns a call without inspecting its attempt.
	SkipInspect bool
	// SkipRecovery treats a shard that lost all its replicas as one that lost
	// nothing.
	SkipRecovery bool
	// SkipRunCheck reports not_run for calls that may have run.
	SkipRunCheck bool
	// SkipKnown forgets which request identifiers were used.
	SkipKnown bool
	// SkipResume resumes streams from the beginning instead of where the caller
	// left off.
	SkipResume bool
	// SkipHistory records finished calls without their answer.
	SkipHistory bool
	// SkipIsolation sends a call with another program's history.
	SkipIsolation bool
}

// Coordinator runs the shards that this daemon leads. It implements
// replication.Application.
type Coordinator struct {
	Options
	retries *retryBudget

	leaders replication.LeaderTable[leader]
}

// New returns a coordinator without shards.
func New(options Options) *Coordinator {
	if options.Memory == nil {
		options.Memory = program.NewMemory(program.DefaultMemoryLimits())
	}
	return &Coordinator{
		Options: options,
		retries: newRetryBudget(options.Settings.RetryFraction, options.Settings.RetryBurst),
	}
}

// NewStateMachine implements replication.Application.
func (c *Coordinator) NewStateMachine(structs.ShardNumber) replication.StateMachine {
	return program.NewShardWithMemory(c.Memory)
}

// Lead implements replication.Application.
func (c *Coordinator) Lead(shard structs.ShardNumber, machine replication.StateMachine, leadership replication.Leadership) {
	l := newLeader(c, shard, machine.(*program.Shard), leadership)
	if previous := c.leaders.Put(shard, l); previous != nil {
		previous.stop()
	}
	l.start()
}

// Follow implements replication.Application.
func (c *Coordinator) Follow(shard structs.ShardNumber) {
	if l := c.leaders.Take(shard); l != nil {
		l.stop()
	}
}

// leader returns this daemon's leader of a shard, or nil.
func (c *Coordinator) leader(shard structs.ShardNumber) *leader {
	return c.leaders.Get(shard)
}

// Receive handles a message of this package, and reports whether it is one.
func (c *Coordinator) Receive(from structs.DaemonID, message peer.Message) bool {
	switch m := message.(type) {
	case *Submit:
		c.receiveSubmit(from, m)
	case *Attach:
		c.receiveAttach(from, m)
	case *Detach:
		if l := c.leader(c.Router.Shard(m.Key)); l != nil {
			l.queue.Do(func() { l.detach(from, m) })
		}
	case *QuotaRequest:
		if l := c.leader(c.Router.Shard(quotaHomeKey(m.Ask.Quota.Tenant))); l != nil {
			l.queue.Do(func() { l.handleQuotaRequest(from, m.Ask) })
		}
	case *QuotaAnswer:
		if l := c.leader(m.Shard); l != nil {
			l.queue.Do(func() { l.handleQuotaAnswer(m) })
		}
	case *HoldSeen:
		if l := c.leader(c.Router.Shard(m.Hold.Program)); l != nil {
			l.queue.Do(func() { l.checkHold(m.Hold) })
		}
	default:
		return c.receiveQuery(from, message)
	}
	return true
}

func (c *Coordinator) receiveSubmit(from structs.DaemonID, submit *Submit) {
	c.withLeader(from, submit.Submission, submit.Call.Key, submit.Epoch, func(l *leader) { l.submit(from, submit) })
}

func (c *Coordinator) receiveAttach(from structs.DaemonID, attach *Attach) {
	c.withLeader(from, attach.Submission, attach.Key, attach.Epoch, func(l *leader) { l.reattach(from, attach) })
}

// withLeader runs task on the shard's queue if this daemon leads the shard in
// the epoch that the sender expects, and redirects the sender otherwise.
func (c *Coordinator) withLeader(from structs.DaemonID, submission SubmissionID, key structs.ProgramKey, epoch structs.Epoch, task func(*leader)) {
	shard := c.Router.Shard(key)
	l := c.leader(shard)
	if l == nil {
		c.redirect(from, submission, c.Router.Route(shard))
		return
	}
	l.queue.Do(func() {
		if l.stopped {
			c.redirect(from, submission, c.Router.Route(shard))
			return
		}
		if epoch != l.leadership.Epoch() {
			c.redirect(from, submission, replication.Route{Leader: c.Self, Epoch: l.leadership.Epoch()})
			return
		}
		task(l)
	})
}

func (c *Coordinator) redirect(to structs.DaemonID, submission SubmissionID, route replication.Route) {
	c.Transport.Send(to, &Redirected{Submission: submission, Route: route})
}
