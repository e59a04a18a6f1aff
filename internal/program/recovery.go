package program

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// RecoveryWindow is how long after the loss of all holders a shard is careful
// with what it does not know: longer than callers come back for an answer.
const RecoveryWindow = time.Hour

// Gap tells what may be missing in a program that was recovered from an archive.
type Gap uint8

// Kinds of gap.
const (
	// GapNone: nothing is missing.
	GapNone Gap = iota
	// GapPossible: calls behind the latest known one may have run.
	GapPossible
	// GapCertain: a call that the program has counted has no known outcome.
	GapCertain
)

// RecentlyRecovered tells whether the shard lost all its holders a while ago, so
// that what it does not know may have been.
func (s *Shard) RecentlyRecovered(now time.Time) bool {
	return !s.recoveredAt.IsZero() && now.Sub(s.recoveredAt) < RecoveryWindow
}

// applyShardRecovered turns the state from knowledge of what is into knowledge
// of what was: anything may have happened since.
func (s *Shard) applyShardRecovered(at time.Time) {
	s.recoveredAt = at
	for _, program := range s.Programs() {
		program.resetAfterLoss(at)
		s.updateFootprint(program.Key)
	}
}

// recover gives up what a program has under way. Calls without an outcome may
// have one that is lost. What is left of the budget may be spent: nothing
// bounds what was, so all of it is charged.
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

// takeBackModelCalls undoes the acceptance of the latest calls as far as they
// are model calls without an outcome, so that the caller may make them again.
// If they had one after the archive's last entry, the caller's next sequence
// number shows it.
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

// acceptsWhole tells whether a call brings the whole conversation to a program
// that may lack turns.
func (p *Program) acceptsFullHistory(call *structs.Call) bool {
	return p.Gap != GapNone && call.Kind == structs.CallModel && call.History == structs.HistoryFull
}

// AdmitRecovered judges a call in the light of what a recovered shard does not
// know. It returns false when nothing stands against the call. sentBefore tells
// that a copy may have been taken already, pending holds calls of the program
// whose acceptance is being recorded.
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

// unknownSinceLoss answers a call that was sent before. It may have been taken
// after the archive's last entry, and have run.
func unknownSinceLoss() Admission {
	return Admission{Verdict: VerdictRefuse, Refusal: structs.Outcome{
		Status:  structs.OutcomeUnknown,
		Reason:  structs.ReasonRecordsLost,
		Message: recordsLostMessage,
	}}
}

// admitUnknownProgram lets a program start that is certainly new: its caller
// says that this is call 1, or made the program for this call alone.
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

// retryBehindStart is when a call may come back whose program's first call may
// be on its way still.
const retryAfterUnknownStart = time.Second

// admitAcrossGap lets a recovered program go on where nothing can be missing
// in its history unnoticed: with the whole conversation, or with the very next
// sequence number, which proves that no later call was taken.
func (p *Program) admitAcrossGap(call structs.Call, pending int) (Admission, bool) {
	next := call.Sequence == p.Accepted+1 && p.Gap == GapPossible && len(p.Open) == 0 && pending == 0
	if next || p.acceptsFullHistory(&call) {
		return Admission{}, false
	}
	return refuse(structs.ReasonHistoryGap, "sequence",
		fmt.Sprintf("Turns of the program behind call %d may be lost with their holders. Send the whole conversation.", p.Accepted)), true
}
