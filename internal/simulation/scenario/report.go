package scenario

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
)

// Report is the result of one run, in the form that design.md fixes.
type Report struct {
	Scenario       string                    `json:"scenario"`
	Seed           uint64                    `json:"seed"`
	TraceHash      string                    `json:"trace_hash"`
	VirtualSeconds float64                   `json:"virtual_seconds"`
	Programs       ProgramCounts             `json:"programs"`
	Calls          CallCounts                `json:"calls"`
	Faults         map[string]int            `json:"faults"`
	Violations     map[checker.Violation]int `json:"-"`
	Recovery       Recovery                  `json:"recovery"`
	// Findings say what shows each violation.
	Findings []checker.Finding `json:"-"`
}

// MarshalJSON implements json.Marshaler: the violations that were added to the
// fixed ones stand apart.
func (r Report) MarshalJSON() ([]byte, error) {
	type fixed Report
	return json.Marshal(struct {
		fixed
		Violations map[checker.Violation]int `json:"violations"`
		Further    map[checker.Violation]int `json:"further_violations"`
	}{fixed(r), r.count(checker.FixedViolations()), r.count(checker.FurtherViolations())})
}

func (r *Report) count(violations []checker.Violation) map[checker.Violation]int {
	counts := map[checker.Violation]int{}
	for _, violation := range violations {
		counts[violation] = r.Violations[violation]
	}
	return counts
}

// ProgramCounts tell what became of programs, as their callers saw it. A
// program whose caller never came back counts as started only.
type ProgramCounts struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
}

// CallCounts count executions at back ends: the first of each call, and those
// that came after it; and the refusals that callers got.
type CallCounts struct {
	Dispatched int `json:"dispatched"`
	Retried    int `json:"retried"`
	Refused    int `json:"refused"`
}

// Recovery gives times as seen from outside. Zero means that none was measured.
type Recovery struct {
	TakeoverP99      float64 `json:"takeover_p99_s"`
	ConfigurationP99 float64 `json:"configuration_p99_s"`
}

// ViolationCount returns how many violations were found.
func (r *Report) ViolationCount() int { return len(r.Findings) }

// percentile99 returns the 99th percentile of sorted values in seconds.
func percentile99(sorted []time.Duration) float64 {
	if len(sorted) == 0 {
		return 0
	}
	position := cmp.Or((len(sorted)*99+99)/100-1, 0)
	return sorted[position].Seconds()
}
