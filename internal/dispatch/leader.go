package dispatch

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/clock"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/replication"
	"github.com/mintpulley/mintpulley/internal/serial"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// callKey identifies a call within a shard.
type callKey struct {
	program structs.ProgramKey
	request structs.RequestID
}

// leader leads one shard in one epoch. All of its state is accessed on the
// shard's queue, which takes the place of a lock.
type leader struct {
	*Coordinator
	shard      structs.ShardNumber
	machine    *program.Shard
	leadership replication.Leadership
	queue      *serial.Queue
	stopped    bool

	calls map[callKey]*activeCall
	// proposed holds calls whose acceptance is being recorded, in order.
	proposed map[structs.ProgramKey][]structs.Call
	// outOfOrder holds submissions that arrived before lower sequence numbers.
	outOfOrder map[structs.ProgramKey][]*outOfOrderSubmit
	// unconfigured counts how often a submission waited for a configuration.
	unconfigured map[attachment]int
	// ending holds programs whose end is being recorded.
	ending map[structs.ProgramKey]bool
	// endWaiters holds the daemons that wait for the end of a program.
	endWaiters map[structs.ProgramKey][]endWaiter
	releases   map[structs.HoldID]*release
	// holdFor is how long the scheduler decided to keep holds over a pause.
	holdFor  map[structs.HoldID]time.Duration
	refusals *refusalCache
	quotas   *quotaState
	// blocks holds the prompt hashes of live programs.
	blocks     map[structs.ProgramKey]*promptBlocks
	dispatches *dispatchNumbers
	decisions  *decisionLog
	expire     clock.Timer
}

func newLeader(c *Coordinator, shard structs.ShardNumber, machine *program.Shard, leadership replication.Leadership) *leader {
	return &leader{
		Coordinator:  c,
		shard:        shard,
		machine:      machine,
		leadership:   leadership,
		queue:        leadership.Queue(),
		calls:        map[callKey]*activeCall{},
		proposed:     map[structs.ProgramKey][]structs.Call{},
		outOfOrder:   map[structs.ProgramKey][]*outOfOrderSubmit{},
		unconfigured: map[attachment]int{},
		ending:       map[structs.ProgramKey]bool{},
		endWaiters:   map[structs.ProgramKey][]endWaiter{},
		releases:     map[structs.HoldID]*release{},
		holdFor:      map[structs.HoldID]time.Duration{},
		refusals:     newRefusalCache(),
		quotas:       newQuotaState(),
		blocks:       map[structs.ProgramKey]*promptBlocks{},
		dispatches:   newDispatchNumbers(),
		decisions:    newDecisionLog(),
	}
}

// start continues the calls that the former leader left without an outcome,
// dispatched ones after an inspection of their back end.
func (l *leader) start() {
	for _, p := range l.machine.Programs() {
		for _, open := range p.Open {
			active := l.newActiveCall(p.Key, &open.Call)
			if open.Stage == program.StageDispatched {
				active.text.WriteString(open.AnswerPrefix)
				active.stage = stageInspecting
				l.recordStep(p.Key, open.Call.RequestID, "takeover", "A former leader sent this call; its back end is inspected.")
				l.inspect(active)
			}
		}
		l.advance(p.Key)
		l.releaseStaleHolds(p)
	}
	l.scheduleExpiry()
}

// stop drops all work in memory without contacting back ends: the successor
// will inspect them. Daemons that follow calls notice the silence and look up
// the new route.
func (l *leader) stop() {
	if l.stopped {
		return
	}
	l.stopped = true
	if l.expire != nil {
		l.expire.Stop()
	}
	for _, active := range l.sortedCalls() {
		active.abandon()
	}
	for _, waiting := range l.sortedOutOfOrder() {
		waiting.timer.Stop()
	}
}

// after runs task on the shard's queue unless the leadership has ended.
func (l *leader) after(d time.Duration, task func()) clock.Timer {
	return l.Clock.AfterFunc(d, func() { l.post(task) })
}

// post runs task on the shard's queue unless the leadership has ended.
func (l *leader) post(task func()) {
	l.queue.Do(func() {
		if !l.stopped {
			task()
		}
	})
}

// propose proposes records, and runs done once they are committed. When the
// leadership is lost, done is not called: the successor decides.
func (l *leader) propose(records []structs.Record, done func()) {
	l.leadership.Propose(records, func(err error) {
		if l.stopped {
			return
		}
		if err != nil {
			l.Logger.Debug().Uint32("shard", uint32(l.shard)).Err(err).Msg("Proposal lost.")
			return
		}
		done()
	})
}

func (l *leader) scheduleExpiry() {
	l.expire = l.after(l.Settings.ExpireInterval, func() {
		l.expirePrograms()
		l.enforceTimeouts()
		l.returnProgramSlots()
		l.scheduleExpiry()
	})
}

// expirePrograms ends expired programs and removes ended ones after Retention.
func (l *leader) expirePrograms() {
	now := l.Clock.Now()
	for _, record := range l.machine.Expired(now, l.Settings.Retention) {
		switch {
		case record.ProgramEnded != nil:
			l.endProgram(record.ProgramEnded.Key, record.ProgramEnded.Reason)
		case record.ProgramRemoved != nil:
			l.removeProgram(record)
		}
	}
	for _, p := range l.machine.Programs() {
		l.releaseStaleHolds(p)
	}
}

func (l *leader) removeProgram(record structs.Record) {
	key := record.ProgramRemoved.Key
	if l.ending[key] {
		return
	}
	l.ending[key] = true
	l.propose([]structs.Record{record}, func() {
		delete(l.ending, key)
		l.decisions.forget(key)
	})
}

// endProgram records a program's end and handles its consequences.
func (l *leader) endProgram(key structs.ProgramKey, reason structs.Reason) {
	if l.ending[key] {
		return
	}
	l.ending[key] = true
	l.recordStep(key, "", "end", string(reason))
	l.propose([]structs.Record{program.EndRecord(key, reason, l.Clock.Now())}, func() {
		delete(l.ending, key)
		l.programEnded(key)
	})
}

// programEnded settles or cancels the open calls of an ended program and its
// descendants, and releases their holds.
func (l *leader) programEnded(key structs.ProgramKey) {
	for _, active := range l.sortedCalls() {
		p := l.machine.Program(active.key)
		if p == nil || !p.Ended {
			continue
		}
		if outcome, settled := p.Outcome(active.call.RequestID); settled {
			l.finish(active, outcome)
			continue
		}
		l.cancelCall(active)
	}
	for _, p := range l.machine.Family(key) {
		if p.Ended {
			delete(l.blocks, p.Key)
			l.dispatches.forget(p.Key)
			l.Scheduler.ProgramEnded(p.Key)
			l.releaseStaleHolds(p)
			l.answerEndWaiters(p)
		}
	}
}
