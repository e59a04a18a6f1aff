package checker

import (
	"github.com/mintpulley/mintpulley/internal/simulation/drivers"
	"github.com/mintpulley/mintpulley/internal/structs"
)

// Tariff is the configured pricing: prices per model, and the budget of a
// program by tenant and template.
type Tariff struct {
	Prices          map[structs.ModelName]structs.Price
	ApplicationCost structs.Cost
	Budget          func(tenant structs.TenantName, template structs.TemplateName) structs.Cost
}

// checkBudgets adds up the cost of what back ends ran for each root program and
// its sub-agents, and compares it with the budget.
func (c *Checker) checkBudgets(runs []*drivers.EngineRun, tariff Tariff) {
	spent := map[structs.ProgramKey]structs.Cost{}
	for _, r := range runs {
		spent[rootOf(r.Request.Program)] += tariff.Prices[r.Request.Model].Of(r.TokensUsed())
	}
	for _, p := range c.programList {
		for _, record := range p.calls {
			if record.call.Kind != structs.CallModel {
				spent[rootOf(p.key)] += tariff.ApplicationCost * structs.Cost(len(record.runs))
			}
		}
	}
	for _, p := range c.programList {
		if rootOf(p.key) != p.key {
			continue
		}
		budget := tariff.Budget(p.key.Tenant, p.template)
		if cost := spent[p.key]; cost > budget {
			c.Report(BudgetExceeded, "%s spent %d of a budget of %d", p.key, cost, budget)
		}
	}
}

func rootOf(key structs.ProgramKey) structs.ProgramKey {
	return structs.ProgramKey{Tenant: key.Tenant, Program: key.Program.Root()}
}

// CheckHolds reports what engines still hold long after every program has ended
// and all faults are over.
func (c *Checker) CheckHolds(engine structs.EngineID, holds []structs.Hold) {
	for _, hold := range holds {
		c.Report(EngineMemoryLeaked, "engine %s still holds %s of %s", engine, hold.ID, hold.Program)
	}
}
