package dispatch

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// send sends the call to its back end.
func (l *leader) send(active *activeCall, plan intent) {
	if active.cancelled {
		active.disproved = !active.mayHaveRun
		l.settleCancelled(active)
		return
	}
	active.stage = stageRunning
	active.mayHaveRun = true
	active.generation++
	active.startedAt = l.Clock.Now()
	active.lastProgressAt = active.startedAt
	active.firstChunkAt = time.Time{}
	if active.call.Kind != structs.CallModel {
		l.sendApplication(active, plan)
		return
	}
	l.sendModel(active, plan)
}

func (l *leader) sendModel(active *activeCall, plan intent) {
	p := l.machine.Program(active.key)
	if p == nil {
		return
	}
	request := framework.EngineRequest{
		Engine:        plan.backEnd,
		Attempt:       structs.NewAttemptID(active.key, active.call.RequestID),
		Epoch:         l.fenceOf(active, plan.dispatch),
		Model:         active.call.Model,
		Adapter:       active.call.Adapter,
		Messages:      l.promptOf(p, active.call),
		Parameters:    active.call.Parameters,
		AnswerPrefix:  active.text.String(),
		MaximumTokens: plan.reservation.MaximumTokens,
		Priority:      active.assignment.EnginePriority,
		Hold:          plan.hold,
		Discard:       active.assignment.Discard || active.call.EndProgram,
		Program:       active.key,
		Deadline:      active.call.Deadline,
	}
	active.stream = l.Drivers.Engines.Start(request, &observer{active: active, generation: active.generation})
}

// promptOf returns the whole prompt of a call.
func (l *leader) promptOf(p *program.Program, call *structs.Call) []structs.Message {
	if l.Guards.SkipIsolation {
		for _, other := range l.machine.Programs() {
			if other.Key != p.Key && other.History.Len() > 0 {
				return other.Prompt(call)
			}
		}
	}
	return p.Prompt(call)
}
