package scenario

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
)

// TestReportKeepsItsFixedForm compares a report's keys with those that external
// readers rely on.
func TestReportKeepsItsFixedForm(t *testing.T) {
	report := Report{Violations: map[checker.Violation]int{checker.CallOrder: 2, checker.EngineOrderConflict: 1}}
	data, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	var fields struct {
		Violations map[string]int `json:"violations"`
		Further    map[string]int `json:"further_violations"`
	}
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"answer_incomplete", "budget_exceeded", "call_order", "configuration_late", "configuration_reverted",
		"engine_memory_leaked", "history_lost", "history_mixed", "ran_more_than_once", "refusal_was_run",
		"stop_cut_request", "work_to_leaving_backend",
	}
	if diff := cmp.Diff(want, slices.Sorted(maps.Keys(fields.Violations))); diff != "" {
		t.Error(diff)
	}
	if fields.Violations["call_order"] != 2 || fields.Further["engine_order_conflict"] != 1 {
		t.Errorf("%+v", fields)
	}
}
