package checker

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/framework"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// checkOrder checks the order of a program's calls at the back ends: a call may
// start only after every earlier completed call has ended there. Calls that
// were refused or cancelled, or whose outcome is unknown, have no end to
// compare with.
func (c *Checker) checkOrder(p *programRecord) {
	for i, later := range p.calls {
		started, ran := later.firstStart()
		if !ran {
			continue
		}
		for _, earlier := range p.calls[:i] {
			ended, completed := earlier.firstCompletion()
			if completed && ended.After(started) && earlier.answeredCompleted() {
				c.Report(CallOrder, "%s: call %s started %s before call %s had ended: %s", p.key, later.call.RequestID, ended.Sub(started), earlier.call.RequestID, describeRuns(earlier.runs))
			}
		}
	}
}

func (r *callRecord) firstStart() (time.Time, bool) {
	var first time.Time
	for _, run := range r.runs {
		if first.IsZero() || run.startedAt.Before(first) {
			first = run.startedAt
		}
	}
	return first, len(r.runs) > 0
}

func (r *callRecord) firstCompletion() (time.Time, bool) {
	var first time.Time
	for _, run := range r.runs {
		if run.kind == framework.EndCompleted && (first.IsZero() || run.endedAt.Before(first)) {
			first = run.endedAt
		}
	}
	return first, !first.IsZero()
}

func (r *callRecord) answeredCompleted() bool {
	for _, a := range r.answers {
		if a.outcome.Status == structs.OutcomeCompleted {
			return true
		}
	}
	return false
}
