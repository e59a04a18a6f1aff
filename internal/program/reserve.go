package program

import (
	"fmt"
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Reservation is the worst-case usage and cost of one attempt.
type Reservation struct {
	Cost          structs.Cost
	PromptTokens  int64
	MaximumTokens int64
}

// PromptBound returns an upper bound on a call's prompt tokens: what the engine last
// counted, plus the byte length of everything newer.
func (p *Program) PromptBound(call *structs.Call) int64 {
	// Tool definitions in the parameters become part of the prompt.
	parameters := int64(len(call.Parameters))
	if p.HistoryTokens > 0 {
		return p.HistoryTokens + parameters + prefix.UpperBound(call.Messages)
	}
	return parameters + prefix.UpperBound(p.Prompt(call))
}

// Attempt is the input of Reserve.
type Attempt struct {
	Call  *structs.Call
	Price structs.Price
	// ContextTokens bounds prompt and answer together; 0 means no bound.
	ContextTokens int64
	// AnswerPrefix is answer text of a lost attempt, which becomes part of this
	// attempt's prompt.
	AnswerPrefix string
	// Freed is the reservation of a former attempt that did not run, which the same
	// record releases.
	Freed structs.Cost
}

// Reserve computes the worst case of an attempt and checks it against the remaining
// budget of its family, or returns the refusal. If the caller sets no limit for the
// answer, it is limited to what the budget allows.
func (s *Shard) Reserve(program *Program, attempt Attempt) (Reservation, *structs.Outcome) {
	call, price := attempt.Call, attempt.Price
	remaining := s.Remaining(program.Key) + attempt.Freed
	if call.Kind != structs.CallModel {
		return reserveFixed(price, remaining)
	}
	prompt := program.PromptBound(call) + int64(len(attempt.AnswerPrefix))
	maximum := answerLimit(program.Limits, call.MaximumTokens) - prefix.TextTokens(attempt.AnswerPrefix)
	maximum = max(maximum, 1)
	if context := attempt.ContextTokens; context > 0 {
		maximum = min(maximum, context-prompt)
	}
	if maximum < 1 {
		refusal := structs.Refused(structs.ReasonInvalidRequest, "messages",
			fmt.Sprintf("A prompt of up to %d tokens leaves no room for an answer in a context of %d.", prompt, attempt.ContextTokens), 0)
		return Reservation{}, &refusal
	}
	cost := price.Of(structs.Usage{PromptTokens: prompt, CompletionTokens: maximum})
	if cost > remaining && call.MaximumTokens == 0 && price.Completion > 0 {
		affordable := int64((remaining - price.Of(structs.Usage{PromptTokens: prompt})) / price.Completion)
		maximum = min(maximum, affordable)
		cost = price.Of(structs.Usage{PromptTokens: prompt, CompletionTokens: maximum})
	}
	if cost > remaining || maximum < 1 {
		return Reservation{}, overBudget(cost, remaining)
	}
	return Reservation{Cost: cost, PromptTokens: prompt, MaximumTokens: maximum}, nil
}

func reserveFixed(price structs.Price, remaining structs.Cost) (Reservation, *structs.Outcome) {
	if price.Call > remaining {
		return Reservation{}, overBudget(price.Call, remaining)
	}
	return Reservation{Cost: price.Call}, nil
}

func overBudget(cost, remaining structs.Cost) *structs.Outcome {
	refusal := structs.Refused(structs.ReasonBudgetExhausted, "budget",
		fmt.Sprintf("The call may cost %d; the program has %d left.", cost, max(remaining, 0)), 0)
	return &refusal
}

// DefaultAnswerTokens bounds an answer when neither the call nor the template does.
const DefaultAnswerTokens = 1024

func answerLimit(limits structs.Limits, wanted int64) int64 {
	limit := limits.AnswerTokens
	if limit == 0 {
		limit = DefaultAnswerTokens
	}
	if wanted > 0 {
		return min(limit, wanted)
	}
	return limit
}

// Expired returns the records that end programs past their wall or idle time, and
// those that remove ended programs after their retention once they have no open call,
// no hold and no child.
func (s *Shard) Expired(now time.Time, retention time.Duration) []structs.Record {
	var records []structs.Record
	programs := s.Programs()
	isParent := make(map[structs.ProgramKey]bool, len(programs))
	for _, program := range programs {
		isParent[program.Key.Parent()] = true
	}
	for _, program := range programs {
		record, due := program.expiry(now, retention)
		keepsFamilyBudget := record.ProgramRemoved != nil && isParent[program.Key]
		if due && !keepsFamilyBudget {
			records = append(records, record)
		}
	}
	return records
}

func (p *Program) expiry(now time.Time, retention time.Duration) (structs.Record, bool) {
	if p.Ended {
		forgotten := len(p.Open) == 0 && len(p.Holds) == 0 && now.Sub(p.EndedAt) >= retention
		return structs.Record{At: now, ProgramRemoved: &structs.ProgramRemoved{Key: p.Key}}, forgotten
	}
	if p.Limits.WallTime > 0 && now.Sub(p.StartedAt) >= p.Limits.WallTime {
		return EndRecord(p.Key, structs.ReasonTimeLimit, now), true
	}
	idle := len(p.Open) == 0 && p.Children == 0
	if idle && p.Gap != GapNone && now.Sub(p.ActiveAt) >= RecoveryWindow {
		return EndRecord(p.Key, structs.ReasonRecordsLost, now), true
	}
	if idle && p.Limits.IdleTime > 0 && now.Sub(p.ActiveAt) >= p.Limits.IdleTime {
		return EndRecord(p.Key, structs.ReasonTimeLimit, now), true
	}
	return structs.Record{}, false
}
