package configuration

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func (c *checker) tenant(configuration *structs.Configuration, name structs.TenantName, claim claimFunc) {
	tenant := configuration.Tenants[name]
	field := "tenants." + string(name)
	c.name(field, string(name), plainName)
	if len(tenant.KeyHashes) == 0 {
		c.add(field+".key_hashes", "is empty: nobody could call for this tenant")
	}
	for i, hash := range tenant.KeyHashes {
		c.keyHash(fmt.Sprintf("%s.key_hashes[%d]", field, i), hash, name, claim)
	}
	if len(tenant.Templates) == 0 {
		c.add(field+".templates", "is empty: the tenant could run nothing")
	}
	for _, template := range sortedNames(tenant.Templates) {
		c.tenantTemplate(field+".templates."+string(template), configuration, template, tenant.Templates[template])
	}
	within(c, field+".share", tenant.Share, 1, maximumShare)
	within(c, field+".budget_per_hour", tenant.BudgetPerHour, 0, maximumCost)
	within(c, field+".programs", tenant.Programs, 0, maximumPrograms)
	c.queuePolicy(field+".queue_policy", tenant.QueuePolicy)
}

// keyHash checks one key hash. A key must belong to one tenant only, since calls
// are attributed to tenants by key.
func (c *checker) keyHash(field, hash string, tenant structs.TenantName, claim claimFunc) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != keyHashBytes || hash != strings.ToLower(hash) {
		c.add(field, "is not a SHA-256 digest in %d lower-case hexadecimal digits", 2*keyHashBytes)
		return
	}
	if owner, claimed := claim(hash, tenant); !claimed {
		c.add(field, "is a key of tenant %q already", owner)
	}
}

func (c *checker) tenantTemplate(field string, configuration *structs.Configuration, name structs.TemplateName, use structs.TenantTemplate) {
	template, exists := configuration.Templates[name]
	if !exists {
		c.add(field, "there is no template %q", name)
		return
	}
	for _, parameter := range template.Parameters {
		if _, filled := use.Parameters[parameter]; !filled {
			c.add(field+".parameters", "%q is missing", parameter)
		}
	}
	for _, parameter := range sortedNames(use.Parameters) {
		at := field + ".parameters." + parameter
		if !slices.Contains(template.Parameters, parameter) {
			c.add(at, "the template has no such parameter")
		}
		within(c, at+" (bytes)", len(use.Parameters[parameter]), 1, maximumParameterBytes)
	}
	within(c, field+".budget", use.Budget, 0, maximumCost)
	c.adapters(field+".adapters", &template, use.Adapters)
	if use.Priority != nil {
		within(c, field+".priority", *use.Priority, 0, maximumPriority)
	}
}

func (c *checker) fleet(policy structs.FleetPolicy) {
	c.queuePolicy("fleet.queue_policy", policy.QueuePolicy)
	if math.IsNaN(policy.CacheWeight) || policy.CacheWeight < 0 || policy.CacheWeight > 1 {
		c.add("fleet.cache_weight", "is %g, want 0 to 1", policy.CacheWeight)
	}
	within(c, "fleet.weight_readers", policy.WeightReaders, 0, maximumEngines)
	if policy.EngineRole != "" {
		c.engineRole("fleet.engine_role", policy.EngineRole)
	}
	within(c, "fleet.engine_roles", len(policy.EngineRoles), 0, maximumEngines)
	for _, engine := range sortedNames(policy.EngineRoles) {
		c.name("fleet.engine_roles."+string(engine), string(engine), modelName)
		c.engineRole("fleet.engine_roles."+string(engine), policy.EngineRoles[engine])
	}
}

func (c *checker) engineRole(field string, role structs.EngineRole) {
	switch role {
	case structs.RolePrefill, structs.RoleDecode, structs.RoleBoth:
	default:
		c.add(field, "is %q, want %s, %s or %s", role, structs.RolePrefill, structs.RoleDecode, structs.RoleBoth)
	}
}

func (c *checker) queuePolicy(field string, name structs.QueuePolicyName) {
	if name != "" {
		c.name(field, string(name), plainName)
	}
}
