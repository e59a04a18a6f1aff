// Package checker watches a simulated fleet from outside: what callers were
// told, what engines and application back ends did, and which configuration
// an operator would have read at each daemon. It never asks a daemon about
// itself otherwise, and shares no state with one.
package checker

import (
	"fmt"
	"time"
)

// Violation names a promise that was broken.
type Violation string

// Violations.
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

// FixedViolations returns the violations that every report names, in its order.
func FixedViolations() []Violation {
	return []Violation{
		CallOrder, HistoryLost, HistoryMixed, BudgetExceeded, EngineMemoryLeaked,
		AnswerIncomplete, RefusalWasRun, RanMoreThanOnce, WorkToLeavingBackEnd,
		StopCutRequest, ConfigurationLate, ConfigurationReverted,
	}
}

// FurtherViolations returns the violations that were added since, which a report names
// apart so that readers of its fixed part find what they know.
func FurtherViolations() []Violation { return []Violation{EngineOrderConflict} }

// All returns every violation.
func All() []Violation { return append(FixedViolations(), FurtherViolations()...) }

// Finding is one broken promise with what shows it.
type Finding struct {
	Violation Violation
	At        time.Time
	Detail    string
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s", f.At.Format("15:04:05.000"), f.Violation, f.Detail)
}
