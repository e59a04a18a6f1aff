package experiment

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
	"github.com/mintpulley/mintpulley/internal/workload"
)

const (
	// endTimeout limits the request that ends a program.
	endTimeout = 10 * time.Second
	// minimumRetry is the minimum delay before a refused call is retried.
	minimumRetry = 500 * time.Millisecond
)

// programRun is the caller of one program: it sends the next call once it has
// the answer, the tool's result and the sub-agents' results.
type programRun struct {
	run     *run
	program *workload.Program
	turn    int
	tries   int
	// pending counts the results that the next call waits for.
	pending   int
	startedAt time.Time
	done      func()
}

func (p *programRun) start() {
	p.startedAt = p.run.fleet.clock.Now()
	p.call()
}

func (p *programRun) key() structs.ProgramKey {
	return structs.ProgramKey{Tenant: p.program.Tenant, Program: p.program.ID}
}

func (p *programRun) call() {
	turn := &p.program.Turns[p.turn]
	p.tries++
	p.run.fleet.submitter.Submit(structs.Call{
		Key:           p.key(),
		Template:      p.program.Template,
		RequestID:     structs.RequestID(fmt.Sprintf("%d-%d", p.turn+1, p.tries)),
		Kind:          structs.CallModel,
		Repeatable:    true,
		History:       structs.HistoryAppend,
		Model:         p.run.fleet.shape.Model,
		Messages:      []structs.Message{p.message(turn)},
		MaximumTokens: turn.AnswerTokens,
	}, p)
}

// message returns the next question or tool result, with a directive that
// tells the engine model the length of its answer.
func (p *programRun) message(turn *workload.Turn) structs.Message {
	directive := fmt.Sprintf("[[tokens=%d]] ", turn.AnswerTokens)
	line := fmt.Sprintf("Program %s, message %d. ", p.program.ID, p.turn+1)
	text := workload.Text(line, max(turn.InputTokens-int64(len(directive))/4, 1))
	return structs.Message{Role: "user", Content: directive + text}
}

// Chunks implements submit.Caller.
func (p *programRun) Chunks([]structs.Chunk) {}

// Outcome implements submit.Caller.
func (p *programRun) Outcome(outcome structs.Outcome) {
	if outcome.Status != structs.OutcomeCompleted {
		p.run.refusals++
		p.run.fleet.clock.AfterFunc(max(outcome.RetryAfter, minimumRetry), p.call)
		return
	}
	turn := &p.program.Turns[p.turn]
	if p.turn == len(p.program.Turns)-1 {
		p.end()
		return
	}
	p.turn++
	p.pending = 1 + len(turn.SubAgents)
	pause := time.Duration(turn.PauseSeconds * float64(time.Second))
	p.run.fleet.clock.AfterFunc(pause, p.dependencyDone)
	for i := range turn.SubAgents {
		child := &programRun{run: p.run, program: &turn.SubAgents[i], done: p.dependencyDone}
		child.start()
	}
}

// dependencyDone records that one of the results for the next call has
// arrived.
func (p *programRun) dependencyDone() {
	p.pending--
	if p.pending == 0 {
		p.call()
	}
}

// end tells the daemon that the program makes no further call, which only the
// caller knows.
func (p *programRun) end() {
	p.run.fleet.queries.EndProgram(p.key(), endTimeout, ignoreEnd)
	p.done()
}
