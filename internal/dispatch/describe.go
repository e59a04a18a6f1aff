package dispatch

import (
	"cmp"
	"slices"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// describe answers a query about one program. Leadership is confirmed first, so
// that a replaced leader does not deny a request that its successor has
// accepted. Without a majority there is no answer.
func (l *leader) describe(from structs.DaemonID, request *Describe) {
	l.leadership.Confirm(func(err error) {
		if err != nil || l.stopped {
			return
		}
		answer := &Described{Query: request.Query}
		if p := l.machine.Program(request.Key); p != nil {
			answer.Program = l.description(p, request)
		}
		l.Transport.Send(from, answer)
	})
}

func (l *leader) description(p *program.Program, request *Describe) *ProgramDescription {
	description := &ProgramDescription{ProgramSummary: l.summary(p), Limits: p.Limits}
	for _, open := range p.Open {
		description.Open = append(description.Open, l.describeOpen(p, open))
	}
	for request, settled := range p.Settled {
		description.Settled = append(description.Settled, describeSettled(request, settled))
	}
	slices.SortFunc(description.Settled, func(a, b SettledCall) int {
		return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.RequestID, b.RequestID))
	})
	for _, hold := range p.Holds {
		description.Held = append(description.Held, hold)
	}
	slices.SortFunc(description.Held, func(a, b structs.Hold) int { return cmp.Compare(a.ID, b.ID) })
	if request.RequestID != "" {
		description.Request = l.requestStatus(p, request.RequestID)
	}
	if request.WithHistory {
		description.History = slices.Clone(p.History.From(0))
	}
	if request.WithDecisions {
		description.Decisions = slices.Clone(l.decisions.of(p.Key))
	}
	return description
}

func (l *leader) summary(p *program.Program) ProgramSummary {
	summary := ProgramSummary{
		Key:             p.Key,
		Template:        p.Template,
		Priority:        p.Priority,
		Shard:           l.shard,
		Epoch:           l.leadership.Epoch(),
		StartedAt:       p.StartedAt,
		ActiveAt:        p.ActiveAt,
		Ended:           p.Ended,
		EndReason:       p.EndReason,
		EndedAt:         p.EndedAt,
		Turns:           p.Turns,
		NextSequence:    p.Accepted + 1,
		HistoryMessages: p.History.Len(),
		HistoryTokens:   p.HistoryTokens,
		OpenCalls:       len(p.Open),
		SubAgents:       p.Children,
		Holds:           len(p.Holds),
		LastEngine:      p.LastEngine,
	}
	if root := l.machine.Root(p.Key); root != nil {
		summary.Budget, summary.Spent, summary.Reserved = root.Budget, root.Spent, root.Reserved
	}
	return summary
}

func (l *leader) describeOpen(p *program.Program, open *program.CallState) OpenCall {
	described := OpenCall{
		RequestID:    open.Call.RequestID,
		Sequence:     open.Call.Sequence,
		Kind:         open.Call.Kind,
		Model:        open.Call.Model,
		Target:       open.Call.Target,
		Operation:    open.Call.Operation,
		Stage:        string(open.Stage),
		Attempt:      open.Attempt,
		BackEnd:      open.BackEnd,
		AcceptedAt:   open.AcceptedAt,
		DispatchedAt: open.DispatchedAt,
		Reserved:     open.Reserved + open.LostReserved,
		TraceID:      open.Call.TraceID,
	}
	if active := l.calls[callKey{p.Key, open.Call.RequestID}]; active != nil {
		described.Stage = active.stage.String()
		described.AnswerBytes = int64(active.text.Len())
	}
	return described
}

func describeSettled(request structs.RequestID, settled *program.SettledCall) SettledCall {
	return SettledCall{
		RequestID: request,
		Sequence:  settled.Sequence,
		Kind:      settled.Kind,
		Status:    settled.Outcome.Status,
		Reason:    settled.Outcome.Reason,
		Message:   settled.Outcome.Message,
		Usage:     settled.Outcome.Usage,
		Charged:   settled.Charged,
	}
}

func (l *leader) requestStatus(p *program.Program, request structs.RequestID) *RequestStatus {
	if outcome, settled := p.Outcome(request); settled {
		return &RequestStatus{Outcome: &outcome}
	}
	if open := p.OpenCall(request); open != nil {
		described := l.describeOpen(p, open)
		return &RequestStatus{Open: &described}
	}
	return nil
}

// String returns the name of a stage for operators.
func (s stage) String() string {
	switch s {
	case stageProposed:
		return "proposed"
	case stageWaiting:
		return "waiting"
	case stageQueued:
		return "queued"
	case stageRecording:
		return "recording"
	case stageRunning:
		return "running"
	case stageInspecting:
		return "inspecting"
	case stageSettling:
		return "settling"
	case stageFinished:
		return "finished"
	default:
		return "unknown"
	}
}

// endOnRequest ends a program for its caller, and answers once that is
// recorded. While the program's start is being recorded there is no answer; the
// sender asks again.
func (l *leader) endOnRequest(from structs.DaemonID, request *EndProgram) {
	p := l.machine.Program(request.Key)
	switch {
	case p == nil && len(l.proposed[request.Key]) > 0:
	case p == nil:
		l.confirmUnknown(from, request)
	case p.Ended:
		l.Transport.Send(from, &ProgramEnded{Query: request.Query, Known: true, Reason: p.EndReason})
	default:
		l.addEndWaiter(request.Key, endWaiter{daemon: from, query: request.Query})
		reason := structs.ReasonCompleted
		if len(p.Open) > 0 {
			reason = structs.ReasonCancelled
		}
		l.endProgram(request.Key, reason)
	}
}

func (l *leader) confirmUnknown(from structs.DaemonID, request *EndProgram) {
	l.leadership.Confirm(func(err error) {
		if err == nil && !l.stopped {
			l.Transport.Send(from, &ProgramEnded{Query: request.Query})
		}
	})
}

// endWaiter is a daemon that waits for the end of a program.
type endWaiter struct {
	daemon structs.DaemonID
	query  QueryID
}

func (l *leader) addEndWaiter(key structs.ProgramKey, waiter endWaiter) {
	if !slices.Contains(l.endWaiters[key], waiter) {
		l.endWaiters[key] = append(l.endWaiters[key], waiter)
	}
}

// answerEndWaiters reports a recorded end to the daemons that wait for it.
func (l *leader) answerEndWaiters(p *program.Program) {
	for _, waiter := range l.endWaiters[p.Key] {
		l.Transport.Send(waiter.daemon, &ProgramEnded{Query: waiter.query, Known: true, Reason: p.EndReason})
	}
	delete(l.endWaiters, p.Key)
}

// cancelOnRequest cancels a call for its caller. While the call's acceptance is
// being recorded there is no answer; the sender asks again.
func (l *leader) cancelOnRequest(from structs.DaemonID, request *CancelCall) {
	if active := l.calls[callKey{request.Key, request.RequestID}]; active != nil {
		l.cancelCall(active)
		if active.stage == stageProposed {
			return
		}
	}
	l.leadership.Confirm(func(err error) {
		if err != nil || l.stopped {
			return
		}
		answer := &CallCancelled{Query: request.Query}
		if p := l.machine.Program(request.Key); p != nil {
			answer.Request = l.requestStatus(p, request.RequestID)
		}
		l.Transport.Send(from, answer)
	})
}
