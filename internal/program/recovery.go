package program

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// RecoveryWindow is how long after the loss of all replicas a shard treats unknown
// programs and repeated calls as possibly lost. It must exceed the time for which
// callers retry.
const RecoveryWindow = time.Hour

// Gap says whether turns may be missing from a program that was recovered from an
// archive.
type Gap uint8

// Kinds of gap.
const (
	// GapNone: nothing is missing.
	GapNone Gap = iota
	// GapPossible: calls after the last known one may have run.
	GapPossible
	// GapCertain: an accepted call has no known outcome.
	GapCertain
)

// RecentlyRecovered reports whether the shard lost all its replicas within
// RecoveryWindow, so that programs unknown to it may have existed.
func (s *Shard) RecentlyRecovered(now time.Time) bool {
	return !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < RecoveryWindow
}

// applyShardRecovered marks the state as recovered from an archive: later records may
// have been lost.
func (s *Shard) applyShardRecovered(at time.Time) {
	s.recoveredAt = at
	for _, program := range s.Programs() {
		program.resetAfterLoss(at)
		s.updateFootprint(program.Key)
	}
}

// resetAfterLoss closes the program's open calls, whose outcomes may be lost. The
// whole budget counts as spent, since nothing bounds what was spent after the
// archive's end.
func (p *Program) resetAfterLoss(at time.Time) {
	if !p.Ended {
		p.Recovered = true
		p.Gap = GapPossible
		p.ActiveAt = at
	}
	p.revertOpenModelCalls()
	for _, open := range p.Open {
		if open.Call.Kind == structs.CallModel {
			p.Gap = GapCertain
		}
		p.recordOutcome(open, structs.Outcome{
			Status:  structs.OutcomeUnknown,
			Reason:  structs.ReasonRecordsLost,
			Message: recordsLostMessage,
		}, open.Reserved+open.LostReserved)
	}
	p.Open = nil
	p.Spent = max(p.Spent, p.Budget)
	p.Reserved = 0
	p.LastFingerprint, p.Repeats = 0, 0
}

const recordsLostMessage = "All holders of the program's records were lost; the call may or may not have run."

// revertOpenModelCalls undoes the acceptance of the last calls as long as they are
// model calls without an outcome, so that the caller may make them again. If one did
// complete after the archive's last entry, the caller's next sequence number shows it.
func (p *Program) revertOpenModelCalls() {
	for len(p.Open) > 0 {
		last := p.Open[len(p.Open)-1]
		if last.Call.Kind != structs.CallModel || last.Call.Sequence != p.Accepted {
			return
		}
		p.Open = p.Open[:len(p.Open)-1]
		p.revertAcceptance()
	}
}

// acceptsFullHistory reports whether a call carries the whole conversation of a
// program that may lack turns.
func (p *Program) acceptsFullHistory(call *structs.Call) bool {
	return p.Gap != GapNone && call.Kind == structs.CallModel && call.History == structs.HistoryFull
}

// AdmitRecovered refuses a call that a recovered shard cannot admit because of what it
// may have lost. It returns false for any other call, on which Admit then decides.
// sentBefore means that a copy may have been accepted already; pending holds calls of
// the program whose acceptance is being recorded.
func (s *Shard) AdmitRecovered(call structs.Call, sentBefore bool, pending []structs.Call, now time.Time) (Admission, bool) {
	program := s.programs[call.Key]
	if program == nil {
		if !s.RecentlyRecovered(now) || len(pending) > 0 {
			return Admission{}, false
		}
		return admitUnknownProgram(call, sentBefore)
	}
	if known, _ := program.admitKnown(call, pending); known || !program.Recovered {
		return Admission{}, false
	}
	if sentBefore && (program.Gap != GapNone || s.RecentlyRecovered(now)) {
		return unknownSinceLoss(), true
	}
	if program.Gap == GapNone || program.Ended {
		return Admission{}, false
	}
	return program.admitAcrossGap(call, len(pending))
}

// unknownSinceLoss answers a call that was sent before: it may have been accepted
// after the archive's last entry, and have run.
func unknownSinceLoss() Admission {
	return Admission{Verdict: VerdictRefuse, Refusal: structs.Outcome{
		Status:  structs.OutcomeUnknown,
		Reason:  structs.ReasonRecordsLost,
		Message: recordsLostMessage,
	}}
}

// admitUnknownProgram refuses a call of an unknown program that may have been lost. It
// returns false for a program that is certainly new: the caller says that this is call
// 1, or the program was made for this call alone.
func admitUnknownProgram(call structs.Call, sentBefore bool) (Admission, bool) {
	if sentBefore {
		return unknownSinceLoss(), true
	}
	if call.Sequence == 1 || call.Anonymous {
		return Admission{}, false
	}
	admission := refuse(structs.ReasonRecordsLost, "sequence",
		"All holders of this program's records were lost, if there was one. A new program must name its first call's sequence number, 1.")
	if call.Sequence > 1 {
		admission.Refusal.RetryAfter = retryAfterUnknownStart
	}
	return admission, true
}

// retryAfterUnknownStart is the retry delay for a call of an unknown program whose
// first call may still arrive.
const retryAfterUnknownStart = time.Second

// admitAcrossGap refuses a call of a recovered program if a lost turn could go
// unnoticed. It returns false for a call with the whole conversation, or with the very
// next sequence number, which proves that no later call was accepted.
func (p *Program) admitAcrossGap(call structs.Call, pending int) (Admission, bool) {
	next := call.Sequence == p.Accepted+1 && p.Gap == GapPossible && len(p.Open) == 0 && pending == 0
	if next || p.acceptsFullHistory(&call) {
		return Admission{}, false
	}
	return refuse(structs.ReasonHistoryGap, "sequence",
		fmt.Sprintf("Turns of the program behind call %d may be lost with their holders. Send the whole conversation.", p.Accepted)), true
}
