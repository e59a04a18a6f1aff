package load

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// Names in the configuration of a fleet of stand-ins.
const (
	standInKey       = "load-key"
	standInModel     = "load-model"
	standInTarget    = "wholesale"
	standInOperation = "bread_order"
	templateTally    = "summary"
	templateChlebnet = "order"
)

// standInBudget is more than any program of a run costs.
const standInBudget = 1_000_000_000

// StandInServices returns the services that a workload's programs call in a
// fleet of stand-ins.
func StandInServices(workload string) []Service {
	service := Service{Key: standInKey, Template: templateTally, Model: standInModel}
	if workload == WorkloadChlebnet {
		service.Template = templateChlebnet
		service.Target, service.Operation = standInTarget, standInOperation
	}
	return []Service{service}
}

// StandInConfiguration returns the configuration of a fleet of stand-ins.
func StandInConfiguration() structs.Configuration {
	models := []structs.ModelName{standInModel}
	limits := structs.Limits{AnswerTokens: 100_000, IdleTime: time.Hour}
	digest := sha256.Sum256([]byte(standInKey))
	return structs.Configuration{
		Models: map[structs.ModelName]structs.Model{standInModel: {PromptCost: 1, CompletionCost: 2, ContextTokens: 1_000_000}},
		Templates: map[structs.TemplateName]structs.Template{
			templateTally:    {Models: models, Budget: standInBudget, Priority: 5, Limits: limits, SystemPrompt: "You write electorate summaries."},
			templateChlebnet: {Models: models, Targets: []string{standInTarget}, Budget: standInBudget, Priority: 5, Limits: limits, SystemPrompt: "You take bread orders for village shops."},
		},
		Tenants: map[structs.TenantName]structs.Tenant{
			"load": {
				KeyHashes: []string{hex.EncodeToString(digest[:])},
				Share:     1,
				Templates: map[structs.TemplateName]structs.TenantTemplate{templateTally: {}, templateChlebnet: {}},
			},
		},
	}
}

// StandInModels returns the models that stand-in engines serve.
func StandInModels() []structs.ModelName { return []structs.ModelName{standInModel} }

// StandInApplications returns the names of the applications.
func StandInApplications() []string { return []string{standInTarget} }
