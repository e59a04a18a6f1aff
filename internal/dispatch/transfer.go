package dispatch

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// holdOf names the engine memory that a dispatch may take, "" for none: what is
// kept over the pause that follows, and what a transfer brings before it. The
// name is recorded with the intent, before anything is taken.
func (l *leader) newHoldID(active *activeCall, assignment *schedule.Assignment) structs.HoldID {
	keeps := assignment.Hold && !active.call.EndProgram
	if !keeps && assignment.Transfer.From == "" {
		return ""
	}
	hold := structs.HoldID(fmt.Sprintf("%s#%d", structs.NewAttemptID(active.key, active.call.RequestID), l.nextAttempt(active)))
	switch {
	case !keeps:
		l.holdFor[hold] = 0
	case assignment.HoldFor > 0:
		l.holdFor[hold] = assignment.HoldFor
	}
	return hold
}

// moveCache has the program's cache copied to the engine that the call goes to,
// if the scheduler chose so, and returns whether it did; done follows then. A
// transfer that fails or takes too long costs only the time: the engine
// computes what did not come.
func (l *leader) transferCache(active *activeCall, plan intent, done func()) bool {
	assignment := active.assignment
	if assignment == nil || assignment.Transfer.From == "" || active.cancelled || active.transferRequested {
		return false
	}
	active.transferRequested = true
	began := l.Clock.Now()
	transfer := framework.Transfer{From: assignment.Transfer.From, To: plan.backEnd, Program: active.key, Hold: plan.hold}
	l.Drivers.Engines.Transfer(transfer, func(tokens int64, err error) {
		l.post(func() {
			if active.stage != stageRecording || active.assignment != assignment {
				return
			}
			l.cacheTransferred(active, transfer, tokens, l.Clock.Now().Sub(began), err)
			done()
		})
	})
	return true
}

// cacheMoved frees what the sender holds of a cache that is now elsewhere.
func (l *leader) cacheTransferred(active *activeCall, transfer framework.Transfer, tokens int64, took time.Duration, err error) {
	if err != nil {
		l.recordStep(active.key, active.call.RequestID, "move", fmt.Sprintf("The cache did not come from %s: %v", transfer.From, err))
		return
	}
	planned := active.assignment.Transfer
	l.Scheduler.RecordTransfer(min(tokens, planned.Tokens), took)
	l.recordStep(active.key, active.call.RequestID, "move", fmt.Sprintf(
		"The engine has %d tokens of the cache now; %d of them were to come from %s in %.3f s, and did in %.3f s.",
		tokens, planned.Tokens, transfer.From, planned.Seconds, took.Seconds()))
	p := l.machine.Program(active.key)
	if p == nil || l.Guards.SkipRelease {
		return
	}
	for _, hold := range sortedHolds(p) {
		if hold.Engine == transfer.From && hold.ID != transfer.Hold {
			l.release(hold)
		}
	}
}
