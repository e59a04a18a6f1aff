package scenario

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/mintpulley/mintpulley/internal/simulation/checker"
)

// Report is the result of one run. Its JSON form is stable.
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
	// Findings describe each violation.
	Findings []checker.Finding `json:"-"`
}

// MarshalJSON implements json.Marshaler. The further violations are in a field
// of their own, so that the fixed ones keep their form.
func (r Report) MarshalJSON() ([]byte, error) {
	type fixed Report
	return json.Marshal(struct {
		fixed
		Violations map[checker.Violation]int `json:"violations"`
		Further    map[checker.Violation]int `json:"further_violations"`
	}{fixed(r), r.countsOf(checker.FixedViolations()), r.countsOf(checker.FurtherViolations())})
}

func (r *Report) countsOf(violations []checker.Violation) map[checker.Violation]int {
	counts := map[checker.Violation]int{}
	for _, violation := range violations {
		counts[violation] = r.Violations[violation]
	}
	return counts
}

// ProgramCounts count programs by their end as their callers saw it. A program
// whose caller never returned counts as started only.
type ProgramCounts struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
}

// CallCounts count executions at back ends: Dispatched the first of each call,
// Retried all further ones. Refused counts the refusals that callers received.
type CallCounts struct {
	Dispatched int `json:"dispatched"`
	Retried    int `json:"retried"`
	Refused    int `json:"refused"`
}

// Recovery holds times as measured from outside the daemons, in seconds. Zero
// means that none was measured.
type Recovery struct {
	TakeoverP99      float64 `json:"takeover_p99_s"`
	ConfigurationP99 float64 `json:"configuration_p99_s"`
}

// ViolationCount returns the number of violations found.
func (r *Report) ViolationCount() int { return len(r.Findings) }

// percentile99 returns the 99th percentile of sorted values in seconds.
func percentile99(sorted []time.Duration) float64 {
	if len(sorted) == 0 {
		return 0
	}
	position := cmp.Or((len(sorted)*99+99)/100-1, 0)
	return sorted[position].Seconds()
}
