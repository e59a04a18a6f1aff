package workload

import (
	"strings"
	"time"

	"github.com/mintpulley/mintpulley/internal/prefix"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Limits that no program of the workloads reaches.
const (
	contextTokens = 131_072
	ampleBudget   = 1 << 50
	holdTime      = 2 * time.Minute
)

// Configuration returns the configuration that operators would publish for the
// workload.
func (s *Shape) Configuration() structs.Configuration {
	configuration := structs.Configuration{
		Fleet:     structs.FleetPolicy{CacheWeight: s.CacheWeight},
		Revision:  1,
		Models:    map[structs.ModelName]structs.Model{s.Model: {PromptCost: 1, CompletionCost: 4, ContextTokens: contextTokens}},
		Templates: map[structs.TemplateName]structs.Template{},
		Tenants:   map[structs.TenantName]structs.Tenant{},
	}
	uses := map[structs.TemplateName]structs.TenantTemplate{}
	for _, t := range s.allTemplates() {
		configuration.Templates[t.name] = structs.Template{
			Models:       []structs.ModelName{s.Model},
			SystemPrompt: prefixText(s.Name+"/"+string(t.name), t.prefixTokens),
			Budget:       ampleBudget,
			Priority:     t.priority,
			Limits:       structs.Limits{HoldTime: holdTime},
		}
		uses[t.name] = structs.TenantTemplate{}
	}
	for _, tenant := range s.tenants {
		configuration.Tenants[tenant.value] = structs.Tenant{Templates: uses, Share: 1}
	}
	return configuration
}

func (s *Shape) allTemplates() []template {
	var all []template
	seen := map[structs.TemplateName]bool{}
	for _, t := range s.templates {
		all = append(all, t)
		if t.child != nil && !seen[t.child.name] {
			seen[t.child.name] = true
			all = append(all, *t.child)
		}
	}
	return all
}

// PrefixTokens returns the length of a template's shared prefix.
func (s *Shape) PrefixTokens(name structs.TemplateName) int64 {
	for _, t := range s.allTemplates() {
		if t.name == name {
			return t.prefixTokens
		}
	}
	return 0
}

// prefixText returns text of a length in tokens that depends on name.
func prefixText(name string, count int64) string {
	line := "Template " + name + ": answer from the figures given, name their source, and say what is not known. "
	return Text(line, count)
}

// Text repeats a line up to a length in tokens.
func Text(line string, count int64) string {
	length := int(count * prefix.BytesPerToken)
	if length <= 0 || line == "" {
		return ""
	}
	return strings.Repeat(line, length/len(line)+1)[:length]
}
