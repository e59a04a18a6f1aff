// Package checker checks a simulated fleet from outside: what callers received,
// what engines and application back ends ran, and which configuration an
// operator reads from each daemon. It uses no other state of the daemons and
// shares none with them.
package checker

import (
	"fmt"
	"time"
)

// Violation names a guarantee that was broken.
type Violation string

const (
	CallOrder             Violation = "call_order"
	HistoryLost           Violation = "history_lost"
	HistoryMixed          Violation = "history_mixed"
	BudgetExceeded        Violation = "budget_exceeded"
	EngineMemoryLeaked    Violation = "engine_memory_leaked"
	AnswerIncomplete      Violation = "answer_incomplete"
	RefusalWasRun         Violation = "refusal_was_run"
	RanMoreThanOnce       Violation = "ran_more_than_once"
	WorkToLeavingBackEnd  Violation = "work_to_leaving_backend"
	StopCutRequest        Violation = "stop_cut_request"
	ConfigurationLate     Violation = "configuration_late"
	ConfigurationReverted Violation = "configuration_reverted"
	EngineOrderConflict   Violation = "engine_order_conflict"
)

// FixedViolations returns the violations in the fixed part of every report, in
// the report's order.
func FixedViolations() []Violation {
	return []Violation{
		CallOrder, HistoryLost, HistoryMixed, BudgetExceeded, EngineMemoryLeaked,
		AnswerIncomplete, RefusalWasRun, RanMoreThanOnce, WorkToLeavingBackEnd,
		StopCutRequest, ConfigurationLate, ConfigurationReverted,
	}
}

// FurtherViolations returns the violations that were added later. Reports list
// them separately so that the fixed part keeps its form.
func FurtherViolations() []Violation { return []Violation{EngineOrderConflict} }

// All returns every violation.
func All() []Violation { return append(FixedViolations(), FurtherViolations()...) }

// Finding is one violation with its time and evidence.
type Finding struct {
	Violation Violation
	At        time.Time
	Detail    string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s", f.At.Format("15:04:05.000"), f.Violation, f.Detail)
}
