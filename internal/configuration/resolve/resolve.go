// Package resolve determines the policy of a call from the configuration in
// force.
package resolve

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/program"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// retryWithoutConfiguration is the retry delay given to a caller while a daemon
// has no configuration.
const retryWithoutConfiguration = 2 * time.Second

// Default limits for a template that sets none.
const (
	DefaultTurns       = 200
	DefaultWallTime    = 2 * time.Hour
	DefaultIdleTime    = 15 * time.Minute
	DefaultRepetitions = 8
	DefaultSubAgents   = 32
)

// Call returns the policy for a call, or the outcome of a refused call.
func Call(configuration *structs.Configuration, call *structs.Call) (program.Policy, *structs.Outcome) {
	if configuration == nil {
		return refuse(structs.ReasonNoConfiguration, "", "No configuration is in force yet.", retryWithoutConfiguration)
	}
	tenant, known := configuration.Tenants[call.Key.Tenant]
	if !known {
		return refuse(structs.ReasonUnknownTemplate, "tenant", "The tenant is not configured.", 0)
	}
	name, refusal := templateName(tenant, call)
	if refusal != nil {
		return program.Policy{}, refusal
	}
	use, allowed := tenant.Templates[name]
	template, exists := configuration.Templates[name]
	if !allowed || !exists {
		return refuse(structs.ReasonUnknownTemplate, "template", fmt.Sprintf("The tenant has no template %q.", name), 0)
	}
	if refusal := checkTarget(configuration, &template, call); refusal != nil {
		return program.Policy{}, refusal
	}
	result := policy(name, &template, &use)
	result.Adapter = adapter(&template, &use, call)
	return result, nil
}

// templateName returns the requested template, or the tenant's only one.
func templateName(tenant structs.Tenant, call *structs.Call) (structs.TemplateName, *structs.Outcome) {
	if call.Template != "" {
		return call.Template, nil
	}
	if len(tenant.Templates) == 1 {
		for name := range tenant.Templates {
			return name, nil
		}
	}
	_, refusal := refuse(structs.ReasonInvalidRequest, "template", "The tenant has several templates; name one.", 0)
	return "", refusal
}

func checkTarget(configuration *structs.Configuration, template *structs.Template, call *structs.Call) *structs.Outcome {
	if call.Kind != structs.CallModel {
		if !slices.Contains(template.Targets, call.Target) {
			_, refusal := refuse(structs.ReasonToolNotAllowed, "target", fmt.Sprintf("The template may not call %q.", call.Target), 0)
			return refusal
		}
		return nil
	}
	if _, exists := configuration.Models[call.Model]; !exists {
		_, refusal := refuse(structs.ReasonUnknownModel, "model", fmt.Sprintf("There is no model %q.", call.Model), 0)
		return refusal
	}
	if !slices.Contains(template.Models, call.Model) {
		_, refusal := refuse(structs.ReasonModelNotAllowed, "model", fmt.Sprintf("The template may not use model %q.", call.Model), 0)
		return refusal
	}
	return nil
}

func policy(name structs.TemplateName, template *structs.Template, use *structs.TenantTemplate) program.Policy {
	result := program.Policy{
		Template:        name,
		Budget:          template.Budget,
		Priority:        template.Priority,
		Limits:          withDefaults(template.Limits),
		SystemPrompt:    ExpandPlaceholders(template.SystemPrompt, use.Parameters),
		ApplicationCost: template.ApplicationCost,
	}
	if use.Budget > 0 {
		result.Budget = use.Budget
	}
	if use.Priority != nil {
		result.Priority = *use.Priority
	}
	return result
}

// adapter returns the adapter of a model call. The tenant's setting takes
// precedence over the template's.
func adapter(template *structs.Template, use *structs.TenantTemplate, call *structs.Call) structs.AdapterName {
	if call.Kind != structs.CallModel {
		return ""
	}
	if own := use.Adapters[call.Model]; own != "" {
		return own
	}
	return template.Adapters[call.Model]
}

func withDefaults(limits structs.Limits) structs.Limits {
	if limits.Turns == 0 {
		limits.Turns = DefaultTurns
	}
	if limits.WallTime == 0 {
		limits.WallTime = DefaultWallTime
	}
	if limits.IdleTime == 0 {
		limits.IdleTime = DefaultIdleTime
	}
	if limits.Repetitions == 0 {
		limits.Repetitions = DefaultRepetitions
	}
	if limits.SubAgents == 0 {
		limits.SubAgents = DefaultSubAgents
	}
	return limits
}

// ExpandPlaceholders replaces each "{{name}}" in a text by the parameter of that
// name.
func ExpandPlaceholders(text string, parameters map[string]string) string {
	if len(parameters) == 0 {
		return text
	}
	pairs := make([]string, 0, 2*len(parameters))
	for name, value := range parameters {
		pairs = append(pairs, "{{"+name+"}}", value)
	}
	return strings.NewReplacer(pairs...).Replace(text)
}

// ModelPrice returns the price of a model in a configuration.
func ModelPrice(configuration *structs.Configuration, model structs.ModelName) structs.Price {
	entry := configuration.Models[model]
	return structs.Price{Prompt: entry.PromptCost, Completion: entry.CompletionCost}
}

func refuse(reason structs.Reason, field, message string, retryAfter time.Duration) (program.Policy, *structs.Outcome) {
	outcome := structs.Refused(reason, field, message, retryAfter)
	return program.Policy{}, &outcome
}
