package configuration

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Bounds of a configuration. They affect verdicts, so they must be the same in
// every daemon.
const (
	maximumNameBytes      = 128
	maximumModels         = 1_000
	maximumTemplates      = 10_000
	maximumTenants        = 100_000
	maximumCost           = structs.Cost(1e15)
	maximumTokenCost      = structs.Cost(1e9)
	maximumContextTokens  = 100_000_000
	maximumEngines        = 100_000
	maximumPromptBytes    = 256 << 10
	maximumParameterBytes = 16 << 10
	maximumPriority       = 9
	maximumShare          = 1_000_000
	maximumPrograms       = 10_000_000
	maximumTurns          = 1_000_000
	maximumTokens         = 1_000_000_000
	maximumDuration       = 365 * 24 * time.Hour
	keyHashBytes          = 32
	maximumCommentBytes   = 1024
	// maximumProblems bounds the problems listed in a verdict.
	maximumProblems = 20
)

// Problem is one validation failure.
type Problem struct {
	// Field is the path of the value, such as "tenants.tally.share".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String returns "FIELD: REASON".
func (p Problem) String() string {
	if p.Field == "" {
		return p.Reason
	}
	return p.Field + ": " + p.Reason
}

var (
	// plainName matches names that are safe in keys and URL paths.
	plainName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	// modelName also allows "/" and ":", which occur in published model names.
	modelName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	placeholder = regexp.MustCompile(`\{\{([^{}]*)\}\}`)
)

// checker collects problems.
type checker struct{ problems []Problem }

func (c *checker) add(field, format string, arguments ...any) {
	c.problems = append(c.problems, Problem{Field: field, Reason: fmt.Sprintf(format, arguments...)})
}

func (c *checker) name(field, name string, pattern *regexp.Regexp) {
	if len(name) > maximumNameBytes || !pattern.MatchString(name) {
		c.add(field, "is not a name: want at most %d of A-Z a-z 0-9 . _ - , the first a letter or digit", maximumNameBytes)
	}
}

func within[Number ~int | ~int64](c *checker, field string, value, low, high Number) {
	if value < low || value > high {
		c.add(field, "is %d, want %d to %d", value, low, high)
	}
}

func (c *checker) duration(field string, value time.Duration) {
	if value < 0 || value > maximumDuration {
		c.add(field, "is %s, want 0 to %s", value, maximumDuration)
	}
}

// Validate returns all problems of a configuration in a fixed order.
func Validate(configuration *structs.Configuration) []Problem {
	c := &checker{}
	within(c, "models", len(configuration.Models), 0, maximumModels)
	within(c, "templates", len(configuration.Templates), 0, maximumTemplates)
	within(c, "tenants", len(configuration.Tenants), 0, maximumTenants)
	for _, name := range sortedNames(configuration.Models) {
		c.model(name, configuration.Models[name])
	}
	for _, name := range sortedNames(configuration.Templates) {
		c.template(configuration, name)
	}
	keys := keyIndex{}
	for _, name := range sortedNames(configuration.Tenants) {
		c.tenant(configuration, name, keys.claim)
	}
	c.fleet(configuration.Fleet)
	return c.problems
}

// validateChange returns the problems of next, which results from a patch of a
// valid configuration. For a patch of tenants it checks only the tenants that
// are set, so that the cost does not depend on the number of tenants. A patch of
// models or templates, to which any tenant may refer, needs full validation.
func validateChange(next *structs.Configuration, patch *structs.Patch, keys keyIndex) []Problem {
	if !patch.Models.Empty() || !patch.Templates.Empty() {
		return Validate(next)
	}
	c := &checker{}
	within(c, "tenants", len(next.Tenants), 0, maximumTenants)
	claimed := keyIndex{}
	claim := func(hash string, tenant structs.TenantName) (structs.TenantName, bool) {
		if owner, taken := keys[hash]; taken && leavesUnchanged(&patch.Tenants, owner) {
			return owner, false
		}
		return claimed.claim(hash, tenant)
	}
	for _, name := range sortedNames(patch.Tenants.Set) {
		c.tenant(next, name, claim)
	}
	c.fleet(next.Fleet)
	return c.problems
}

// leavesUnchanged reports whether an edit neither sets nor removes a tenant.
func leavesUnchanged(edit *structs.Edit[structs.TenantName, structs.Tenant], tenant structs.TenantName) bool {
	_, set := edit.Set[tenant]
	return !set && !slices.Contains(edit.Remove, tenant)
}

// checkChangeMetadata checks the fields of a change other than its patch.
func checkChangeMetadata(change *structs.Change) []Problem {
	c := &checker{}
	c.name("operation_id", change.OperationID, modelName)
	c.name("operator", change.Operator, modelName)
	within(c, "comment (bytes)", len(change.Comment), 0, maximumCommentBytes)
	return c.problems
}

// truncateProblems bounds the size of a verdict.
func truncateProblems(problems []Problem) []Problem {
	if len(problems) <= maximumProblems {
		return problems
	}
	rest := len(problems) - maximumProblems
	return append(problems[:maximumProblems:maximumProblems], Problem{Reason: fmt.Sprintf("and %d more", rest)})
}
