package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// settleWith sends an outcome. Refusals that no record keeps are remembered,
// so that a second copy of the same submission meets the same answer.
func (l *leader) sendOutcome(follower attachment, outcome structs.Outcome) {
	if outcome.Status == structs.OutcomeNotRun {
		l.refusals.add(follower, outcome)
	}
	l.Transport.Send(follower.daemon, &Settled{Submission: follower.submission, Outcome: outcome})
}

// refuseForGood answers a call that this program will never take. Of a call
// that may have been sent before, another leader may know more: the epoch is
// confirmed first, and a leader that was replaced stays silent.
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

// refuseForNow answers a call that is not taken now and may be later. An earlier
// copy of it may still be under way, in a daemon that is paused for instance,
// and be taken then; so a caller that sent it before is not told "not run".
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
