package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/mintpulley/mintpulley/internal/enginemodel"
	"github.com/mintpulley/mintpulley/internal/node"
	"github.com/mintpulley/mintpulley/internal/simulation/checker"
	"github.com/mintpulley/mintpulley/internal/simulation/cluster"
	"github.com/mintpulley/mintpulley/internal/simulation/network"
	"github.com/mintpulley/mintpulley/internal/simulation/workload"
	"github.com/mintpulley/mintpulley/internal/structs"
)

const (
	// simulatedShards is small, so that every shard has programs.
	simulatedShards = 12
	// idleTime is the time after which a program is ended if its caller does
	// not return.
	idleTime = 60 * time.Second
	// programBudget is enough for any program that does not loop.
	programBudget structs.Cost = 60_000
	// updateCost is the cost of one application call.
	updateCost structs.Cost = 50
	// simulatedTurns limits the calls of a program.
	simulatedTurns = 40
)

var tenants = []structs.TenantName{"courier", "herald", "bakery"}

// defaultConfiguration returns the initial configuration, which a scenario may
// change.
func defaultConfiguration(budget structs.Cost) structs.Configuration {
	configuration := structs.Configuration{
		Models: map[structs.ModelName]structs.Model{
			workload.Model: {PromptCost: 1, CompletionCost: 3, ContextTokens: 16384},
		},
		Templates: map[structs.TemplateName]structs.Template{
			workload.Template: {
				Models:          []structs.ModelName{workload.Model},
				Targets:         []string{workload.Target},
				SystemPrompt:    "You take orders for {{shop}}. Answer in one line.",
				Parameters:      []string{"shop"},
				Budget:          budget,
				Priority:        5,
				ApplicationCost: updateCost,
				Limits:          structs.Limits{Turns: simulatedTurns, IdleTime: idleTime, HoldTime: 10 * time.Second, AnswerTokens: 256},
			},
		},
		Tenants: map[structs.TenantName]structs.Tenant{},
	}
	for _, tenant := range tenants {
		configuration.Tenants[tenant] = structs.Tenant{
			KeyHashes: []string{keyHash(tenant)},
			Share:     1,
			Templates: map[structs.TemplateName]structs.TenantTemplate{
				workload.Template: {Parameters: map[string]string{"shop": "shop of " + string(tenant)}},
			},
		}
	}
	return configuration
}

// keyHash returns the hash of a tenant's bearer key.
func keyHash(tenant structs.TenantName) string {
	sum := sha256.Sum256([]byte(tenant))
	return hex.EncodeToString(sum[:])
}

func tariff(budget structs.Cost) checker.Tariff {
	return checker.Tariff{
		Prices:          map[structs.ModelName]structs.Price{workload.Model: {Prompt: 1, Completion: 3}},
		ApplicationCost: updateCost,
		Budget: func(structs.TenantName, structs.TemplateName) structs.Cost {
			return budget
		},
	}
}

// defaultFleet returns three zones, each with two daemons, two engines and one
// application back end.
func defaultFleet(options Options) cluster.Options {
	settings := node.DefaultSettings()
	settings.Shards = simulatedShards
	return cluster.Options{
		Seed:                options.Seed,
		Zones:               3,
		DaemonsPerZone:      2,
		EnginesPerZone:      2,
		Applications:        []string{workload.Target},
		ApplicationReplicas: 3,
		Models:              []structs.ModelName{workload.Model},
		Engine:              enginemodel.Default(),
		Network:             network.DefaultSettings(),
		Node:                settings,
		Guards:              guardsWithout(options.Break),
		ListLag:             2 * time.Second,
		Logger:              options.Logger,
	}
}
