package dispatch

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// newHoldID names the hold that a dispatch may take, "" for none: for the cache
// held over the following pause, or for the cache that a transfer brings. It is
// recorded with the intent, before anything is held.
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

// transferCache transfers the program's cache to the call's engine if the
// scheduler decided so, and reports whether it did; done is called afterwards.
// A failed or slow transfer costs only time: the engine computes the rest.
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

// cacheTransferred records a transfer and releases the sender's holds on the
// transferred cache.
func (l *leader) cacheTransferred(active *activeCall, transfer framework.Transfer, tokens int64, took time.Duration, err error) {
	if err != nil {
		l.recordStep(active.key, active.call.RequestID, "move", fmt.Sprintf("The cache transfer from %s failed: %v", transfer.From, err))
		return
	}
	planned := active.assignment.Transfer
	l.Scheduler.RecordTransfer(min(tokens, planned.Tokens), took)
	l.recordStep(active.key, active.call.RequestID, "move", fmt.Sprintf(
		"The engine has %d tokens of the cache; a transfer of %d from %s was expected to take %.3f s and took %.3f s.",
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
