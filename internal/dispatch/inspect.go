package dispatch

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// inspect asks the back end of a recorded attempt for its status. The request
// carries this leader's epoch, so that back ends with fences refuse the attempt
// if a former leader still sends it later.
func (l *leader) inspect(active *activeCall) {
	open := l.openCall(active)
	if open == nil {
		return
	}
	if active.stage != stageInspecting || active.inspectingSince.IsZero() {
		active.inspectingSince = l.Clock.Now()
		active.inspectDelay = l.Settings.InspectInterval
	}
	active.stage = stageInspecting
	active.mayHaveRun = true
	active.generation++
	if l.Guards.SkipInspect {
		l.rerun(active, "The back end was not inspected.")
		return
	}
	generation := active.generation
	done := func(status framework.AttemptStatus, err error) {
		l.post(func() {
			if active.generation == generation {
				l.inspected(active, status, err)
			}
		})
	}
	attempt := structs.NewAttemptID(active.key, active.call.RequestID)
	epoch := l.fenceOf(active, open.Attempt+1)
	if active.call.Kind == structs.CallModel {
		l.Drivers.Engines.Inspect(open.BackEnd, attempt, epoch, done)
		return
	}
	l.Drivers.Applications.Inspect(open.BackEnd, attempt, epoch, done)
}

func (l *leader) inspected(active *activeCall, status framework.AttemptStatus, err error) {
	open := l.openCall(active)
	switch {
	case open == nil:
		return
	case err != nil:
		l.backEndUnreachable(active, open)
	case status.State == framework.AttemptAbsent:
		l.attemptAbsent(active, open, status)
	case active.call.Kind == structs.CallModel:
		l.resume(active, open)
	case status.State == framework.AttemptDone:
		active.inspectingSince = time.Time{}
		l.settle(active, l.completed(active, framework.AttemptEnd{Body: status.Body, BodyStatus: status.BodyStatus}))
	default:
		l.inspectAgain(active)
	}
}

// resume reads the stream of an attempt that the engine knows.
func (l *leader) resume(active *activeCall, open *program.CallState) {
	p := l.machine.Program(active.key)
	l.recordStep(active.key, active.call.RequestID, "resume", fmt.Sprintf("Engine %s has the attempt; its stream is resumed at byte %d.", open.BackEnd, active.text.Len()))
	active.inspectingSince = time.Time{}
	active.stage = stageRunning
	active.generation++
	active.startedAt = l.Clock.Now()
	active.lastProgressAt = active.startedAt
	request := framework.EngineRequest{
		Engine:     open.BackEnd,
		Attempt:    structs.NewAttemptID(active.key, active.call.RequestID),
		Epoch:      l.fenceOf(active, open.Attempt+1),
		Model:      active.call.Model,
		Adapter:    active.call.Adapter,
		Messages:   p.Prompt(active.call),
		Parameters: active.call.Parameters,
		ResumeAt:   int64(active.text.Len()),
		ResumeOnly: true,
		Program:    active.key,
		Deadline:   active.call.Deadline,
	}
	active.stream = l.Drivers.Engines.Start(request, &observer{active: active, generation: active.generation})
	if active.cancelled || p.Ended {
		l.cancelAtEngine(active)
	}
}

// attemptAbsent handles a back end that does not know the attempt. That
// disproves the attempt only if the back end has not restarted since and will
// refuse the attempt from now on. Otherwise it may have run, or a paused leader
// may still send it.
func (l *leader) attemptAbsent(active *activeCall, open *program.CallState, status framework.AttemptStatus) {
	sameRun := status.StartedUnixNano == 0 || (open.BackEndRun != 0 && status.StartedUnixNano == open.BackEndRun)
	if sameRun && status.Fenced {
		l.disprove(active)
		l.rerun(active, "The back end never received the attempt.")
		return
	}
	if active.call.Kind == structs.CallModel || active.call.Repeatable {
		l.rerun(active, "The back end does not know the attempt.")
		return
	}
	l.inspectAgain(active)
}

// backEndUnreachable handles a back end that does not answer.
func (l *leader) backEndUnreachable(active *activeCall, open *program.CallState) {
	waited := l.Clock.Now().Sub(active.inspectingSince)
	mayRepeat := active.call.Kind == structs.CallModel || active.call.Repeatable
	if mayRepeat && (waited >= l.Settings.RerunAfter || l.Directory.IsDelisted(open.BackEnd)) {
		l.rerun(active, "The back end does not answer.")
		return
	}
	l.inspectAgain(active)
}

// inspectAgain schedules the next inspection. Callers are told after
// UnknownAfter that the outcome is unknown for now; after GiveUpAfter that is
// recorded. The program's next call waits until then.
func (l *leader) inspectAgain(active *activeCall) {
	waited := l.Clock.Now().Sub(active.inspectingSince)
	if waited >= l.Settings.GiveUpAfter {
		l.settle(active, unknownOutcome())
		return
	}
	if active.call.Repeatable && waited >= l.Settings.StallAfter {
		l.settle(active, stalledOutcome())
		return
	}
	if waited >= l.Settings.UnknownAfter && !active.reportedUnknown {
		active.reportedUnknown = true
		for _, follower := range active.attachments {
			l.sendUnknown(follower, active)
		}
	}
	pause := active.inspectDelay
	active.inspectDelay = min(2*pause, l.Settings.InspectMaximum)
	generation := active.generation
	l.after(pause, func() {
		if active.generation == generation {
			l.inspect(active)
		}
	})
}

func unknownOutcome() structs.Outcome {
	return structs.Outcome{
		Status:  structs.OutcomeUnknown,
		Reason:  structs.ReasonConnectionLost,
		Message: "The back end may or may not have run the call. Ask again with the same request identifier.",
	}
}

// stalledOutcome settles a repeatable call whose back end hangs: the caller may
// safely send it again.
func stalledOutcome() structs.Outcome {
	return structs.Outcome{
		Status:  structs.OutcomeFailed,
		Reason:  structs.ReasonStalled,
		Message: "The back end has not answered. The call may be repeated under a new request identifier.",
	}
}

func (l *leader) sendUnknown(follower attachment, _ *activeCall) {
	l.Transport.Send(follower.daemon, &Settled{Submission: follower.submission, Outcome: unknownOutcome(), Provisional: true})
}

// rerun dispatches the call again after its attempt was lost or disproved.
func (l *leader) rerun(active *activeCall, why string) {
	active.inspectingSince = time.Time{}
	l.recordStep(active.key, active.call.RequestID, "rerun", why)
	active.leaveScheduler(schedule.Result{Failed: true})
	if open := l.openCall(active); open != nil {
		active.avoid = append(active.avoid, open.BackEnd)
	}
	l.retry(active, retryAfterOverload)
}
