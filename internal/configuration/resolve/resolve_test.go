package resolve

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mintpulley/mintpulley/internal/structs"
)

func testConfiguration() *structs.Configuration {
	priority := 0
	return &structs.Configuration{
		Models: map[structs.ModelName]structs.Model{"small": {PromptCost: 1, CompletionCost: 2}, "large": {}},
		Templates: map[structs.TemplateName]structs.Template{
			"order":   {Models: []structs.ModelName{"small"}, Targets: []string{"wholesale"}, SystemPrompt: "For {{shop}}: {{shop}}.", Budget: 10, Priority: 5, Limits: structs.Limits{Turns: 3}},
			"private": {Models: []structs.ModelName{"large"}},
		},
		Tenants: map[structs.TenantName]structs.Tenant{
			"shop":  {Templates: map[structs.TemplateName]structs.TenantTemplate{"order": {Parameters: map[string]string{"shop": "Horná Ves"}, Budget: 20, Priority: &priority}}},
			"both":  {Templates: map[structs.TemplateName]structs.TenantTemplate{"order": {}, "private": {}}},
			"stale": {Templates: map[structs.TemplateName]structs.TenantTemplate{"removed": {}}},
		},
	}
}

func TestCallAppliesTenantOverrides(t *testing.T) {
	call := structs.Call{Key: structs.ProgramKey{Tenant: "shop"}, Kind: structs.CallModel, Model: "small"}
	policy, refusal := Call(testConfiguration(), &call)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	want := structs.Limits{Turns: 3, WallTime: 2 * time.Hour, IdleTime: 15 * time.Minute, Repetitions: 8, SubAgents: 32}
	if diff := cmp.Diff(want, policy.Limits); diff != "" {
		t.Errorf("limits (-want +got):\n%s", diff)
	}
	if policy.Template != "order" || policy.Budget != 20 || policy.Priority != 0 || policy.SystemPrompt != "For Horná Ves: Horná Ves." {
		t.Errorf("policy is %+v", policy)
	}
}

func TestCallTakesTheAdapterOfTenantOrTemplate(t *testing.T) {
	configuration := testConfiguration()
	template := configuration.Templates["order"]
	template.Adapters = map[structs.ModelName]structs.AdapterName{"small": "general"}
	configuration.Templates["order"] = template
	call := structs.Call{Key: structs.ProgramKey{Tenant: "shop"}, Kind: structs.CallModel, Model: "small"}
	application := structs.Call{Key: call.Key, Kind: structs.CallApplication, Target: "wholesale"}
	adapterOf := func(call structs.Call) structs.AdapterName {
		policy, refusal := Call(configuration, &call)
		if refusal != nil {
			t.Fatalf("refused: %+v", refusal)
		}
		return policy.Adapter
	}
	got := []structs.AdapterName{adapterOf(call), adapterOf(application)}
	use := configuration.Tenants["shop"].Templates["order"]
	use.Adapters = map[structs.ModelName]structs.AdapterName{"small": "own"}
	configuration.Tenants["shop"].Templates["order"] = use
	got = append(got, adapterOf(call))
	if diff := cmp.Diff([]structs.AdapterName{"general", "", "own"}, got); diff != "" {
		t.Errorf("adapters (-want +got):\n%s", diff)
	}
}

func TestCallRefusals(t *testing.T) {
	type answer struct {
		Reason structs.Reason
		Field  string
	}
	model := func(tenant structs.TenantName, template structs.TemplateName, model structs.ModelName) structs.Call {
		return structs.Call{Key: structs.ProgramKey{Tenant: tenant}, Template: template, Kind: structs.CallModel, Model: model}
	}
	for name, test := range map[string]struct {
		call structs.Call
		want answer
	}{
		"unknown tenant":     {model("nobody", "order", "small"), answer{structs.ReasonUnknownTemplate, "tenant"}},
		"template of others": {model("shop", "private", "large"), answer{structs.ReasonUnknownTemplate, "template"}},
		"removed template":   {model("stale", "", "small"), answer{structs.ReasonUnknownTemplate, "template"}},
		"several templates":  {model("both", "", "small"), answer{structs.ReasonInvalidRequest, "template"}},
		"unknown model":      {model("shop", "order", "absent"), answer{structs.ReasonUnknownModel, "model"}},
		"model not allowed":  {model("shop", "order", "large"), answer{structs.ReasonModelNotAllowed, "model"}},
		"target not allowed": {
			structs.Call{Key: structs.ProgramKey{Tenant: "shop"}, Kind: structs.CallTool, Target: "bank"},
			answer{structs.ReasonToolNotAllowed, "target"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, refusal := Call(testConfiguration(), &test.call)
			if refusal == nil {
				t.Fatal("the call was allowed")
			}
			got := answer{refusal.Reason, refusal.Field}
			if diff := cmp.Diff(test.want, got); diff != "" || refusal.Status != structs.OutcomeNotRun {
				t.Errorf("status %s, refusal (-want +got):\n%s", refusal.Status, diff)
			}
		})
	}
	if _, refusal := Call(nil, &structs.Call{}); refusal == nil || refusal.Reason != structs.ReasonNoConfiguration || refusal.RetryAfter == 0 {
		t.Errorf("without configuration: %+v, want a refusal with a retry delay", refusal)
	}
}
