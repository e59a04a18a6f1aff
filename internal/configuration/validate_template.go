package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func (c *checker) model(name structs.ModelName, model structs.Model) {
	field := "models." + string(name)
	c.name(field, string(name), modelName)
	within(c, field+".prompt_cost", model.PromptCost, 0, maximumTokenCost)
	within(c, field+".completion_cost", model.CompletionCost, 0, maximumTokenCost)
	within(c, field+".context_tokens", model.ContextTokens, 1, maximumContextTokens)
	within(c, field+".minimum_engines", model.MinimumEngines, 0, maximumEngines)
	if model.Version != "" {
		c.name(field+".version", model.Version, modelName)
	}
}

func (c *checker) template(configuration *structs.Configuration, name structs.TemplateName) {
	template := configuration.Templates[name]
	field := "templates." + string(name)
	c.name(field, string(name), plainName)
	if len(template.Models) == 0 && len(template.Targets) == 0 {
		c.add(field+".models", "is empty, and so is targets: its programs could call nothing")
	}
	for i, model := range template.Models {
		at := fmt.Sprintf("%s.models[%d]", field, i)
		if _, exists := configuration.Models[model]; !exists {
			c.add(at, "there is no model %q", model)
		}
		if slices.Contains(template.Models[:i], model) {
			c.add(at, "%q is listed twice", model)
		}
	}
	for i, target := range template.Targets {
		at := fmt.Sprintf("%s.targets[%d]", field, i)
		c.name(at, target, plainName)
		if slices.Contains(template.Targets[:i], target) {
			c.add(at, "%q is listed twice", target)
		}
	}
	c.prompt(field, &template)
	within(c, field+".budget", template.Budget, 1, maximumCost)
	within(c, field+".priority", template.Priority, 0, maximumPriority)
	within(c, field+".application_cost", template.ApplicationCost, 0, maximumCost)
	c.limits(field+".limits", &template.Limits)
	c.adapters(field+".adapters", &template, template.Adapters)
}

// adapters checks that each adapter is for a model of the template.
func (c *checker) adapters(field string, template *structs.Template, adapters map[structs.ModelName]structs.AdapterName) {
	for _, model := range sortedNames(adapters) {
		at := field + "." + string(model)
		if !slices.Contains(template.Models, model) {
			c.add(at, "the template has no model %q", model)
		}
		c.name(at, string(adapters[model]), modelName)
	}
}

// prompt checks that the placeholders of the system prompt match the parameters.
func (c *checker) prompt(field string, template *structs.Template) {
	within(c, field+".system_prompt (bytes)", len(template.SystemPrompt), 0, maximumPromptBytes)
	for i, parameter := range template.Parameters {
		at := fmt.Sprintf("%s.parameters[%d]", field, i)
		c.name(at, parameter, plainName)
		if slices.Contains(template.Parameters[:i], parameter) {
			c.add(at, "%q is listed twice", parameter)
		}
		if !strings.Contains(template.SystemPrompt, "{{"+parameter+"}}") {
			c.add(at, "%q does not occur in the system prompt", parameter)
		}
	}
	for _, match := range placeholder.FindAllStringSubmatch(template.SystemPrompt, -1) {
		if !slices.Contains(template.Parameters, match[1]) {
			c.add(field+".system_prompt", "{{%s}} is not among the parameters", match[1])
		}
	}
}

func (c *checker) limits(field string, limits *structs.Limits) {
	within(c, field+".turns", limits.Turns, 0, maximumTurns)
	within(c, field+".history_tokens", limits.HistoryTokens, 0, maximumTokens)
	within(c, field+".answer_tokens", limits.AnswerTokens, 0, maximumTokens)
	within(c, field+".repetitions", limits.Repetitions, 0, maximumTurns)
	within(c, field+".sub_agents", limits.SubAgents, 0, maximumTurns)
	c.duration(field+".wall_time", limits.WallTime)
	c.duration(field+".idle_time", limits.IdleTime)
	c.duration(field+".hold_time", limits.HoldTime)
}
