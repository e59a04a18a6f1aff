package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// sendOutcome sends an outcome. Refusals are remembered, so that a second copy
// of the same submission gets the same answer.
func (l *leader) sendOutcome(follower attachment, outcome structs.Outcome) {
	if outcome.Status == structs.OutcomeNotRun {
		l.refusals.add(follower, outcome)
	}
	l.Transport.Send(follower.daemon, &Settled{Submission: follower.submission, Outcome: outcome})
}

// refusePermanently refuses a call that this program will never accept. If the
// call may have been sent before, another leader may have accepted it, so
// leadership is confirmed first and a replaced leader stays silent.
func (l *leader) refusePermanently(follower attachment, call structs.Call, refusal structs.Outcome) {
	if !call.Retry {
		l.sendOutcome(follower, refusal)
		return
	}
	l.leadership.Confirm(func(err error) {
		if err == nil && !l.stopped {
			l.sendOutcome(follower, refusal)
		}
	})
}

// refuseTemporarily refuses a call that may be accepted later. An earlier copy
// of it may still be in flight, for instance in a paused daemon, and be
// accepted then; a caller that sent it before is therefore not told "not run".
func (l *leader) refuseTemporarily(follower attachment, call structs.Call, refusal structs.Outcome) {
	if call.Retry && !l.Guards.SkipRunCheck {
		refusal.Status = structs.OutcomeUnknown
	}
	l.refusePermanently(follower, call, refusal)
}

func (l *leader) refuse(follower attachment, call structs.Call, admission program.Admission) {
	l.recordStep(call.Key, call.RequestID, "refuse", admission.Refusal.Message)
	if l.machine.Program(call.Key) != nil {
		l.refusePermanently(follower, call, admission.Refusal)
	} else {
		l.refuseTemporarily(follower, call, admission.Refusal)
	}
	for _, record := range admission.Records {
		if record.ProgramEnded != nil {
			l.endProgram(record.ProgramEnded.Key, record.ProgramEnded.Reason)
		}
	}
}
