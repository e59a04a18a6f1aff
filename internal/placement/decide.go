package placement

import (
	"cmp"
	"slices"

	"github.com/mintpulley/mintpulley/internal/structs"
)

// startOrders issues orders for roles, adapters and at most one model change,
// within the bound on engines that load weights.
func (c *controller) startOrders(engines []structs.EngineID, fleet loads) {
	configuration := c.Configurations.Current()
	if configuration == nil {
		return
	}
	c.setRoles(configuration, engines)
	c.startAdapters(configuration, engines, fleet)
	if c.loadsAllowed(configuration) == 0 {
		return
	}
	for _, model := range c.underprovisioned(configuration, fleet) {
		if engine, found := c.reassignable(configuration, engines, fleet, model); found {
			c.issue(structs.Order{Engine: engine, Kind: structs.OrderLoadModel, Model: model, Version: configuration.Models[model].Version})
			return
		}
	}
	c.updateVersion(configuration, engines, fleet)
}

// underprovisioned returns models that need engines, the worst first: those
// below their configured minimum, then those above HighUtilization for
// HighUseDuration.
func (c *controller) underprovisioned(configuration *structs.Configuration, fleet loads) []structs.ModelName {
	var lacking []ModelLoad
	for _, load := range fleet.sorted() {
		model, configured := configuration.Models[load.Model]
		if load.Adapter != "" || !configured {
			continue
		}
		if load.Engines < model.MinimumEngines || c.sustained(load.ModelAdapter) {
			lacking = append(lacking, load)
		}
	}
	slices.SortStableFunc(lacking, func(a, b ModelLoad) int {
		shortA := a.Engines < configuration.Models[a.Model].MinimumEngines
		shortB := b.Engines < configuration.Models[b.Model].MinimumEngines
		if shortA != shortB {
			if shortA {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.utilization(), a.utilization())
	})
	names := make([]structs.ModelName, len(lacking))
	for i, load := range lacking {
		names[i] = load.Model
	}
	return names
}

// reassignable finds an engine of this shard that may load another model: an
// empty one, or the least busy one whose model can spare it.
func (c *controller) reassignable(configuration *structs.Configuration, engines []structs.EngineID, fleet loads, wanted structs.ModelName) (structs.EngineID, bool) {
	best, bestRunning, found := structs.EngineID(""), 0, false
	for _, engine := range engines {
		load, idle := c.readyForOrder(engine)
		if !idle || !c.cooledDown(engine) || load.Role == structs.RolePrefill {
			continue
		}
		if len(load.Models) > 0 && !c.canSpare(configuration, fleet, load, wanted) {
			continue
		}
		running := load.Running + load.Waiting
		if !found || running < bestRunning {
			best, bestRunning, found = engine, running, true
		}
	}
	return best, found
}

func (c *controller) canSpare(configuration *structs.Configuration, fleet loads, load structs.LoadReport, wanted structs.ModelName) bool {
	model := load.Models[0]
	if model == wanted || slices.Contains(load.Models, wanted) {
		return false
	}
	remaining := *fleet.model(model)
	remaining.Engines--
	remaining.Capacity -= load.MaximumRunning
	if remaining.Engines < minimumEngines(configuration, model) {
		return false
	}
	return remaining.utilization() <= c.Settings.LowUtilization
}

// minimumEngines returns the least number of engines that a model keeps; an
// unconfigured one needs none.
func minimumEngines(configuration *structs.Configuration, model structs.ModelName) int {
	entry, configured := configuration.Models[model]
	if !configured {
		return 0
	}
	return max(entry.MinimumEngines, 1)
}
