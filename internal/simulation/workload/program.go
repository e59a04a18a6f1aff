package workload

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// refusedTries bounds how often a caller comes back after refusals.
	refusedTries = 12
	// failedTries bounds how often it makes a failed call again.
	failedTries = 3
	// comeBackPause is the least pause before coming back after a refusal.
	comeBackPause = 500 * time.Millisecond
	// impatientPause is the least pause of an impatient caller.
	impatientPause = 100 * time.Millisecond
	// repeatedCalls bounds a looping program that nobody stops.
	repeatedCalls = 60
)

// End is how a program ended for its caller.
type End int

// Ends of a program.
const (
	EndNone End = iota
	EndCompleted
	EndRefused
	EndFailed
	EndUnknown
	// EndLost: the caller never came back.
	EndAbandoned
)

// program is a caller's program under way.
type program struct {
	callers *Callers
	plan    *Plan
	step    int
	issued  int
	// consumed counts sequence numbers that are certainly taken; uncertain is
	// set once a refusal left open whether it took one.
	consumed  uint64
	uncertain bool
	// conversation is what the caller would send as the whole history.
	conversation []structs.Message
	refusals     int
	failures     int
	inFlight     int
	end          End
	onEnd        func()
	// failedEarlier is set when a pipelined call before was not completed.
	failedEarlier *structs.Outcome
}

func (p *program) next() {
	if p.end != EndNone {
		return
	}
	if p.step >= len(p.plan.Steps) {
		p.finish(EndCompleted)
		return
	}
	step := &p.plan.Steps[p.step]
	p.callers.cluster.After(step.Pause, func() {
		if step.Abandoned {
			p.finish(EndAbandoned)
			return
		}
		p.runChildren(step)
	})
}

func (p *program) runChildren(step *Step) {
	waiting := len(step.Children)
	if waiting == 0 {
		p.issueStep()
		return
	}
	for _, child := range step.Children {
		p.callers.start(child, func() {
			waiting--
			if waiting == 0 {
				p.issueStep()
			}
		})
	}
}

func (p *program) issueStep() {
	if p.end != EndNone {
		return
	}
	step := &p.plan.Steps[p.step]
	pipelined := step.Pipelined && !p.uncertain && p.step+1 < len(p.plan.Steps)
	if !pipelined {
		p.step++
		p.issue(step, 0, p.step == len(p.plan.Steps), p.settled)
		return
	}
	second := &p.plan.Steps[p.step+1]
	p.step += 2
	base := p.consumed
	p.failedEarlier = nil
	p.issue(step, base+1, false, func(request structs.Call, outcome structs.Outcome) {
		if outcome.Status != structs.OutcomeCompleted {
			p.failedEarlier = &outcome
		}
		p.record(request, outcome)
	})
	p.issue(second, base+2, p.step == len(p.plan.Steps), func(request structs.Call, outcome structs.Outcome) {
		if p.failedEarlier != nil {
			p.uncertain = true
		}
		p.settled(request, outcome)
	})
}

// issue makes one call. sequence 0 lets the fleet number it.
func (p *program) issue(step *Step, sequence uint64, last bool, done func(structs.Call, structs.Outcome)) {
	p.issued++
	p.inFlight++
	call := structs.Call{
		Key:        p.plan.Key,
		Template:   p.plan.Template,
		RequestID:  structs.RequestID(fmt.Sprintf("r%d", p.issued)),
		Sequence:   sequence,
		Kind:       step.Kind,
		Repeatable: step.Repeatable,
		EndProgram: last && !step.Repeated,
		TraceID:    fmt.Sprintf("%s-%d", p.plan.Key.Program, p.issued),
	}
	if step.Deadline > 0 {
		call.Deadline = p.callers.cluster.Clock.Now().Add(step.Deadline)
	}
	p.fill(&call, step)
	p.callers.issue(call, step.Duplicate, func(outcome structs.Outcome) {
		p.inFlight--
		done(call, outcome)
	})
}

func (p *program) fill(call *structs.Call, step *Step) {
	if step.Kind != structs.CallModel {
		call.Target = Target
		call.Operation = "update"
		call.Body = fmt.Appendf(nil, "%s %s", call.Key, call.RequestID)
		return
	}
	call.Model = Model
	text := fmt.Sprintf("%s %s [[tokens=%d]]", call.Key, call.RequestID, step.Tokens)
	if step.Repeated {
		text = fmt.Sprintf("%s again [[tokens=%d]]", call.Key, step.Tokens)
	}
	call.History = structs.HistoryAppend
	call.Messages = []structs.Message{{Role: "user", Content: text}}
	if step.FullHistory && p.inFlight == 1 && call.Sequence == 0 {
		call.History = structs.HistoryFull
		call.Messages = append(append([]structs.Message{}, p.conversation...), call.Messages...)
	}
}

// record keeps what an outcome means for what the caller knows.
func (p *program) record(call structs.Call, outcome structs.Outcome) {
	if outcome.Status != structs.OutcomeCompleted {
		p.uncertain = true
		return
	}
	p.consumed++
	if call.Kind == structs.CallModel {
		p.conversation = append(p.conversation, call.Messages[len(call.Messages)-1], outcome.Answer)
	}
}

// settled goes on after an outcome.
func (p *program) settled(call structs.Call, outcome structs.Outcome) {
	p.record(call, outcome)
	step := &p.plan.Steps[p.step-1]
	switch outcome.Status {
	case structs.OutcomeCompleted:
		p.refusals, p.failures = 0, 0
		if step.Repeated && p.issued < repeatedCalls {
			p.issue(step, 0, false, p.settled)
			return
		}
		p.next()
	case structs.OutcomeNotRun:
		p.refused(step, outcome)
	case structs.OutcomeFailed, structs.OutcomeCancelled:
		p.failures++
		if p.failures >= failedTries {
			p.finish(EndFailed)
			return
		}
		p.again(step, outcome)
	case structs.OutcomeUnknown:
		p.finish(EndUnknown)
	}
}

// refused comes back later with a new request, unless that is of no use.
func (p *program) refused(step *Step, outcome structs.Outcome) {
	p.refusals++
	switch outcome.Reason {
	case structs.ReasonBudgetExhausted, structs.ReasonProgramEnded, structs.ReasonTurnLimit,
		structs.ReasonTimeLimit, structs.ReasonRepetitionLimit, structs.ReasonUnknownProgram:
		p.finish(EndRefused)
		return
	}
	if p.refusals >= refusedTries && !p.callers.Impatient {
		p.finish(EndRefused)
		return
	}
	p.again(step, outcome)
}

func (p *program) again(step *Step, outcome structs.Outcome) {
	pause := max(outcome.RetryAfter, comeBackPause)
	if p.callers.Impatient {
		pause = impatientPause
	}
	pause += time.Duration(p.callers.random.Int64N(int64(pause)))
	p.callers.cluster.After(pause, func() {
		if p.end == EndNone {
			p.issue(step, 0, p.step == len(p.plan.Steps), p.settled)
		}
	})
}

func (p *program) finish(end End) {
	if p.end != EndNone {
		return
	}
	p.end = end
	p.callers.ended(p)
	if p.onEnd != nil {
		p.onEnd()
	}
}
