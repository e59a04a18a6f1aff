package program

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Apply applies one committed record to the state. A record about a program or call
// that no longer exists changes nothing, and a record that is proposed twice, by a
// leader and its successor, counts once.
func (s *Shard) Apply(record structs.Record) {
	switch {
	case record.ProgramStarted != nil:
		s.applyProgramStarted(record.At, record.ProgramStarted)
	case record.CallAccepted != nil:
		s.applyCallAccepted(record.At, record.CallAccepted)
	case record.CallDispatched != nil:
		s.applyCallDispatched(record.At, record.CallDispatched)
	case record.CallSettled != nil:
		s.applyCallSettled(record.At, record.CallSettled)
	case record.HoldReleased != nil:
		s.applyHoldReleased(record.HoldReleased)
	case record.ProgramEnded != nil:
		s.applyProgramEnded(record.At, record.ProgramEnded)
	case record.QuotaGranted != nil:
		s.applyQuotaGranted(record.QuotaGranted)
	case record.QuotaReceived != nil:
		s.applyQuotaReceived(record.QuotaReceived)
	case record.ProgramRemoved != nil:
		s.applyProgramRemoved(record.ProgramRemoved)
	case record.ShardRecovered != nil:
		s.applyShardRecovered(record.At)
	}
	s.cache.evictIdle(record.At)
}

func (s *Shard) applyProgramStarted(at time.Time, started *structs.ProgramStarted) {
	if _, exists := s.programs[started.Key]; exists {
		return
	}
	s.programs[started.Key] = &Program{
		Key:             started.Key,
		Template:        started.Template,
		Priority:        started.Priority,
		Limits:          started.Limits,
		SystemPrompt:    Intern(started.SystemPrompt),
		History:         History{cache: s.cache},
		ApplicationCost: started.ApplicationCost,
		Budget:          started.Budget,
		StartedAt:       at,
		ActiveAt:        at,
		Settled:         map[structs.RequestID]*SettledCall{},
		Holds:           map[structs.HoldID]structs.Hold{},
	}
	if parent := s.programs[started.Key.Parent()]; parent != nil {
		parent.Children++
	}
	s.updateFootprint(started.Key)
}

func (s *Shard) applyProgramRemoved(removed *structs.ProgramRemoved) {
	if program := s.programs[removed.Key]; program != nil {
		s.cache.evict(&program.History)
	}
	delete(s.programs, removed.Key)
	s.updateFootprint(removed.Key)
}

func (s *Shard) applyCallAccepted(at time.Time, accepted *structs.CallAccepted) {
	program := s.programs[accepted.Key]
	if program == nil || program.Ended {
		return
	}
	call := accepted.Call
	if _, settled := program.Settled[call.RequestID]; settled || program.OpenCall(call.RequestID) != nil {
		return
	}
	if call.Sequence <= program.Accepted {
		return
	}
	program.Accepted = call.Sequence
	if !accepted.WholeConversation {
		program.Gap = GapNone
	}
	program.ActiveAt = at
	program.Turns++
	fingerprint := Fingerprint(&call)
	if fingerprint == program.LastFingerprint {
		program.Repeats++
	} else {
		program.LastFingerprint = fingerprint
		program.Repeats = 1
	}
	program.Open = append(program.Open, &CallState{Call: call, Stage: StageAccepted, AcceptedAt: at, Whole: accepted.WholeConversation})
	s.updateFootprint(accepted.Key)
}

func (s *Shard) applyCallDispatched(at time.Time, dispatched *structs.CallDispatched) {
	program, root := s.programs[dispatched.Key], s.Root(dispatched.Key)
	if program == nil || root == nil {
		return
	}
	call := program.OpenCall(dispatched.RequestID)
	if call == nil || dispatched.Attempt <= call.Attempt {
		return
	}
	if dispatched.PreviousNotRun {
		root.Reserved -= call.Reserved
		s.chargeAllowance(program.Key.Tenant, call.Window, -call.Reserved)
	} else {
		call.LostReserved += call.Reserved
	}
	call.Stage = StageDispatched
	call.Attempt = dispatched.Attempt
	call.BackEnd = dispatched.BackEnd
	call.Epoch = dispatched.Epoch
	call.BackEndRun = dispatched.BackEndRun
	call.Hold = dispatched.Hold
	call.AnswerPrefix = dispatched.AnswerPrefix
	call.DispatchedAt = at
	call.Price = dispatched.Price
	call.Reserved = dispatched.Reserved
	root.Reserved += dispatched.Reserved
	call.Window = WindowOf(structs.QuotaSpending, at)
	s.chargeAllowance(program.Key.Tenant, call.Window, dispatched.Reserved)
	if call.Call.Kind == structs.CallModel {
		program.LastEngine = dispatched.BackEnd
	}
	if dispatched.Hold != "" {
		program.Holds[dispatched.Hold] = structs.Hold{ID: dispatched.Hold, Engine: dispatched.BackEnd, Program: dispatched.Key}
	}
}

func (s *Shard) applyCallSettled(at time.Time, settled *structs.CallSettled) {
	program, root := s.programs[settled.Key], s.Root(settled.Key)
	if program == nil || root == nil {
		return
	}
	if former := program.Settled[settled.RequestID]; former != nil {
		resolveUnknownOutcome(root, former, settled.Outcome)
		s.updateFootprint(settled.Key)
		return
	}
	position := openIndex(program, settled.RequestID)
	if position < 0 {
		return
	}
	call := program.Open[position]
	program.Open = append(program.Open[:position:position], program.Open[position+1:]...)
	program.ActiveAt = at
	if call.Call.Kind == structs.CallModel {
		program.LatestHold = call.Hold
		program.ModelSettledAt = at
	}
	charged := charge(call, settled.Outcome)
	root.Reserved -= call.Reserved + call.LostReserved
	root.Spent += charged
	s.chargeAllowance(program.Key.Tenant, call.Window, charged-call.Reserved-call.LostReserved)
	program.ServedTokens += settled.Outcome.Usage.PromptTokens - settled.Outcome.Usage.CachedTokens + settled.Outcome.Usage.CompletionTokens
	if settled.Outcome.Status == structs.OutcomeNotRun && call.Call.Sequence == program.Accepted {
		program.revertAcceptance()
	} else {
		program.recordOutcome(call, settled.Outcome, charged)
	}
	s.updateFootprint(settled.Key)
}

// revertAcceptance undoes the acceptance of the latest call, which did not run, so
// that the caller may send it again under the same sequence number and request
// identifier. A call with successors keeps its refusal, or it would run out of order.
func (p *Program) revertAcceptance() {
	p.Accepted--
	p.Turns--
	p.Repeats--
}

// charge returns what a settled call takes from the budget. Attempts of unknown cost
// are charged their worst case, and so is a call whose outcome is unknown.
func charge(call *CallState, outcome structs.Outcome) structs.Cost {
	if outcome.Status == structs.OutcomeUnknown {
		return call.Reserved + call.LostReserved
	}
	return min(outcome.Cost, call.Reserved) + call.LostReserved
}

// resolveUnknownOutcome replaces the unknown outcome of an application call once the
// back end has reported the real one, and refunds what it did not cost.
func resolveUnknownOutcome(root *Program, former *SettledCall, outcome structs.Outcome) {
	if former.Outcome.Status != structs.OutcomeUnknown || former.Kind == structs.CallModel {
		return
	}
	charged := min(outcome.Cost, former.Charged)
	root.Spent -= former.Charged - charged
	former.Charged = charged
	former.Outcome = outcome
}

func openIndex(program *Program, request structs.RequestID) int {
	for position, call := range program.Open {
		if call.Call.RequestID == request {
			return position
		}
	}
	return -1
}

// recordOutcome keeps a call's outcome as long as the program, so that the same
// request identifier never runs again.
func (p *Program) recordOutcome(call *CallState, outcome structs.Outcome, charged structs.Cost) {
	settled := &SettledCall{
		Sequence:    call.Call.Sequence,
		Kind:        call.Call.Kind,
		Fingerprint: Fingerprint(&call.Call),
		Outcome:     outcome,
		Charged:     charged,
		AnswerIndex: noAnswer,
	}
	if call.Call.Kind == structs.CallModel && outcome.Status == structs.OutcomeCompleted {
		p.History.Append(call.Call.Messages...)
		settled.AnswerIndex = p.History.Len()
		p.History.Append(outcome.Answer)
		p.HistoryTokens = outcome.Usage.PromptTokens + outcome.Usage.CompletionTokens
		settled.Outcome.Answer = structs.Message{}
		if call.Whole {
			p.Gap = GapNone
		}
	}
	p.Settled[call.Call.RequestID] = settled
}

func (s *Shard) applyHoldReleased(released *structs.HoldReleased) {
	if program := s.programs[released.Program]; program != nil {
		delete(program.Holds, released.Hold)
	}
}

func (s *Shard) applyProgramEnded(at time.Time, ended *structs.ProgramEnded) {
	program := s.programs[ended.Key]
	if program == nil || program.Ended {
		return
	}
	s.endProgram(program, at, ended.Reason)
	prefix := string(ended.Key.Program) + "/"
	for key, descendant := range s.programs {
		if key.Tenant == ended.Key.Tenant && strings.HasPrefix(string(key.Program), prefix) && !descendant.Ended {
			s.endProgram(descendant, at, ended.Reason)
		}
	}
}

// endProgram ends a single program. Calls that were never dispatched certainly did not
// run; dispatched ones stay open until their outcome is known.
func (s *Shard) endProgram(program *Program, at time.Time, reason structs.Reason) {
	program.Ended = true
	program.EndReason = reason
	program.EndedAt = at
	if parent := s.programs[program.Key.Parent()]; parent != nil {
		parent.Children--
	}
	var open []*CallState
	for _, call := range program.Open {
		if call.Stage == StageDispatched {
			open = append(open, call)
			continue
		}
		outcome := structs.Refused(structs.ReasonProgramEnded, "", "The program ended before the call was sent.", 0)
		program.recordOutcome(call, outcome, 0)
	}
	program.Open = open
	s.updateFootprint(program.Key)
}
