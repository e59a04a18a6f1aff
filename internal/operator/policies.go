package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/configuration"
	"github.com/mintpulley/mintpulley/internal/schedule"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// UnknownPolicies returns the queue policies that a change names and this binary has
// no plug-in for. They are checked before the change is appended to the log: later, the
// verdict must be the same in daemons of all versions, which differ in their plug-ins.
func UnknownPolicies(patch *structs.Patch) []configuration.Problem {
	var problems []configuration.Problem
	check := func(field string, name structs.QueuePolicyName) {
		known := schedule.QueuePolicies.Names()
		if name != "" && !slices.Contains(known, string(name)) {
			reason := fmt.Sprintf("there is no queue policy %q, known are %s", name, strings.Join(known, ", "))
			problems = append(problems, configuration.Problem{Field: field, Reason: reason})
		}
	}
	if patch.Fleet != nil {
		check("fleet.queue_policy", patch.Fleet.QueuePolicy)
	}
	for _, name := range slices.Sorted(maps.Keys(patch.Tenants.Set)) {
		check("tenants."+string(name)+".queue_policy", patch.Tenants.Set[name].QueuePolicy)
	}
	return problems
}

// unknownPolicyVerdict returns the verdict on a change that names unknown policies.
// Such a change is not appended to the log.
func unknownPolicyVerdict(change *structs.Change, problems []configuration.Problem) configuration.Verdict {
	return configuration.Verdict{
		OperationID: change.OperationID,
		Operator:    change.Operator,
		Base:        change.Base,
		Reason:      configuration.VerdictInvalid,
		Problems:    problems,
	}
}
