package program

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Policy is what the configuration in force says about a tenant's use of a template. A
// program keeps the policy under which it started.
type Policy struct {
	Template        structs.TemplateName
	Budget          structs.Cost
	Priority        int
	Limits          structs.Limits
	SystemPrompt    string
	ApplicationCost structs.Cost
	// Adapter is the adapter of the call's model, "" for none.
	Adapter structs.AdapterName
}

// Verdict is the decision on a call.
type Verdict int

// Verdicts.
const (
	// VerdictAccept: propose Records; the call is accepted in the program's order once
	// they are committed.
	VerdictAccept Verdict = iota
	// VerdictKnown: the request was accepted before; attach to it.
	VerdictKnown
	// VerdictWait: calls with lower sequence numbers have not arrived yet.
	VerdictWait
	// VerdictRefuse: the call has not run and will not run.
	VerdictRefuse
)

// Admission is the result of Admit.
type Admission struct {
	Verdict Verdict
	Records []structs.Record
	// Call is the call as accepted: with its sequence number, and with its messages
	// reduced to the new ones.
	Call structs.Call
	// Refusal is set with VerdictRefuse. Records may be set, too: they end a program
	// that reached a limit.
	Refusal structs.Outcome
}

func refuse(reason structs.Reason, field, message string) Admission {
	return Admission{Verdict: VerdictRefuse, Refusal: structs.Refused(reason, field, message, 0)}
}

// Admit decides on a call at the shard's leader. pending holds calls of the same
// program whose acceptance was proposed but not yet applied, in order.
func (s *Shard) Admit(call structs.Call, policy Policy, pending []structs.Call, now time.Time) Admission {
	program := s.programs[call.Key]
	if program == nil {
		return s.admitFirst(call, policy, pending, now)
	}
	if known, admission := program.admitKnown(call, pending); known {
		return admission
	}
	if program.Ended {
		return refuse(structs.ReasonProgramEnded, "program", fmt.Sprintf("The program has ended: %s.", program.EndReason))
	}
	if call.Template != "" && call.Template != program.Template {
		return refuse(structs.ReasonInvalidRequest, "template", fmt.Sprintf("The program runs template %q.", program.Template))
	}
	if admission, admitted := program.admitSequence(&call, pending); !admitted {
		return admission
	}
	if admission, admitted := program.admitLimits(call, pending, now); !admitted {
		return admission
	}
	whole := program.acceptsFullHistory(&call)
	if refusal, fits := program.reduceHistory(&call, pending); !fits {
		return refusal
	}
	records := acceptRecords(call, now)
	records[0].CallAccepted.WholeConversation = whole
	return Admission{Verdict: VerdictAccept, Call: call, Records: records}
}

func acceptRecords(call structs.Call, now time.Time) []structs.Record {
	return []structs.Record{{At: now, CallAccepted: &structs.CallAccepted{Key: call.Key, Call: call}}}
}

// admitFirst starts a program with its first call.
func (s *Shard) admitFirst(call structs.Call, policy Policy, pending []structs.Call, now time.Time) Admission {
	parentKey := call.Key.Parent()
	isChild := parentKey.Program != ""
	if isChild {
		if refusal, admitted := s.admitChild(parentKey); !admitted {
			return refusal
		}
	}
	if len(pending) > 0 {
		return admitDuringStart(call, pending, now)
	}
	if call.Sequence > 1 {
		// Call 1 may still arrive over another connection.
		return Admission{Verdict: VerdictWait, Call: call}
	}
	call.Sequence = 1
	started := &structs.ProgramStarted{
		Key:             call.Key,
		Template:        policy.Template,
		Priority:        policy.Priority,
		Limits:          policy.Limits,
		SystemPrompt:    policy.SystemPrompt,
		ApplicationCost: policy.ApplicationCost,
	}
	if !isChild {
		started.Budget = policy.Budget
	}
	records := []structs.Record{{At: now, ProgramStarted: started}}
	return Admission{Verdict: VerdictAccept, Call: call, Records: append(records, acceptRecords(call, now)...)}
}

// admitDuringStart admits a call while the program's start is being recorded.
func admitDuringStart(call structs.Call, pending []structs.Call, now time.Time) Admission {
	starting := &Program{Key: call.Key}
	if known, admission := starting.admitKnown(call, pending); known {
		return admission
	}
	if admission, admitted := starting.admitSequence(&call, pending); !admitted {
		return admission
	}
	if refusal, fits := starting.reduceHistory(&call, pending); !fits {
		return refusal
	}
	return Admission{Verdict: VerdictAccept, Call: call, Records: acceptRecords(call, now)}
}

func (s *Shard) admitChild(parentKey structs.ProgramKey) (Admission, bool) {
	parent := s.programs[parentKey]
	if parent == nil {
		return refuse(structs.ReasonUnknownProgram, "parent", "The parent program is not under way."), false
	}
	if parent.Ended {
		return refuse(structs.ReasonProgramEnded, "parent", fmt.Sprintf("The parent program has ended: %s.", parent.EndReason)), false
	}
	if parent.Limits.SubAgents > 0 && parent.Children >= parent.Limits.SubAgents {
		return refuse(structs.ReasonTurnLimit, "parent", fmt.Sprintf("The parent program may have %d live sub-agents.", parent.Limits.SubAgents)), false
	}
	return Admission{}, true
}

// admitKnown reports whether the program has seen the call's request identifier, and
// returns the admission then. The same identifier with another sequence number is
// refused: the caller would get the answer to another call.
func (p *Program) admitKnown(call structs.Call, pending []structs.Call) (bool, Admission) {
	if open := p.OpenCall(call.RequestID); open != nil {
		return true, knownUnlessSequenceDiffers(call, open.Call.Sequence)
	}
	if settled := p.Settled[call.RequestID]; settled != nil {
		return true, knownUnlessSequenceDiffers(call, settled.Sequence)
	}
	for _, waiting := range pending {
		if waiting.RequestID == call.RequestID {
			return true, knownUnlessSequenceDiffers(call, waiting.Sequence)
		}
	}
	return false, Admission{}
}

func knownUnlessSequenceDiffers(call structs.Call, accepted uint64) Admission {
	if call.Sequence != 0 && call.Sequence != accepted {
		return refuse(structs.ReasonRequestConflict, "request_id", fmt.Sprintf("The request identifier was used for call %d.", accepted))
	}
	return Admission{Verdict: VerdictKnown, Call: call}
}

func (p *Program) admitSequence(call *structs.Call, pending []structs.Call) (Admission, bool) {
	next := p.Accepted + 1
	if len(pending) > 0 {
		next = pending[len(pending)-1].Sequence + 1
	}
	switch {
	case call.Sequence == 0 || call.Sequence == next:
		call.Sequence = next
		return Admission{}, true
	case call.Sequence > next && p.acceptsFullHistory(call) && len(pending) == 0:
		// The calls in between were lost with their records; the conversation in
		// this call contains them.
		return Admission{}, true
	case call.Sequence > next:
		return Admission{Verdict: VerdictWait, Call: *call}, false
	default:
		return refuse(structs.ReasonSequenceConflict, "sequence", fmt.Sprintf("Call %d was issued before; the next is %d.", call.Sequence, next)), false
	}
}

// admitLimits reports whether the program is within its limits. If it has reached one,
// the returned admission refuses the call and ends the program with that limit as the
// reason.
func (p *Program) admitLimits(call structs.Call, pending []structs.Call, now time.Time) (Admission, bool) {
	turns := p.Turns + len(pending)
	if p.Limits.Turns > 0 && turns >= p.Limits.Turns {
		return p.end(structs.ReasonTurnLimit, fmt.Sprintf("The program may make %d calls.", p.Limits.Turns), now), false
	}
	if p.Limits.WallTime > 0 && now.Sub(p.StartedAt) >= p.Limits.WallTime {
		return p.end(structs.ReasonTimeLimit, fmt.Sprintf("The program may run for %s.", p.Limits.WallTime), now), false
	}
	repeated := p.Repeats >= p.Limits.Repetitions && p.LastFingerprint == Fingerprint(&call)
	if p.Limits.Repetitions > 0 && repeated {
		return p.end(structs.ReasonRepetitionLimit, fmt.Sprintf("The program made the same call %d times in a row.", p.Repeats), now), false
	}
	return Admission{}, true
}

func (p *Program) end(reason structs.Reason, message string, now time.Time) Admission {
	admission := refuse(reason, "program", message)
	admission.Records = []structs.Record{EndRecord(p.Key, reason, now)}
	return admission
}

// EndRecord returns the record that ends a program.
func EndRecord(key structs.ProgramKey, reason structs.Reason, now time.Time) structs.Record {
	return structs.Record{At: now, ProgramEnded: &structs.ProgramEnded{Key: key, Reason: reason}}
}

// reduceHistory reduces a whole conversation to its new messages, and reports whether
// it continues the recorded history. Messages of earlier calls that have no answer yet
// may be part of the conversation.
func (p *Program) reduceHistory(call *structs.Call, pending []structs.Call) (Admission, bool) {
	if call.Kind != structs.CallModel || call.History != structs.HistoryFull {
		return Admission{}, true
	}
	known := p.History.All()
	rest, matches := cutMessages(call.Messages, known)
	if !matches {
		return refuse(structs.ReasonHistoryConflict, "messages",
			fmt.Sprintf("The messages do not start with the program's %d kept ones.", len(known))), false
	}
	for _, open := range p.Open {
		rest = cutIfPresent(rest, open.Call.Messages)
	}
	for _, waiting := range pending {
		rest = cutIfPresent(rest, waiting.Messages)
	}
	call.Messages = rest
	call.History = structs.HistoryAppend
	return Admission{}, true
}

func cutMessages(messages, prefix []structs.Message) ([]structs.Message, bool) {
	if len(messages) < len(prefix) {
		return nil, false
	}
	for i := range prefix {
		if !sameMessage(messages[i], prefix[i]) {
			return nil, false
		}
	}
	return messages[len(prefix):], true
}

func cutIfPresent(messages, prefix []structs.Message) []structs.Message {
	if rest, matches := cutMessages(messages, prefix); matches {
		return rest
	}
	return messages
}

func sameMessage(a, b structs.Message) bool {
	if a.Role != b.Role || a.Content != b.Content || a.ToolCallID != b.ToolCallID {
		return false
	}
	if len(a.ToolCalls) != len(b.ToolCalls) {
		return false
	}
	for i := range a.ToolCalls {
		if a.ToolCalls[i] != b.ToolCalls[i] {
			return false
		}
	}
	return true
}

// Fingerprint returns a hash of a call's content, without its identifiers.
func Fingerprint(call *structs.Call) uint64 {
	digest := xxhash.New()
	write := func(text string) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(text)
	}
	write(string(call.Kind))
	write(string(call.Model))
	write(call.Target)
	write(call.Operation)
	write(string(call.Body))
	write(string(call.Parameters))
	for _, message := range call.Messages {
		write(message.Role)
		write(message.Content)
		write(message.ToolCallID)
	}
	return digest.Sum64()
}
