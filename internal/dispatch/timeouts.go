package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// enforceTimeouts stops calls whose deadline has passed and moves calls away
// from engines that make no progress.
func (l *leader) enforceTimeouts() {
	for _, active := range l.sortedCalls() {
		switch {
		case l.pastDeadline(active):
			l.deadlinePassed(active)
		case l.stalled(active):
			l.recordStep(active.key, active.call.RequestID, "stalled", "The engine makes no progress; the call moves to another one.")
			l.abandonAttempt(active)
			l.rerun(active, "The engine stalled.")
		}
	}
}

func (l *leader) deadlinePassed(active *activeCall) {
	switch active.stage {
	case stageWaiting, stageQueued, stageWaitingForQuota:
		active.leaveScheduler(schedule.Result{})
		l.settle(active, l.amendIfMayHaveRun(active,
			structs.Refused(structs.ReasonDeadline, "", "The deadline passed before the call was sent.", 0)))
	case stageRunning:
		l.cancelCall(active)
	case stageProposed, stageRecording, stageInspecting, stageSettling, stageFinished:
		// These steps end by themselves and check the deadline then.
	}
}

func (l *leader) stalled(active *activeCall) bool {
	if active.stage != stageRunning || active.call.Kind != structs.CallModel {
		return false
	}
	return l.Clock.Now().Sub(active.lastProgressAt) >= l.Settings.StallAfter
}

// abandonAttempt stops listening to an attempt and asks its engine to cancel
// it, without waiting for the answer. The cost stays reserved.
func (l *leader) abandonAttempt(active *activeCall) {
	active.generation++
	if active.stream != nil {
		active.stream.Detach()
		active.stream = nil
	}
	if open := l.openCall(active); open != nil {
		attempt := structs.NewAttemptID(active.key, active.call.RequestID)
		l.Drivers.Engines.Cancel(open.BackEnd, attempt, func(error) {})
	}
}
