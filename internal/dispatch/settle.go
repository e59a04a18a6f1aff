package dispatch

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// retryAfterOverload is the retry delay of a call that no back end took.
const retryAfterOverload = time.Second

// attemptEnded handles the end of an attempt.
func (l *leader) attemptEnded(active *activeCall, end framework.AttemptEnd) {
	if end.Draining {
		if open := l.openCall(active); open != nil {
			l.Directory.MarkDraining(open.BackEnd)
		}
	}
	switch end.Kind {
	case framework.EndCompleted:
		active.leaveScheduler(l.result(active, end))
		l.settle(active, l.completed(active, end))
	case framework.EndFailed:
		active.leaveScheduler(l.result(active, end))
		l.settle(active, l.failed(active, end))
	case framework.EndCancelled:
		active.leaveScheduler(l.result(active, end))
		l.settleCancelled(active)
	case framework.EndRejected:
		active.leaveScheduler(schedule.Result{Failed: true, Draining: end.Draining})
		l.rejected(active, end)
	case framework.EndLost:
		if open := l.openCall(active); open != nil {
			l.Directory.MarkUnreachable(open.BackEnd)
		}
		l.recordStep(active.key, active.call.RequestID, "lost", "The connection to the back end broke; the back end is inspected.")
		l.inspect(active)
	}
}

func (l *leader) result(active *activeCall, end framework.AttemptEnd) schedule.Result {
	now := l.Clock.Now()
	result := schedule.Result{
		Started:      true,
		Failed:       end.Kind == framework.EndFailed,
		ProgramEnded: active.call.EndProgram,
		Usage:        end.Usage,
		Duration:     now.Sub(active.startedAt),
	}
	if !active.firstChunkAt.IsZero() {
		result.TimeToFirstToken = active.firstChunkAt.Sub(active.startedAt)
	}
	return result
}

func (l *leader) completed(active *activeCall, end framework.AttemptEnd) structs.Outcome {
	outcome := structs.Outcome{
		Status:       structs.OutcomeCompleted,
		FinishReason: end.FinishReason,
		Usage:        end.Usage,
		Body:         end.Body,
		BodyStatus:   end.BodyStatus,
	}
	if active.call.Kind == structs.CallModel {
		outcome.Answer = structs.Message{Role: "assistant", Content: active.text.String(), ToolCalls: end.ToolCalls}
	}
	outcome.Cost = l.cost(active, end.Usage)
	return outcome
}

func (l *leader) failed(active *activeCall, end framework.AttemptEnd) structs.Outcome {
	reason := end.Reason
	if reason == "" {
		reason = structs.ReasonBackEnd
	}
	return structs.Outcome{
		Status:     structs.OutcomeFailed,
		Reason:     reason,
		Message:    end.Message,
		Usage:      end.Usage,
		Cost:       l.cost(active, end.Usage),
		Body:       end.Body,
		BodyStatus: end.BodyStatus,
	}
}

func (l *leader) cost(active *activeCall, usage structs.Usage) structs.Cost {
	open := l.openCall(active)
	if open == nil {
		return 0
	}
	return open.Price.Of(usage)
}

// rejected tries another back end: the attempt certainly did not run.
func (l *leader) rejected(active *activeCall, end framework.AttemptEnd) {
	open := l.openCall(active)
	if open == nil {
		return
	}
	l.recordStep(active.key, active.call.RequestID, "rejected", fmt.Sprintf("Back end %s: %s", open.BackEnd, end.Message))
	l.disprove(active)
	active.avoid = append(active.avoid, open.BackEnd)
	l.retry(active, max(end.RetryAfter, retryAfterOverload))
}

// disprove records that the recorded attempt did not run.
func (l *leader) disprove(active *activeCall) {
	active.disproved = true
	open := l.openCall(active)
	active.mayHaveRun = open != nil && open.LostReserved > 0
}

// retry dispatches a call again, within the bounds on retries.
func (l *leader) retry(active *activeCall, retryAfter time.Duration) {
	open := l.openCall(active)
	if open == nil {
		return
	}
	if active.cancelled || l.machine.Program(active.key).Ended {
		l.settleCancelled(active)
		return
	}
	allowed := open.Attempt < l.Settings.MaximumAttempts && !l.pastDeadline(active) && l.retries.retry()
	if !allowed {
		refusal := structs.Refused(structs.ReasonOverloaded, "", "No back end took the call.", retryAfter)
		l.settle(active, l.amendIfMayHaveRun(active, refusal))
		return
	}
	l.recordStep(active.key, active.call.RequestID, "retry", fmt.Sprintf("Attempt %d follows.", open.Attempt+1))
	active.stage = stageWaiting
	l.begin(l.machine.Program(active.key), active)
}

// settle records an outcome, and ends the program if the call requested it.
func (l *leader) settle(active *activeCall, outcome structs.Outcome) {
	active.stage = stageSettling
	active.generation++
	active.leaveScheduler(schedule.Result{})
	l.recordRefusedDispatches(active, outcome)
	now := l.Clock.Now()
	recorded := outcome
	if l.Guards.SkipHistory {
		recorded.Answer.Content = ""
	}
	records := []structs.Record{{At: now, CallSettled: &structs.CallSettled{
		Key:       active.key,
		RequestID: active.call.RequestID,
		Outcome:   recorded,
	}}}
	ends := active.call.EndProgram && (active.call.Anonymous || outcome.Status != structs.OutcomeNotRun)
	if ends {
		records = append(records, structs.Record{At: now, ProgramEnded: &structs.ProgramEnded{Key: active.key, Reason: structs.ReasonCompleted}})
	}
	l.propose(records, func() {
		l.finish(active, outcome)
		if ends {
			l.recordStep(active.key, active.call.RequestID, "end", "The caller's last call was answered.")
			l.programEnded(active.key)
		}
	})
}

// settleCancelled settles a call that was cancelled on request. The exact usage
// is unknown once the call was sent: the text that arrived is counted, and the
// upper bound of the prompt.
func (l *leader) settleCancelled(active *activeCall) {
	open := l.openCall(active)
	if open == nil {
		return
	}
	if active.disproved && !active.mayHaveRun {
		l.settle(active, structs.Refused(structs.ReasonCancelled, "", "Cancelled before it was sent.", 0))
		return
	}
	usage := structs.Usage{
		PromptTokens:     l.machine.Program(active.key).PromptBound(active.call),
		CompletionTokens: prefix.TextTokens(active.text.String()),
	}
	l.settle(active, structs.Outcome{
		Status:  structs.OutcomeCancelled,
		Reason:  structs.ReasonCancelled,
		Message: "Cancelled.",
		Usage:   usage,
		Cost:    open.Reserved,
	})
}

// finish sends the outcome to all followers and starts the calls that waited
// for it.
func (l *leader) finish(active *activeCall, outcome structs.Outcome) {
	active.abandon()
	active.stage = stageFinished
	l.recordStep(active.key, active.call.RequestID, "settle", string(outcome.Status)+" "+string(outcome.Reason))
	delete(l.calls, callKey{active.key, active.call.RequestID})
	if outcome.Answer.Content != "" {
		l.sendMissingText(active, outcome.Answer.Content)
	}
	reported := l.amendIfCopyMayRun(active, outcome)
	for _, follower := range active.attachments {
		l.sendOutcome(follower, reported)
	}
	p := l.machine.Program(active.key)
	if p == nil {
		return
	}
	l.releaseStaleHolds(p)
	l.advance(active.key)
}

// amendIfCopyMayRun turns a temporary refusal into an unknown outcome when a
// copy of the call may be in flight and would be accepted anew. The record says
// not_run, but the caller must not conclude that no copy runs.
func (l *leader) amendIfCopyMayRun(active *activeCall, outcome structs.Outcome) structs.Outcome {
	refusedForNow := outcome.Status == structs.OutcomeNotRun && outcome.RetryAfter > 0
	if !refusedForNow || !active.sentBefore || l.Guards.SkipRunCheck || l.wouldRefuseCopies(active) {
		return outcome
	}
	outcome.Status = structs.OutcomeUnknown
	return outcome
}

// wouldRefuseCopies reports whether a copy of a refused call would be refused
// as well, because its program has ended or continued without the call.
func (l *leader) wouldRefuseCopies(active *activeCall) bool {
	p := l.machine.Program(active.key)
	return p != nil && (p.Ended || p.Settled[active.call.RequestID] != nil)
}

// sendMissingText sends answer text that was not streamed by this leader, when
// the outcome comes from a record.
func (l *leader) sendMissingText(active *activeCall, text string) {
	if known := active.text.Len(); known < len(text) {
		active.broadcast([]structs.Chunk{{Offset: int64(known), Text: text[known:]}})
	}
}

// cancelCall cancels a call in any stage.
func (l *leader) cancelCall(active *activeCall) {
	active.cancelled = true
	switch active.stage {
	case stageWaiting, stageQueued, stageWaitingForQuota:
		active.leaveScheduler(schedule.Result{})
		l.settle(active, l.amendIfMayHaveRun(active,
			structs.Refused(structs.ReasonCancelled, "", "Cancelled before it was sent.", 0)))
	case stageRunning:
		if active.call.Kind == structs.CallModel {
			l.cancelAtEngine(active)
		}
	case stageProposed, stageRecording, stageInspecting, stageSettling, stageFinished:
		// The current step checks active.cancelled when it is done.
	}
}

func (l *leader) cancelAtEngine(active *activeCall) {
	open := l.openCall(active)
	if open == nil {
		return
	}
	generation := active.generation
	attempt := structs.NewAttemptID(active.key, active.call.RequestID)
	l.Drivers.Engines.Cancel(open.BackEnd, attempt, func(err error) {
		l.post(func() {
			if active.generation == generation && err != nil {
				l.inspect(active)
			}
		})
	})
}
