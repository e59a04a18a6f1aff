// Package workload simulates the callers and operators of a fleet. It sees only
// what a real client sees: chunks, outcomes and broken connections.
package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Step is one planned call of a program.
type Step struct {
	Kind       structs.CallKind
	Repeatable bool
	// Pause is the time that the caller's tool takes before the call.
	Pause time.Duration
	// Tokens is the length of the model's answer in tokens.
	Tokens int
	// Children are sub-agents that run to completion before the call.
	Children []*Plan
	// Pipelined issues the next call without waiting for this one's outcome.
	Pipelined bool
	// Duplicate sends the call to two daemons at once.
	Duplicate bool
	// Repeated makes the same call again until it is refused.
	Repeated bool
	// Abandoned ends the program before this call: the caller's tool hangs, and
	// the caller never returns.
	Abandoned bool
	// Deadline is how long the caller waits for the call; 0 sets no deadline.
	Deadline time.Duration
	// FullHistory sends the whole conversation instead of only the new
	// messages.
	FullHistory bool
}

// Plan is the planned sequence of calls of a program.
type Plan struct {
	Key      structs.ProgramKey
	Template structs.TemplateName
	Steps    []Step
}

// Shape is the distribution from which plans are drawn.
type Shape struct {
	// Turns is the maximum number of calls of one program.
	Turns int
	// Pause is the maximum time of a tool.
	Pause time.Duration
	// Application, Duplicate, Pipelined, SubAgents, Abandoned, Looping,
	// FullHistory and Deadline are the probabilities of each.
	Application float64
	Duplicate   float64
	Pipelined   float64
	SubAgents   float64
	Abandoned   float64
	Looping     float64
	FullHistory float64
	Deadline    float64
	// Tokens is the maximum length of an answer.
	Tokens int
}

// Range of the deadlines that callers set.
const (
	shortestDeadline = 200 * time.Millisecond
	longestDeadline  = 8 * time.Second
)

// DefaultShape returns a shape with a low probability of each feature.
func DefaultShape() Shape {
	return Shape{
		Turns:       6,
		Pause:       2 * time.Second,
		Application: 0.3,
		Duplicate:   0.1,
		Pipelined:   0.1,
		SubAgents:   0.15,
		Abandoned:   0.02,
		Looping:     0.02,
		FullHistory: 0.3,
		Deadline:    0.1,
		Tokens:      60,
	}
}

// Draw returns a random plan. Only root programs have sub-agents.
func (s Shape) Draw(random *rand.Rand, key structs.ProgramKey, template structs.TemplateName) *Plan {
	plan := &Plan{Key: key, Template: template}
	turns := 1 + random.IntN(s.Turns)
	for turn := range turns {
		step := s.step(random)
		last := turn == turns-1
		step.Pipelined = step.Pipelined && !last && !step.Duplicate
		step.Abandoned = step.Abandoned && turn > 0
		step.Repeated = step.Repeated && turn > 0
		if key.Program.Parent() == "" && turn > 0 && random.Float64() < s.SubAgents {
			for child := range 1 + random.IntN(2) {
				step.Children = append(step.Children, s.child(random, key, template, turn, child))
			}
		}
		plan.Steps = append(plan.Steps, step)
	}
	return plan
}

func (s Shape) child(random *rand.Rand, parent structs.ProgramKey, template structs.TemplateName, turn, number int) *Plan {
	key := structs.ProgramKey{
		Tenant:  parent.Tenant,
		Program: structs.ProgramID(fmt.Sprintf("%s/c%d-%d", parent.Program, turn, number)),
	}
	small := s
	small.Turns = 2
	small.Looping = 0
	return small.Draw(random, key, template)
}

func (s Shape) step(random *rand.Rand) Step {
	step := Step{
		Kind:        structs.CallModel,
		Pause:       time.Duration(random.Int64N(int64(s.Pause) + 1)),
		Tokens:      1 + random.IntN(s.Tokens),
		Duplicate:   random.Float64() < s.Duplicate,
		Pipelined:   random.Float64() < s.Pipelined,
		Abandoned:   random.Float64() < s.Abandoned,
		Repeated:    random.Float64() < s.Looping,
		FullHistory: random.Float64() < s.FullHistory,
	}
	if random.Float64() < s.Deadline {
		step.Deadline = shortestDeadline + time.Duration(random.Int64N(int64(longestDeadline)))
	}
	if random.Float64() < s.Application {
		step.Kind = structs.CallApplication
		step.Repeatable = random.Float64() < 0.3
	}
	return step
}
