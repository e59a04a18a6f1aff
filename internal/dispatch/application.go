package dispatch

import (
	"fmt"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// beginApplication chooses a back end for an application or tool call.
func (l *leader) beginApplication(p *program.Program, active *activeCall) {
	backEnd, found := l.Directory.Application(active.call.Target, active.avoid)
	if !found {
		refusal := structs.Refused(structs.ReasonNoEngine, "target",
			fmt.Sprintf("No live machine serves %q.", active.call.Target), retryWithoutBackEnd)
		l.recordStep(active.key, active.call.RequestID, "refuse", refusal.Message)
		l.settle(active, l.amendIfMayHaveRun(active, refusal))
		return
	}
	l.recordStep(active.key, active.call.RequestID, "route", fmt.Sprintf("Back end %s.", backEnd))
	l.recordIntent(active, intent{backEnd: backEnd, price: l.priceOf(p, active.call)})
}

func (l *leader) sendApplication(active *activeCall, plan intent) {
	generation := active.generation
	request := framework.ApplicationRequest{
		BackEnd:    plan.backEnd,
		Attempt:    structs.NewAttemptID(active.key, active.call.RequestID),
		Program:    active.key,
		Epoch:      l.fenceOf(active, plan.dispatch),
		Operation:  active.call.Operation,
		Body:       active.call.Body,
		Repeatable: active.call.Repeatable,
		Deadline:   active.call.Deadline,
	}
	l.Drivers.Applications.Invoke(request, func(end framework.AttemptEnd) {
		l.post(func() {
			if active.generation == generation {
				l.attemptEnded(active, end)
			}
		})
	})
}
