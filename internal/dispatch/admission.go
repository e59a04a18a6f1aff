package dispatch

import (
	"fmt"
	"slices"

	"github.com/mintpulley/mintpulley/internal/configuration/resolve"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// submit admits a call, or attaches to it if it is known.
func (l *leader) submit(from structs.DaemonID, submit *Submit) {
	follower := attachment{daemon: from, submission: submit.Submission}
	call := submit.Call
	if outcome, refused := l.refusals.find(follower); refused {
		l.sendOutcome(follower, outcome)
		return
	}
	if active := l.calls[callKey{call.Key, call.RequestID}]; active != nil {
		l.attachToActive(active, follower, submit)
		return
	}
	sentBefore := call.Retry || submit.Resent
	recovered, unsure := l.machine.AdmitRecovered(call, sentBefore, l.proposed[call.Key], l.Clock.Now())
	if unsure && !l.Guards.SkipRecovery {
		l.refuse(follower, call, recovered)
		return
	}
	policy, refusal := l.policyFor(&call)
	if refusal != nil && l.machine.Program(call.Key) == nil {
		l.refuseUnresolved(follower, submit, *refusal)
		return
	}
	call.Adapter = policy.Adapter
	admission := l.machine.Admit(call, policy, l.proposed[call.Key], l.Clock.Now())
	switch admission.Verdict {
	case program.VerdictKnown:
		l.answerSettled(follower, call)
	case program.VerdictWait:
		l.waitForPredecessors(follower, submit)
	case program.VerdictRefuse:
		l.refuse(follower, call, admission)
	case program.VerdictAccept:
		if refusal != nil {
			l.refuseUnresolved(follower, submit, *refusal)
			return
		}
		l.acceptWithinLimits(follower, submit, call, admission)
	}
}

// acceptWithinLimits accepts an admitted call unless memory, the queue or the
// tenant's limit of programs has no room for it.
func (l *leader) acceptWithinLimits(follower attachment, submit *Submit, call structs.Call, admission program.Admission) {
	if l.shedForMemory(follower, call, admission) || l.shedProgram(follower, call, admission) {
		return
	}
	if l.waitForProgramSlot(follower, submit, admission) {
		return
	}
	l.accept(follower, submit, admission)
}

// reattach continues to answer a call whose content was not sent again.
func (l *leader) reattach(from structs.DaemonID, attach *Attach) {
	follower := attachment{daemon: from, submission: attach.Submission}
	if outcome, refused := l.refusals.find(follower); refused {
		l.sendOutcome(follower, outcome)
		return
	}
	call := structs.Call{Key: attach.Key, RequestID: attach.RequestID, ResumeAt: attach.ResumeAt, Retry: attach.Retry}
	if active := l.calls[callKey{attach.Key, attach.RequestID}]; active != nil {
		l.attachToActive(active, follower, &Submit{Submission: attach.Submission, Call: call})
		return
	}
	if p := l.machine.Program(attach.Key); p != nil && p.Settled[attach.RequestID] != nil {
		l.answerSettled(follower, call)
		return
	}
	l.Transport.Send(from, &NotKnown{Submission: attach.Submission})
}

// shedProgram refuses a new program while the queue has no room for it, and
// reports whether it did. No record is proposed, so that a flood of new programs
// costs the replicas nothing.
func (l *leader) shedProgram(follower attachment, call structs.Call, admission program.Admission) bool {
	if admission.Records[0].ProgramStarted == nil || call.Kind != structs.CallModel {
		return false
	}
	refusal, full := l.Scheduler.NewProgramRefusal(call.Key.Tenant)
	if full {
		l.refuseTemporarily(follower, call, refusal)
	}
	return full
}

func (l *leader) attachToActive(active *activeCall, follower attachment, submit *Submit) {
	if submit.Call.Sequence != 0 && submit.Call.Sequence != active.call.Sequence {
		l.sendOutcome(follower, structs.Refused(structs.ReasonRequestConflict, "request_id",
			fmt.Sprintf("The request identifier was used for call %d.", active.call.Sequence), 0))
		return
	}
	l.Transport.Send(follower.daemon, &Accepted{Submission: follower.submission})
	active.attach(follower, submit.Call.ResumeAt, submit.Delivered)
	active.sentBefore = active.sentBefore || submit.Call.Retry
	if active.reportedUnknown {
		l.sendUnknown(follower, active)
	}
}

// policyFor resolves the configuration for a call, or returns why it may not
// run.
func (l *leader) policyFor(call *structs.Call) (program.Policy, *structs.Outcome) {
	resolved := *call
	if resolved.Template == "" {
		resolved.Template = l.templateOf(call.Key)
	}
	return resolve.Call(l.Configurations.Current(), &resolved)
}

// templateOf returns the template of a program, or of the nearest ancestor if a
// sub-agent does not name one; "" when none is known.
func (l *leader) templateOf(key structs.ProgramKey) structs.TemplateName {
	for ; key.Program != ""; key = key.Parent() {
		if p := l.machine.Program(key); p != nil {
			return p.Template
		}
		if waiting := l.proposed[key]; len(waiting) > 0 {
			return waiting[0].Template
		}
	}
	return ""
}

// answerSettled answers a request that was accepted before: with its outcome if
// that is recorded, and with Accepted otherwise.
func (l *leader) answerSettled(follower attachment, call structs.Call) {
	p := l.machine.Program(call.Key)
	if p == nil {
		l.Transport.Send(follower.daemon, &Accepted{Submission: follower.submission})
		return
	}
	outcome, settled := p.Outcome(call.RequestID)
	if !settled {
		l.Transport.Send(follower.daemon, &Accepted{Submission: follower.submission})
		return
	}
	text := outcome.Answer.Content
	resumeAt := call.ResumeAt
	if l.Guards.SkipResume {
		resumeAt = 0
	}
	if resumeAt < int64(len(text)) {
		l.sendChunks(follower, []structs.Chunk{{Offset: resumeAt, Text: text[resumeAt:]}})
	}
	l.sendOutcome(follower, outcome)
}

// accept records the call in its program's order. Accepted is sent to the
// caller only once the record is acknowledged; a caller that submits again in
// the meantime attaches.
func (l *leader) accept(follower attachment, submit *Submit, admission program.Admission) {
	call := admission.Call
	active := l.newActiveCall(call.Key, &call)
	active.stage = stageProposed
	active.attach(follower, submit.Call.ResumeAt, submit.Delivered)
	l.proposed[call.Key] = append(l.proposed[call.Key], call)
	l.propose(admission.Records, func() { l.accepted(active) })
	l.resubmitOutOfOrder(call.Key)
}

func (l *leader) accepted(active *activeCall) {
	l.dropProposed(active)
	p := l.machine.Program(active.key)
	if p == nil {
		l.finish(active, structs.Refused(structs.ReasonProgramEnded, "", "The program ended first.", 0))
		return
	}
	open := p.OpenCall(active.call.RequestID)
	if open == nil {
		outcome, settled := p.Outcome(active.call.RequestID)
		if !settled {
			outcome = structs.Refused(structs.ReasonProgramEnded, "", "The program ended first.", 0)
		}
		l.finish(active, outcome)
		return
	}
	active.call = &open.Call
	active.stage = stageWaiting
	l.recordStep(active.key, active.call.RequestID, "accept", acceptDetail(active.call))
	for _, follower := range active.attachments {
		l.Transport.Send(follower.daemon, &Accepted{Submission: follower.submission})
	}
	if active.cancelled {
		l.cancelCall(active)
		return
	}
	l.advance(active.key)
}

// acceptDetail describes an accepted call for operators.
func acceptDetail(call *structs.Call) string {
	if call.Adapter == "" {
		return fmt.Sprintf("Call %d of the program.", call.Sequence)
	}
	return fmt.Sprintf("Call %d of the program, with adapter %s of model %s.", call.Sequence, call.Adapter, call.Model)
}

func (l *leader) dropProposed(active *activeCall) {
	rest := slices.DeleteFunc(l.proposed[active.key], func(call structs.Call) bool {
		return call.RequestID == active.call.RequestID
	})
	if len(rest) == 0 {
		delete(l.proposed, active.key)
		return
	}
	l.proposed[active.key] = rest
}

// detach removes an attachment. A call without attachments continues for
// DetachGrace, since the caller may come back through another daemon.
func (l *leader) detach(from structs.DaemonID, m *Detach) {
	active := l.calls[callKey{m.Key, m.RequestID}]
	if active == nil || l.stopped {
		return
	}
	active.attachments = slices.DeleteFunc(active.attachments, func(other attachment) bool {
		return other == attachment{daemon: from, submission: m.Submission}
	})
	if m.Cancel {
		l.cancelCall(active)
		return
	}
	if len(active.attachments) > 0 || active.detachTimer != nil || active.call.Kind != structs.CallModel {
		return
	}
	active.detachTimer = l.after(l.Settings.DetachGrace, func() {
		l.recordStep(active.key, active.call.RequestID, "cancel", "No caller came back for the answer.")
		l.cancelCall(active)
	})
}
