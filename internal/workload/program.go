// Package workload generates the programs of the two users from a seed:
// arrival times, prompt and answer lengths, pauses of tools and people, and
// sub-agents. Only the shape of a program is generated ahead; its next call
// depends on the previous answer. Traces can be saved as JSON lines and
// replayed.
package workload

import (
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Turn is one model call of a program and what follows its answer.
type Turn struct {
	// InputTokens is the length of the new message: a question, or what a
	// tool answered.
	InputTokens int64 `json:"input_tokens"`
	// AnswerTokens is the length of the answer.
	AnswerTokens int64 `json:"answer_tokens"`
	// PauseSeconds is the time between the answer and the next call, while a
	// tool works or a person reads. It is 0 for the last turn.
	PauseSeconds float64 `json:"pause_seconds,omitempty"`
	// SubAgents start when the answer is complete; the next call waits for all
	// of them and for the pause.
	SubAgents []Program `json:"sub_agents,omitempty"`
}

// Program is one agent program.
type Program struct {
	ID       structs.ProgramID    `json:"id"`
	Tenant   structs.TenantName   `json:"tenant"`
	Template structs.TemplateName `json:"template"`
	// ArrivalSeconds is the time of the first call, from the start of the
	// trace. It is unused for sub-agents.
	ArrivalSeconds float64 `json:"arrival_seconds"`
	Turns          []Turn  `json:"turns"`
}

// Calls returns the number of calls of a program, including its sub-agents.
func (p *Program) Calls() int {
	calls := len(p.Turns)
	for i := range p.Turns {
		for j := range p.Turns[i].SubAgents {
			calls += p.Turns[i].SubAgents[j].Calls()
		}
	}
	return calls
}

// Trace is the sequence of programs that one run replays.
type Trace struct {
	// Workload is the shape's name, Seed the seed of its generation.
	Workload string
	Seed     uint64
	// Rate is the mean arrival rate in programs per second.
	Rate     float64
	Programs []Program
}
