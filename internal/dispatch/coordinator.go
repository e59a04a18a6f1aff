// Package dispatch carries calls from their acceptance to their outcome at
// the leader of each shard: it keeps the order of a program's calls, records
// every intent before its effect, sends calls to back ends, retries and
// resumes them, and finds out what became of calls that a former leader sent.
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

// Scheduler chooses engines for model calls. It is called from shard queues
// and must not call back synchronously.
type Scheduler interface {
	// Enqueue takes an item; its Assign or Refuse is called later, once.
	Enqueue(item *schedule.Item)
	// NewProgramRefusal returns the refusal that the first call of a tenant's next
	// program would meet now; false when there is room.
	NewProgramRefusal(tenant structs.TenantName) (structs.Outcome, bool)
	// Remove takes back an item that was neither assigned nor refused. It
	// returns false when that was too late.
	Remove(item *schedule.Item) bool
	// Finished hands an assignment back.
	Finished(assignment schedule.Assignment, result schedule.Result)
	// RecordTransfer teaches how long it took to move some tokens of cache.
	RecordTransfer(tokens int64, took time.Duration)
	// ProgramEnded tells that no call of a program follows.
	ProgramEnded(key structs.ProgramKey)
}

// Configurations gives the configuration in force, nil before the first.
type Configurations interface {
	Current() *structs.Configuration
}

// Directory finds back ends that take new work.
type Directory interface {
	// Application returns a back end for a target, and its run (0: unknown).
	Application(target string, avoid []structs.EngineID) (structs.EngineID, bool)
	// IsDelisted reports whether a back end has left the fleet for good.
	IsDelisted(backEnd structs.EngineID) bool
	// MarkDraining records a back end's own word that it is leaving.
	MarkDraining(backEnd structs.EngineID)
	// MarkUnreachable records that a connection to a back end broke.
	MarkUnreachable(backEnd structs.EngineID)
}

// Router tells where shards are led.
type Router interface {
	Shard(key structs.ProgramKey) structs.ShardNumber
	Route(shard structs.ShardNumber) replication.Route
}

// Settings bound waiting and retrying. All durations are positive.
type Settings struct {
	// Retention is how long an ended program is remembered.
	Retention time.Duration
	// SequenceWait is how long a call waits for lower sequence numbers.
	SequenceWait time.Duration
	// ConfirmAfter is the age of an intent beyond which the epoch is checked
	// again before sending.
	ConfirmAfter time.Duration
	// InspectInterval is the first pause between inspections of a back end
	// whose answer was lost; it doubles up to InspectMaximum.
	InspectInterval time.Duration
	InspectMaximum  time.Duration
	// RerunAfter is how long an unreachable back end is asked before a
	// repeatable call is run elsewhere.
	RerunAfter time.Duration
	// UnknownAfter is when a caller is told that the outcome is unknown.
	UnknownAfter time.Duration
	// StallAfter is how long a back end may show no progress.
	StallAfter time.Duration
	// GiveUpAfter is when an outcome is recorded as unknown.
	GiveUpAfter time.Duration
	// MaximumAttempts bounds the attempts of one call.
	MaximumAttempts int
	// RetryFraction and RetryBurst bound retries to a share of dispatches.
	RetryFraction float64
	RetryBurst    float64
	// ExpireInterval is the pause between looks for expired programs.
	ExpireInterval time.Duration
	// DetachGrace is how long a call without any caller goes on.
	DetachGrace time.Duration
	// ReleaseInterval is the pause between tries to release a hold.
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

// Options gives a Coordinator what it works with.
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
	// Memory counts what the programs of this daemon take; nil has the defaults.
	Memory *program.Memory
	Logger zerolog.Logger
	// Guards are all on in production; see Guards.
	Guards Guards
}

// Guards lets a simulation switch off one protection at a time, to show that
// its checker notices. The zero value has every guard on.
type Guards struct {
	// SkipOrder sends calls of a program without waiting for the former one.
	SkipOrder bool
	// SkipIntent sends before the intent is acknowledged.
	SkipIntent bool
	// SkipBudget reserves nothing.
	SkipBudget bool
	// SkipRelease never releases holds.
	SkipRelease bool
	// SkipInspect runs a call again without asking what became of it.
	SkipInspect bool
	// SkipRecovery takes a shard that lost all its holders for one that lost
	// nothing.
	SkipRecovery bool
	// SkipRunCheck refuses as not run what may have been run.
	SkipRunCheck bool
	// SkipKnown forgets which request identifiers were used.
	SkipKnown bool
	// SkipResume restarts broken streams at the wrong place.
	SkipResume bool
	// SkipHistory loses a finished call's messages.
	SkipHistory bool
	// SkipIsolation sends a call behind another program's history.
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
	if former := c.leaders.Put(shard, l); former != nil {
		former.stop()
	}
	l.start()
}

// Follow implements replication.Application.
func (c *Coordinator) Follow(shard structs.ShardNumber) {
	if l := c.leaders.Take(shard); l != nil {
		l.stop()
	}
}

// leader returns the leader of a shard here, or nil.
func (c *Coordinator) leader(shard structs.ShardNumber) *leader {
	return c.leaders.Get(shard)
}

// Receive handles a message of this package. It returns false for others.
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
// the epoch that the sender believes in, and redirects the sender otherwise.
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
