package workload

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// maxRefusals limits how often a caller retries a refused call.
	maxRefusals = 12
	// maxFailures limits how often it retries a failed call.
	maxFailures = 3
	// minRetryDelay is the minimum delay before a retry.
	minRetryDelay = 500 * time.Millisecond
	// impatientRetryDelay is the minimum delay of an impatient caller.
	impatientRetryDelay = 100 * time.Millisecond
	// maxRepeatedCalls limits a looping program that the fleet does not stop.
	maxRepeatedCalls = 60
)

// End is how a program ended for its caller.
type End int

const (
	EndNone End = iota
	EndCompleted
	EndRefused
	EndFailed
	EndUnknown
	// EndAbandoned means that the caller never returned.
	EndAbandoned
)

// program is the state of a running program at its caller.
type program struct {
	callers *Callers
	plan    *Plan
	step    int
	issued  int
	// consumed counts the sequence numbers that are certainly used; uncertain
	// is set once an outcome leaves open whether its call used one.
	consumed  uint64
	uncertain bool
	// conversation is the whole history as the caller knows it.
	conversation []structs.Message
	refusals     int
	failures     int
	inFlight     int
	end          End
	onEnd        func()
	// previousFailure is the outcome of the first of two pipelined calls if it
	// was not completed.
	previousFailure *structs.Outcome
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
	remaining := len(step.Children)
	if remaining == 0 {
		p.issueStep()
		return
	}
	for _, child := range step.Children {
		p.callers.start(child, func() {
			remaining--
			if remaining == 0 {
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
		p.issue(step, 0, p.step == len(p.plan.Steps), p.handleOutcome)
		return
	}
	second := &p.plan.Steps[p.step+1]
	p.step += 2
	base := p.consumed
	p.previousFailure = nil
	p.issue(step, base+1, false, func(request structs.Call, outcome structs.Outcome) {
		if outcome.Status != structs.OutcomeCompleted {
			p.previousFailure = &outcome
		}
		p.recordOutcome(request, outcome)
	})
	p.issue(second, base+2, p.step == len(p.plan.Steps), func(request structs.Call, outcome structs.Outcome) {
		if p.previousFailure != nil {
			p.uncertain = true
		}
		p.handleOutcome(request, outcome)
	})
}

// issue makes one call. With sequence 0 the fleet assigns the sequence number.
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
	p.setContent(&call, step)
	p.callers.issue(call, step.Duplicate, func(outcome structs.Outcome) {
		p.inFlight--
		done(call, outcome)
	})
}

func (p *program) setContent(call *structs.Call, step *Step) {
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

// recordOutcome updates what the caller knows of the conversation and its
// sequence numbers.
func (p *program) recordOutcome(call structs.Call, outcome structs.Outcome) {
	if outcome.Status != structs.OutcomeCompleted {
		p.uncertain = true
		return
	}
	p.consumed++
	if call.Kind == structs.CallModel {
		p.conversation = append(p.conversation, call.Messages[len(call.Messages)-1], outcome.Answer)
	}
}

// handleOutcome continues the program after an outcome.
func (p *program) handleOutcome(call structs.Call, outcome structs.Outcome) {
	p.recordOutcome(call, outcome)
	step := &p.plan.Steps[p.step-1]
	switch outcome.Status {
	case structs.OutcomeCompleted:
		p.refusals, p.failures = 0, 0
		if step.Repeated && p.issued < maxRepeatedCalls {
			p.issue(step, 0, false, p.handleOutcome)
			return
		}
		p.next()
	case structs.OutcomeNotRun:
		p.handleRefusal(step, outcome)
	case structs.OutcomeFailed, structs.OutcomeCancelled:
		p.failures++
		if p.failures >= maxFailures {
			p.finish(EndFailed)
			return
		}
		p.retry(step, outcome)
	case structs.OutcomeUnknown:
		p.finish(EndUnknown)
	}
}

// handleRefusal retries later with a new request, unless the reason is
// permanent.
func (p *program) handleRefusal(step *Step, outcome structs.Outcome) {
	p.refusals++
	switch outcome.Reason {
	case structs.ReasonBudgetExhausted, structs.ReasonProgramEnded, structs.ReasonTurnLimit,
		structs.ReasonTimeLimit, structs.ReasonRepetitionLimit, structs.ReasonUnknownProgram:
		p.finish(EndRefused)
		return
	}
	if p.refusals >= maxRefusals && !p.callers.Impatient {
		p.finish(EndRefused)
		return
	}
	p.retry(step, outcome)
}

func (p *program) retry(step *Step, outcome structs.Outcome) {
	pause := max(outcome.RetryAfter, minRetryDelay)
	if p.callers.Impatient {
		pause = impatientRetryDelay
	}
	pause += time.Duration(p.callers.random.Int64N(int64(pause)))
	p.callers.cluster.After(pause, func() {
		if p.end == EndNone {
			p.issue(step, 0, p.step == len(p.plan.Steps), p.handleOutcome)
		}
	})
}

func (p *program) finish(end End) {
	if p.end != EndNone {
		return
	}
	p.end = end
	p.callers.programEnded(p)
	if p.onEnd != nil {
		p.onEnd()
	}
}
