package dispatch

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// decisionsPerProgram bounds the decisions kept per program.
const decisionsPerProgram = 64

// decisionLog keeps the latest decisions of each program for operators. It is
// not replicated: after a takeover it starts empty.
type decisionLog struct {
	programs map[structs.ProgramKey][]structs.Decision
}

func newDecisionLog() *decisionLog {
	return &decisionLog{programs: map[structs.ProgramKey][]structs.Decision{}}
}

func (d *decisionLog) add(key structs.ProgramKey, decision structs.Decision) {
	kept := d.programs[key]
	if len(kept) >= decisionsPerProgram {
		kept = append(kept[:0:0], kept[1:]...)
	}
	d.programs[key] = append(kept, decision)
}

func (d *decisionLog) forget(key structs.ProgramKey) { delete(d.programs, key) }

// of returns the decisions of a program, oldest first.
func (d *decisionLog) of(key structs.ProgramKey) []structs.Decision { return d.programs[key] }

// recordStep records a step of a call with its reason.
func (l *leader) recordStep(key structs.ProgramKey, request structs.RequestID, step, detail string) {
	l.recordDecision(key, structs.Decision{At: l.Clock.Now(), RequestID: request, Step: step, Detail: detail})
}

// recordDecision keeps a decision and logs it with the request's trace, which
// connects the log lines of all daemons about the request.
func (l *leader) recordDecision(key structs.ProgramKey, decision structs.Decision) {
	l.decisions.add(key, decision)
	event := l.Logger.Info()
	if !event.Enabled() {
		return
	}
	trace := ""
	if active := l.calls[callKey{key, decision.RequestID}]; active != nil {
		trace = active.call.TraceID
	}
	event.Str("step", decision.Step).Str("tenant", string(key.Tenant)).Str("program", string(key.Program)).
		Str("request", string(decision.RequestID)).Str("trace", trace).Uint32("shard", uint32(l.shard)).
		Str("detail", decision.Detail).Msg("Decision.")
}
